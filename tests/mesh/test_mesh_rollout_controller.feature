Feature: rollouts at a node

  # Guards against an order that is repeated with the same version and is taken
  # for the earlier one: its deadline has passed, so that the version would get
  # all calls and its final state at once, without a judgement.
  Scenario: a rollout that is ordered once more begins anew
    Given a node that has seen the rollout of v2 end as rolled back
    When v2 is ordered once more for 10 s
    Then the rollout has 10 s, no outcomes, and v2 gets a small share of calls

  Scenario: a rollout whose duration is changed keeps its outcomes
    Given a node on which v2 is being rolled out for 10 s, with 30 outcomes
    When the order is changed to 20 s
    Then the rollout has 20 s since its order, and 30 outcomes

  Scenario: a load test takes the calls to the loaded targets only
    Given a node on which v2 is being rolled out for 10 s, with 30 outcomes
    When the load test loads one of three targets
    Then calls for v2 go to this target, and to another one if it was tried
