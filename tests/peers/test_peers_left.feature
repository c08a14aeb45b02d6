@uvloop
Feature: calls between nodes whose callers leave

  # Guards against a call that runs although its caller left while it waited at
  # the other node, whatever the size of its body.
  Scenario Outline: a call with <size> bytes whose caller leaves while it waits does not run
    Given a node that runs bookings and another node that calls it
    When 6 bookings with <size> bytes wait there, their callers leave, and the slots become free
    Then none of the bookings has begun
    And neither node holds anything of them

    Examples:
      | size     |
      | 24000    |
      | 1048575  |
      | 1048576  |
      | 1048577  |
      | 8000000  |

  # Guards against half a body at a target, as the node of the caller has not
  # sent all of it when the caller leaves.
  Scenario Outline: a call with <size> bytes whose caller leaves once it has begun gets its whole body
    Given a node that runs bookings and another node that calls it
    When 3 bookings with <size> bytes begin there, their callers leave, and their targets read on
    Then all of the bookings have run with their whole bodies
    And neither node holds anything of them

    Examples:
      | size     |
      | 24000    |
      | 1048576  |
      | 1048577  |
      | 8000000  |

  # Guards against a decision of two nodes that crosses the start of the run.
  Scenario Outline: calls whose callers leave as slots become free run whole or not at all, seed <seed>
    Given a node that runs bookings and another node that calls it
    When 60 bookings with 600000 or 1500000 bytes have callers that leave as they begin, with the seed <seed>
    Then each booking has run with its whole body or has not begun
    And some bookings have run, and some have not begun
    And neither node holds anything of them

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a body that is sent for longer than its call lasts.
  Scenario Outline: what is left of a body is given up when <end>
    Given a node that runs bookings and another node that calls it
    When 3 bookings with 8000000 bytes begin there, their callers leave, and <end>
    Then neither node holds anything of them

    Examples:
      | end                             |
      | the connection ends             |
      | their deadlines pass            |
      | the node runs an older version  |

  # Guards against a lookup that goes on although its caller has left.
  Scenario: a call that may be repeated ends when its caller leaves
    Given a node that runs bookings and another node that calls it
    When 3 lookups with 8000000 bytes begin there, their callers leave, and their targets read on
    Then none of the bookings has run
    And neither node holds anything of them
