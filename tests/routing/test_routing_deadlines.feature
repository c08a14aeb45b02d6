Feature: ends of a call whose caller leaves

  Scenario Outline: a caller that leaves after <caller_ms> ms on a route of <route_ms> ms
    When the ends of a call are set for <caller_ms> ms and a route of <route_ms> ms
    Then targets have <target_ms> ms
    And the node replies itself from <reply_ms> ms on

    Examples:
      | caller_ms | route_ms | target_ms | reply_ms |
      | 1000      | 2000     | 930       | 960      |
      | 1000      | 1000     | 930       | 960      |
      | 6000      | 3000     | 3000      | 3120     |
      | 1000      | 900      | 900       | 960      |
      | 500       | 2000     | 450       | 465      |
      | 100       | 2000     | 90        | 85       |
