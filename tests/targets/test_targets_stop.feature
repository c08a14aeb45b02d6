Feature: targets stop

  Scenario Outline: SIGTERM cuts no call in flight
    Given a small deployment
    When calls of 1 s are in flight through n1 and <process> gets SIGTERM
    Then every call in flight is answered whole
    And the <process> exits with 0

    Examples:
      | process        |
      | node n1        |
      | node n2        |
      | target at n2   |

  Scenario: a streamed answer in flight survives SIGTERM of both nodes
    Given a small deployment
    When an answer of 2000000 bytes is under way and n1 and n2 get SIGTERM
    Then the answer has 2000000 bytes

  Scenario Outline: after SIGKILL the caller never takes a cut answer for whole
    Given a small deployment
    When an answer of 2000000 bytes is under way through n1 and <process> is killed
    Then the caller sees a broken answer or a typed refusal

    Examples:
      | process        |
      | node n1        |
      | node n2        |
      | target at n2   |

  Scenario Outline: a call that was running when <process> was killed is not called not run
    Given a small deployment
    When a deposit runs through n1 and <process> is killed meanwhile
    Then the deposit ends as unknown and has run at most once

    Examples:
      | process        |
      | node n3        |
      | target at n3   |

  Scenario: a node that leaves gets no new calls
    Given a small deployment
    And a target of tonabok at n1
    And everything is known everywhere
    When calls keep coming to n3 while n2 gets SIGTERM
    Then no call to n3 is lost
