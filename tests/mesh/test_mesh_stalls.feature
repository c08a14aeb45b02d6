Feature: stalls of the event loop

  Scenario: an event loop that was held up is counted
    When an event loop is held up for 0.9 s
    Then one stall of at least 0.3 s is counted

  Scenario: an event loop that runs is not counted
    When an event loop is held up for 0.0 s
    Then no stall is counted

  # Guards against refusals of which nobody can tell whether a stall led to them.
  Scenario Outline: a call that is refused <later_s> s after a stall tells <late_ms> ms
    Given a node whose event loop was held up for 0.9 s
    When a call is refused <later_s> s later
    Then its log line tells that the loop was <late_ms> ms late

    Examples:
      | later_s | late_ms |
      | 1.0     | 900     |
      | 6.0     | 0       |

  # Guards against a stop that counts its time from when a node runs again.
  Scenario Outline: a signal is noted <noted_s> s after the loop has run and <read_s> s after its clock was read
    Given a node whose event loop runs
    When a signal is noted <noted_s> s after that, and <read_s> s after the clock was read
    Then it may have come <early_s> s before it is noted

    Examples:
      | noted_s | read_s | early_s |
      | 0.2     | 0.2    | 0.0     |
      | 0.28    | 0.28   | 0.0     |
      | 0.9     | 0.9    | 0.9     |
      | 0.9     | 0.8    | 0.8     |
      | 0.9     | 0.01   | 0.01    |
