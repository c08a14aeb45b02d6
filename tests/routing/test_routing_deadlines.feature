Feature: ends of a call whose caller leaves

  Scenario Outline: a caller that leaves after <caller_ms> ms on a route of <route_ms> ms
    When the ends of a call are set for <caller_ms> ms and a route of <route_ms> ms
    Then targets have <target_ms> ms
    And the node replies itself from <reply_ms> ms on
    And a node that stops replies itself from <last_ms> ms on

    Examples:
      | caller_ms | route_ms | target_ms | reply_ms | last_ms |
      | 1000      | 2000     | 930       | 960      | 1000    |
      | 1000      | 1000     | 930       | 960      | 1000    |
      | 6000      | 3000     | 3000      | 3120     | 3120    |
      | 1000      | 900      | 900       | 960      | 1000    |
      | 500       | 2000     | 430       | 460      | 500     |
      | 100       | 2000     | 40        | 60       | 100     |
      | 50        | 2000     | 20        | 25       | 50      |

  # Guards against callers that leave without a reply because their node ran late.
  Scenario Outline: a caller that leaves after <caller_ms> ms, at a node whose loop is usually <late_ms> ms late
    Given a node whose loop is usually <late_ms> ms late
    When the ends of a call are set for <caller_ms> ms and a route of 9000 ms
    Then targets have <target_ms> ms
    And the node replies itself from <reply_ms> ms on

    Examples:
      | caller_ms | late_ms | target_ms | reply_ms |
      | 1000      | 0       | 930       | 960      |
      | 1000      | 50      | 880       | 910      |
      | 3000      | 200     | 2730      | 2760     |

    Examples: no more than a share of the time
      | caller_ms | late_ms | target_ms | reply_ms |
      | 1000      | 400     | 780       | 810      |
      | 500       | 400     | 355       | 385      |

  # Guards against targets that have less time because of a lateness of the past.
  Scenario: a limit of a route ends before the caller leaves, at a late node
    Given a node whose loop is usually 100 ms late
    When the ends of a call are set for 6000 ms and a route of 3000 ms
    Then targets have 3000 ms
    And the node replies itself from 3120 ms on

  # Guards against a node that ends a call before the caller of another leaves.
  Scenario Outline: the nodes of a caller and of a target are usually <late_ms> and <other_ms> ms late
    Given a node whose loop is usually <late_ms> ms late
    When the ends of a call are set for <caller_ms> ms and a route of <route_ms> ms
    Then a node that is usually <other_ms> ms late waits for its target beyond the last reply
    And the node of the caller waits for that node for longer

    Examples:
      | caller_ms | route_ms | late_ms | other_ms |
      | 1000      | 2000     | 0       | 0        |
      | 1000      | 2000     | 50      | 50       |
      | 1000      | 2000     | 200     | 200      |
      | 3000      | 2000     | 0       | 200      |
      | 3000      | 9000     | 200     | 200      |
      | 1500      | 9000     | 200     | 0        |
      | 2500      | 1000     | 100     | 100      |
