Feature: calls during the grace period

  Scenario Outline: a call that comes <came_s> s after SIGTERM and ends within <left_s> s is <outcome>
    Given a node that has received SIGTERM with a grace period of 6 s
    When a call comes after <came_s> s that ends within <left_s> s
    Then it is <outcome> as far as the grace period goes

    Examples:
      | came_s | left_s | outcome  |
      | 0.0    | 9.0    | accepted |
      | 2.4    | 9.0    | accepted |
      | 2.6    | 2.6    | accepted |
      | 2.6    | 2.8    | refused  |
      | 5.0    | 0.5    | refused  |

  Scenario Outline: a call that another node sends <came_s> s after SIGTERM, ends within <left_s> s and <kind> is <outcome>
    Given a node that has received SIGTERM with a grace period of 6 s
    When a call from another node comes after <came_s> s that ends within <left_s> s and <kind>
    Then it is <outcome> as far as the grace period goes

    Examples:
      | came_s | left_s | kind                | outcome  |
      | 0.0    | 5.2    | may not be repeated | accepted |
      | 0.0    | 5.4    | may not be repeated | refused  |
      | 2.4    | 2.8    | may not be repeated | accepted |
      | 2.4    | 9.0    | may not be repeated | refused  |
      | 2.4    | 9.0    | may be repeated     | accepted |
      | 2.6    | 2.8    | may be repeated     | refused  |
      | 2.6    | 2.6    | may be repeated     | accepted |

  # Guards against calls that are accepted when no reply is given any more.
  Scenario: a call that comes late in a short grace period is refused
    Given a node that has received SIGTERM with a grace period of 2 s
    When a call comes after 1.6 s that ends within 9.0 s
    Then it is refused as far as the grace period goes

  Scenario Outline: a caller that waits until <deadline_s> s after SIGTERM is replied to by <reply_s> s
    Given a node that has received SIGTERM with a grace period of 6 s
    When a call that came <when> waits until <deadline_s> s after it
    Then its caller is replied to <reply_s> s after SIGTERM

    Examples:
      | when          | deadline_s | reply_s |
      | before it     | 9.0        | 5.3     |
      | after it      | 9.0        | 5.3     |
      | before it     | 3.0        | 3.0     |
      | after it      | 3.0        | 3.0     |

  # Guards against own replies while the caller waits and a target is at work.
  Scenario Outline: a caller that would be replied to after <deadline_s> s and leaves after <last_s> s
    Given a node that has received SIGTERM with a grace period of 6 s
    When a call that came <when> waits until <deadline_s> s after it, or <last_s> s at a node that stops
    Then its caller is replied to <reply_s> s after SIGTERM

    Examples:
      | when      | deadline_s | last_s | reply_s |
      | before it | 0.95       | 1.0    | 1.0     |
      | after it  | 0.95       | 1.0    | 1.0     |
      | before it | 5.25       | 5.32   | 5.3     |
      | after it  | 5.25       | 5.32   | 5.3     |

  # Guards against own replies in the planned stop of the process before.
  Scenario Outline: a call that comes <came_s> s after the start of a node that had <what>
    Given a node that has received SIGTERM with a grace period of 6 s
    When a call that comes <came_s> s after a start waits until 0.95 s after it, or 1.0 s beside a planned stop, at a node that had <what>
    Then its caller is replied to <reply_s> s after it came

    Examples:
      | came_s | what                                       | reply_s |
      | 0.1    | no earlier process                         | 0.95    |
      | 0.1    | an earlier process, as it learns at 0.05 s | 1.0     |
      | 0.1    | an earlier process, as it learns at 0.5 s  | 1.0     |
      | 6.9    | an earlier process, as it learns at 0.05 s | 1.0     |
      | 7.1    | an earlier process, as it learns at 0.05 s | 0.95    |

  # Guards against a restarted node that does not notice, as its target was faster.
  Scenario Outline: the record of an earlier process is found <when>
    When a node that starts finds <what> in the store <when>
    Then it <notes> an earlier process

    Examples:
      | what         | when                             | notes         |
      | its record   | before its target has registered | notes         |
      | its record   | after its target has registered  | notes         |
      | its record   | as it writes its own             | notes         |
      | other nodes  | after its target has registered  | does not note |
      | what it wrote itself | after its target has registered | does not note |

  # Guards against early replies in place of answers of targets at work.
  Scenario Outline: a grace period of <grace_s> s
    Given a node that has received SIGTERM with a grace period of <grace_s> s
    When SIGTERM is handled 0.0 s late while a call of 12 s waits
    Then its caller is replied to <reply_s> s after SIGTERM
    And calls of any length are accepted until <accepts_s> s, connections until <listens_s> s, and closed <closes_s> s after SIGTERM
    And the reply comes in the last sixth of the grace period

    Examples:
      | grace_s | accepts_s | listens_s | reply_s | closes_s |
      | 1       | 0.3       | 0.8542    | 0.8542  | 0.875    |
      | 2       | 1.3       | 1.7083    | 1.7083  | 1.75     |
      | 3       | 2.3       | 2.5       | 2.5625  | 2.625    |
      | 4       | 2.5       | 2.5       | 3.4167  | 3.5      |
      | 5       | 2.5       | 2.5       | 4.3     | 4.4      |
      | 6       | 2.5       | 2.5       | 5.3     | 5.4      |
      | 10      | 2.5       | 2.5       | 9.3     | 9.4      |

  # Guards against a stop that fails because a call has reached its time limit
  # at the same moment, and ends all other calls with it.
  Scenario: a grace period begins while a call reaches its time limit
    Given a node that has received SIGTERM with a grace period of 6 s
    When the grace period begins while a call of 0.5 s reaches its limit beside one of 9 s
    Then the callers are replied to 0.5 s and 5.8 s after they came

  # Guards against a grace period that begins when SIGTERM is handled: the
  # process would be killed before it has replied.
  Scenario Outline: SIGTERM is handled <late_s> s late
    Given a node that has received SIGTERM with a grace period of 6 s
    When SIGTERM is handled <late_s> s late while a call of 9 s waits
    Then its caller is replied to <reply_s> s after SIGTERM
    And calls of any length are accepted until <accepts_s> s, connections until <listens_s> s, and closed <closes_s> s after SIGTERM

    Examples:
      | late_s | accepts_s | listens_s | reply_s | closes_s |
      | 0.0    | 2.5       | 2.5       | 5.3     | 5.4      |
      | 1.2    | 2.5       | 3.7       | 5.3     | 5.4      |
      | 3.0    | 2.5       | 5.3       | 5.3     | 5.4      |
      | 5.0    | 2.5       | 5.4       | 5.4     | 5.5      |
      | 5.6    | 2.5       | 5.7       | 5.7     | 5.8      |
      | 5.9    | 2.5       | 5.95      | 5.95    | 6.0      |
      | 7.0    | 2.5       | 7.05      | 7.05    | 7.1      |

  # Guards against a kill, or calls cut early, as SIGTERM was noted late.
  Scenario Outline: SIGTERM may have come up to <unsure_s> s before it is noted
    Given a node that has received SIGTERM with a grace period of <grace_s> s
    When SIGTERM is noted <unsure_s> s after its earliest time while a call of <grace_s> s waits
    Then its caller is replied to <reply_s> s after SIGTERM
    And calls of any length are accepted until 2.5 s, connections until <listens_s> s, and closed <closes_s> s after SIGTERM

    Examples:
      | grace_s | unsure_s | listens_s | reply_s | closes_s |
      | 6       | 0.0      | 2.5       | 5.3     | 5.4      |
      | 6       | 0.2      | 2.7       | 5.3     | 5.4      |
      | 6       | 0.5      | 3.0       | 5.5     | 5.6      |
      | 6       | 0.9      | 3.4       | 5.6     | 5.7      |
      | 10      | 0.8      | 3.3       | 9.3     | 9.4      |

  # Guards against 504 for an answer that arrived in time, as the loop was held
  # up and its timers run before its sockets are read.
  @uvloop
  Scenario: an answer that arrived before the limit is not read yet
    When the loop is held up past the limit of a call whose answer has arrived
    Then the call has its answer

  # Guards against a stop whose last steps take the time in which the process
  # ends, so that it is killed.
  Scenario Outline: a stop of <grace_s> s, begun <late_s> s late, leaves time for the end of its process
    Given a node that has received SIGTERM with a grace period of <grace_s> s
    When its stop begins <late_s> s late and neither the store, another node nor a caller answers
    Then its stop has ended <ends_s> s after SIGTERM

    Examples:
      | grace_s | late_s | ends_s |
      | 1       | 0.0    | 0.9375 |
      | 2       | 0.0    | 1.875  |
      | 6       | 0.0    | 5.7    |
      | 6       | 3.0    | 5.7    |
      | 6       | 5.0    | 5.75   |
      | 6       | 5.9    | 6.05   |
      | 10      | 0.0    | 9.7    |

  Scenario: a stop whose loop is held up nearly to its end takes little longer
    Given a node that has received SIGTERM with a grace period of 6 s
    When its loop is held up until 5.75 s after SIGTERM and neither the store, another node nor a caller answers
    Then its stop has ended 5.9 s after SIGTERM
