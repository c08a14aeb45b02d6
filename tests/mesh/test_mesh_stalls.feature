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

  # Guards against callers without a reply of whom nobody can tell whether the
  # node read their requests late or replied late.
  Scenario Outline: a reply of the node itself that is <late_ms> ms late tells so
    When the loop is held up for <held_ms> ms while a reply is due
    Then its log line tells that the reply was <late_ms> ms late
    And the lateness of one reply is noted

    Examples:
      | held_ms | late_ms |
      | 0       | 0       |
      | 80      | 80      |

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

  # Guards against a margin for replies that one hiccup changes, or none does.
  Scenario Outline: a loop that was <lates> ms late in its last looks
    Given a node whose event loop runs
    When its last looks are <lates> ms late
    Then the loop is usually <usual_ms> ms late

    Examples:
      | lates                        | usual_ms |
      | none                         | 0        |
      | 900                          | 0        |
      | 1*60, 900                    | 1        |
      | 1*60, 900, 400, 300          | 1        |
      | 1*60, 60, 70, 80, 90         | 60       |
      | 0, 20, 40, 60, 80, 100       | 40       |
      | 60, 70, 80, 90, 1*60         | 60       |
      | 60, 70, 80, 90, 1*61         | 1        |

  # Guards against looks that always meet the same part of a period.
  Scenario: a loop that is held up again and again is usually late
    When a loop is held up for 0.05 s of every 0.1 s for 8 s
    Then the loop is usually 10 to 60 ms late

  # Guards against a lateness that is measured and not kept back.
  Scenario: a call has less time at a node whose loop is usually late
    Given a node whose event loop runs
    When its last looks are 50, 50, 50, 50 ms late
    And a call of 1000 ms comes
    Then its target has 880 ms, and its reply is due after 910 ms

  # Guards against a reply of the caller's node while the target is at work, as
  # the node of the target reads calls and answers late.
  Scenario Outline: a call of another node that has <left_ms> ms left, at a node whose looks were <lates> ms late
    Given a node whose event loop runs
    When its last looks are <lates> ms late
    And another node sends a call that has <left_ms> ms left
    Then its target has <target_ms> ms

    Examples:
      | left_ms | lates         | target_ms |
      | 1000    | none          | 1000      |
      | 1000    | 60*4          | 940       |
      | 1000    | 900, 60*2, 0  | 1000      |
      | 400     | 200*4         | 340       |
