Feature: slots that long calls leave to urgent ones

  # Guards against bursts of long calls that take the slots of urgent ones, and
  # against a reserve that starves the long calls.
  Scenario Outline: bursts of long calls of <factor> times their usual number take little from urgent calls
    Given a target of 9 slots with urgent calls of 0.2 s and long calls of 1.1 s
    When the long calls come in bursts of <factor> times their usual number for 60 s
    Then over 3 draws the urgent calls answered in time are at least <percent> in 100
    And without a reserve they are fewer
    And the long calls are served at least a quarter as often as all calls

    Examples:
      | factor | percent |
      | 2.1    | 90      |
      | 2.5    | 88      |

  # Guards against slots that are kept free where nothing is urgent.
  Scenario: without contention no slot is reserved
    Given a target of 9 slots with urgent calls of 0.2 s and long calls of 1.1 s
    When a quarter as many calls as usual come for 20 s
    Then no call was refused and no slot is reserved

  Scenario Outline: a reserve for calls that <what> has <size> of 9 slots
    Given a reserve that has seen <per_s> calls per second of 0.2 s and priority 0, with an objective of 0.5 s
    When a call found less urgent ones in all slots <waited_s> s ago
    Then <size> of 9 slots are reserved from calls of <run_s> s and priority <priority>

    Examples:
      | what                      | per_s | waited_s | run_s | priority | size |
      | come often                | 10    | 1        | 1.1   | 2        | 2    |
      | come more often           | 19    | 1        | 1.1   | 2        | 4    |
      | exceed the target         | 90    | 1        | 1.1   | 2        | 6    |
      | come seldom               | 1     | 1        | 1.1   | 2        | 1    |
      | wait for short ones       | 19    | 1        | 0.3   | 2        | 0    |
      | are as urgent             | 19    | 1        | 1.1   | 0        | 0    |
      | have not waited for long  | 19    | 11       | 1.1   | 2        | 0    |
