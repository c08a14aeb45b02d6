@uvloop
Feature: calls that a target has failed are freed

  # Guards against tasks and errors that refer to each other, and so keep the
  # requests of callers until the garbage collector comes by.
  Scenario Outline: an upload is freed at once as <what>
    Given an answer with headers of 1 byte without end
    When 30 uploads are sent in sequence without the garbage collector, and <what>
    Then all of them are refused for <reason>
    And none of the calls is held

    Examples:
      | what                         | reason          |
      | their answers are broken off | target-lost     |
      | their callers break off      | body-incomplete |
