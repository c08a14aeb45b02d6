Feature: calls that crash targets stay refused

  # Guards against calls that crash the next targets whenever the quarantine
  # has forgotten them. Of the retries that are sent later than the third crash
  # three may reach targets.
  Scenario Outline: a call that comes every <pause> s stays refused
    Given <nodes> nodes whose targets come back after they crash
    When the deadly call comes every <pause> s for 3000 s
    Then it has reached no more than 5 targets
    And it is refused at every node
    And a call with the same path is answered at every node

    Examples:
      | nodes | pause |
      | 4     | 3     |
      | 16    | 3     |
      | 16    | 20    |

  Scenario: it is let through once, at one target, when a new version comes
    Given 6 nodes whose targets come back after they crash
    And the deadly call is held
    When 4 targets of version v2 are added
    And the deadly call comes every 1 s for 25 s
    Then it has reached 1 more target, of version v2
    And it is refused at every node
    And a call with the same path is answered at every node

  Scenario: a version that bears the call answers it
    Given 6 nodes whose targets come back after they crash
    And the deadly call is held
    When version v2 bears the call
    And 4 targets of version v2 are added
    And the deadly call comes every 1 s for 25 s
    Then it is answered at every node by targets of version v2

  Scenario: a call that is no longer deadly is let through again
    Given 6 nodes whose targets come back after they crash
    And the deadly call is held
    When version v1 bears the call
    And the deadly call comes every 2 s for 60 s
    Then it is answered at every node by targets of version v1

  Scenario: a node that knows of no crash does not let it through elsewhere
    Given 6 nodes whose targets come back after they crash
    And the deadly call is held
    When a node that knows of no crash takes the place of n2
    And the deadly call comes every 1 s for 25 s
    Then it has reached no more than 5 targets

  Scenario: other calls do not push it out
    Given 6 nodes whose targets come back after they crash
    And the deadly call is held
    When 3000 other calls are reported as running in a crash
    Then it is refused at every node
