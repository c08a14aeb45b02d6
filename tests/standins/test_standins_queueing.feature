Feature: what a simulated target does with what it has no room for

  Scenario Outline: requests beyond the slots
    Given a simulated target with 1 slot and <arguments>
    When <count> requests of 0.3 s are sent to it at the same time
    Then their statuses are <statuses>
    And no two of them ran at the same time

    Examples:
      | arguments                    | count | statuses  |
      | nothing                      | 2     | 200 503   |
      | --queue 1                    | 2     | 200 200   |
      | --queue 1                    | 3     | 200 200 503 |
      | --queue 1 --silent-when-full | 3     | 0 200 200 |

  Scenario: a request whose time ends in the queue is refused
    Given a simulated target with 1 slot and --queue 1
    When 2 requests of 1.5 s are sent to it at the same time
    Then their statuses are 503 504

  Scenario: a slow target takes longer
    Given a simulated target with 1 slot and --pace 2
    When 1 requests of 0.3 s are sent to it at the same time
    Then their statuses are 200
    And the runs took 0.6 s

  Scenario: connections beyond the limit are reset
    Given a simulated target with 9 slots and --connections 2
    When 3 requests of 0.3 s are sent to it at the same time
    Then their statuses are 0 200 200
    And it has reset 1 connection
