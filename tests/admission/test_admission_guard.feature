Feature: admission guard

  Scenario: a target that has just started gets no more work than it bears
    Given a platform
    And nodes n1 n2 in selfoss
    And an accepted configuration
    When a cold target of tonabok starts at n2 and 200 calls come at once through n1
    Then the target has shed nothing
    And every refusal says not-run and no refused call has run

  Scenario: a target that turns cold without warning is not run over
    Given a platform
    And nodes n1 n2 in selfoss
    And a target of tonabok at n2
    And an accepted configuration
    And everything is known everywhere
    When the target at n2 turns cold while calls keep coming through n1
    Then no more than 20 in 100 calls are lost

  Scenario Outline: no new work after 3 s for <what>
    Given a small deployment
    And a target of tonabok at n1
    And everything is known everywhere
    When <what> at n2 is taken out
    And 3.0 s pass
    Then calls through n1 n2 n3 are answered without the target at n2
    And no call in flight at n2 was cut

    Examples:
      | what               |
      | a target           |
      | a failure domain   |

  Scenario: a limit falls under overload and rises again
    Then the limiter falls when calls are shed and rises to the slots again

  Scenario: calls that cannot meet their deadline are refused as not run
    Given a small deployment
    When 30 calls with a deadline of 400 ms need 300 ms each through n1
    Then every refusal says not-run and no refused call has run
    And at least 6 calls are answered
