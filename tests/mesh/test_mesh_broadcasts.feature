Feature: memory for the messages that nodes broadcast

  # Guards against reports that are kept by their number, whatever their size.
  Scenario Outline: <count> reports of crashes with <calls> calls are kept up to 1 MiB
    Given a node that keeps all reports of crashes
    When <count> reports of crashes with <calls> calls arrive from another node
    Then it keeps <kept> of them, the newest
    And all that it keeps goes into one message to a node that starts

    Examples:
      | count | calls | kept |
      | 300   | 4     | 256  |
      | 300   | 1000  | 116  |
      | 3     | 40000 | 2    |

  Scenario Outline: a message with <what> is not remembered
    Given a node that keeps all reports of crashes
    When a message with <what> arrives from another node
    Then it is refused, and nothing is remembered

    Examples:
      | what                |
      | a name of 1 MiB     |
      | a number of 1 MiB   |
