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

  # Guards against a time limit that refers to the task of its call, and so keeps
  # a body until the garbage collector comes by.
  Scenario Outline: calls are freed at once as their deadlines pass <when>
    Given a target whose answer never comes
    When 10 calls pass their deadlines <when> without the garbage collector
    Then none of the calls is held

    Examples:
      | when                         |
      | while their callers wait     |
      | after their callers have left |
