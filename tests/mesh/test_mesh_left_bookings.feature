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
