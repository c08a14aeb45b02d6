Feature: standins dist

  Scenario: the one file serves a call with an empty environment
    Given the built file
    When a node is started from it with an empty environment
    Then a call through it is answered
    And it has no child process and no io_uring

  Scenario Outline: no process of the project has a child or an io_uring
    Given a small deployment
    Then <process> has no child process and no io_uring

    Examples:
      | process        |
      | node n1        |
      | target at n2   |

  Scenario: the demonstration ends well
    When the demonstration is run
    Then it ends with 0 and shows answered calls
