Feature: claims ledger

  Scenario: whatever is lost at whatever step, a key runs at most once
    Then attempts under one key with losses at any step run at most once

  Scenario: a call that has not run may run later, one that has gives its answer
    Then a released claim is taken over and a finished one is replayed

  Scenario: a call sent again through another node gives the first answer
    Given a small deployment
    When a deposit with key k1 is sent through n1 and again through n2
    Then both answers are the same and it has run once

  Scenario: another call under the same key is refused
    Given a small deployment
    When a deposit with key k1 is sent through n1 and another one through n2
    Then the second is refused with key-reused and not-run

  Scenario Outline: a deposit sent again and again while <fault> runs at most once
    Given a small deployment
    And a target of innborgun at n1
    And everything is known everywhere
    When a deposit with a key is sent until it is settled while <fault>
    Then it has run at most once on all targets
    And its last answer agrees with what has run

    Examples:
      | fault                                |
      | the target dies during the run       |
      | the node of the target dies          |
      | the node of the target freezes       |
      | the platform loses answers           |
      | the platform is away                 |
