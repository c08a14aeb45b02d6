@uvloop
Feature: targets whose answers have a status that HTTP does not have

  # Guards against a caller that waits for its time limit, while the call keeps
  # a slot, and against statuses that no client understands.
  Scenario Outline: an answer <what> fails at once as one of a lost target
    Given an HTTP target on a kept connection that answers <what>
    When the target gets a call that may take 10 s
    Then the call fails as one of a lost target, before its limit
    And the connection to the target is not kept

    Examples:
      | what                                   |
      | with status 000                        |
      | with status 001                        |
      | with status 042                        |
      | with status 099                        |
      | with status 600                        |
      | with status 999                        |
      | with status 101                        |
      | with status 101 and nothing more       |
      | with status 101 that names a protocol  |
      | with status 042 after an informational |
      | with informational ones without end    |

  # Guards against a limit that fails sound targets.
  Scenario Outline: an answer <what> reaches its caller
    Given an HTTP target on a kept connection that answers <what>
    When the target gets a call that may take 10 s
    Then the answer has status <status>

    Examples:
      | what                            | status |
      | with status 200                 | 200    |
      | with status 299                 | 299    |
      | with status 599                 | 599    |
      | after 8 informational ones      | 200    |

  # Guards against a probe that takes such an answer for that of a target.
  Scenario Outline: a probe takes a target for lost that answers <what>
    Given an HTTP target on a kept connection that answers <what>
    When the target is probed
    Then the probe has not reached it

    Examples:
      | what                                |
      | with status 042                     |
      | with status 600                     |
      | with informational ones without end |
