Feature: bookings whose callers have left before they began to run

  # Guards against bookings that run long after their callers have left.
  Scenario Outline: bookings that wait <where> when their callers leave do not run
    Given a mesh with two targets of a service in each of two domains
    And bookings that may wait for 3 s
    When 12 bookings of 1.6 s hold the slots of all targets, and 4 of 8 callers of <node> leave while their bookings wait
    Then no booking of a caller that left has run
    And all other bookings are answered

    Examples:
      | where                     | node   |
      | at the node of the target | vik-s  |
      | at another node           | vik-t1 |

  Scenario Outline: bookings that run when their callers leave run to their end
    Given a mesh with two targets of a service in each of two domains
    When 4 bookings of 1.0 s run as their callers at <node> leave
    Then each of these bookings has run to its end once

    Examples:
      | node   |
      | vik-s  |
      | vik-t1 |

  # Guards against the same for bookings whose bodies are sent in parts.
  Scenario Outline: bookings of <size> bytes that wait <where> when their callers leave do not run
    Given a mesh with two targets of a service in each of two domains
    And bookings that may wait for 3 s
    When 12 bookings of 1.6 s hold the slots of all targets, and 4 of 8 callers at <node>, with <size> bytes, leave while their bookings wait
    Then no booking of a caller that left has run
    And all other bookings are answered
    And no node holds a call or a request any more

    Examples:
      | size    | where                     | node   |
      | 3000000 | at the node of the target | vik-s  |
      | 3000000 | at another node           | vik-t1 |
      | 1048577 | at another node           | vik-t1 |

  # Guards against callers whose end looks different from a closed connection.
  Scenario Outline: bookings whose callers at <node> <leave> while they wait do not run
    Given a mesh with two targets of a service in each of two domains
    And bookings that may wait for 3 s
    When 12 bookings of 1.6 s hold the slots of all targets, and 4 of 8 callers at <node>, with 3000000 bytes, <leave> while their bookings wait
    Then no booking of a caller that left has run
    And all other bookings are answered
    And no node holds a call or a request any more

    Examples:
      | node   | leave                                |
      | vik-t1 | reset their connections              |
      | vik-t1 | close their sending sides, then all, |
      | vik-s  | reset their connections              |

  # Guards against a caller that waits on and gets no answer.
  Scenario: bookings whose callers only close their sending sides are answered
    Given a mesh with two targets of a service in each of two domains
    And bookings that may wait for 3 s
    When 12 bookings of 1.6 s hold the slots of all targets, and 4 of 8 callers at vik-t1, with 3000000 bytes, close their sending sides while their bookings wait
    Then all other bookings are answered
    And no node holds a call or a request any more

  # Guards against half a body at a target, and against a run that is broken
  # off, as the caller's node has not sent all of it when the caller leaves.
  Scenario Outline: targets that read bookings as their callers leave get them whole, at <node>
    Given a mesh with two targets of a service in each of two domains
    When 2 bookings of 16000000 bytes, read in 1.2 s, are begun as their callers at <node> leave
    Then each target has got the whole body of each booking that it began
    And all of these bookings were begun
    And no node holds a call or a request any more

    Examples:
      | node   |
      | vik-s  |
      | vik-t1 |

  # Guards against a stop that breaks off the rest of these bodies.
  Scenario Outline: targets get bookings of callers at <node> that left whole while <stopped> stops
    Given a mesh with two targets of a service in each of two domains
    When 2 bookings of 16000000 bytes, read in 1.8 s, are begun as their callers at <node> leave, and <stopped> stops
    Then each target has got the whole body of each booking that it began
    And all of these bookings were begun
    And the node has exited within its grace period
    And the node has ended with 0

    Examples:
      | node   | stopped |
      | vik-s  | vik-s   |
      | vik-t1 | vik-t1  |
      | vik-t1 | vik-s   |

  # Guards against a decision that crosses the start of the run.
  Scenario: bookings whose callers leave as slots become free are run whole or not at all
    Given a mesh with two targets of a service in each of two domains
    And bookings that may wait for 3 s
    When 12 bookings of 1.0 s hold the slots of all targets, and 24 callers at vik-t1, with 1500000 bytes, leave from 0.2 s before these end to 0.8 s after it
    Then each target has got the whole body of each booking that it began
    And some of these bookings were begun, and some were not
    And no node holds a call or a request any more
