@uvloop
Feature: a store whose answers have a status that HTTP does not have

  # Guards against a write that is taken for not made, or waited for in vain.
  Scenario Outline: a write that is answered <what> has an unknown outcome
    Given an HTTP target on a kept connection that answers <what>
    When an object is written to it as to a store
    Then the outcome of the write is unknown, and no time limit ended it

    Examples:
      | what                                |
      | with status 000                     |
      | with status 042                     |
      | with status 101                     |
      | with status 600                     |
      | with status 999                     |
      | with informational ones without end |
