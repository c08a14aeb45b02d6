Feature: fairness between teams that wait for slots

  # 80 teams, 4 of them large, offer <load> times the capacity of a target; one
  # sends five times as much. Guards against a team that is starved because it
  # sends much, which equal shares alone do.
  Scenario Outline: no team is served less than a quarter as often as all at <load> times the capacity, <flooding> sending more
    Given 80 teams that offer <load> times the capacity, started by weighted fair queueing
    When <flooding> sends five times its usual load
    Then no team is served less than a quarter as often as all teams

    Examples:
      | load | flooding     |
      | 0.9  | a large team |
      | 0.9  | a small team |
      | 1.2  | a large team |
      | 1.6  | a large team |
      | 1.6  | a small team |

  # Guards against teams that lose calls by the load of another team.
  Scenario Outline: the other teams keep their calls while <flooding> sends more
    Given 80 teams that offer 0.9 times the capacity, started by weighted fair queueing
    When <flooding> sends five times its usual load
    Then the other large teams and the other small teams keep 98 percent of their calls
    And they had no less before than without fairness

    Examples:
      | flooding     |
      | a large team |
      | a small team |

  # Shows that the checks above tell the ways apart.
  Scenario Outline: with <way>, <loss>
    Given 80 teams that offer <load> times the capacity, started by <way>
    When a large team sends five times its usual load
    Then <loss>

    Examples:
      | way                      | load | loss                                               |
      | due times                | 0.9  | other teams lose a fifth of their calls            |
      | token shares             | 0.9  | other teams lose a fifth of their calls            |
      | start-time fair queueing | 0.9  | teams had less before than without fairness        |
      | equal shares alone       | 1.6  | a team is served less than a quarter as often      |

  # Guards against a change for deployments without teams.
  Scenario Outline: <calls> start by priority and then by due time
    Then any waiting calls that are <calls> start by priority and then by due time

    Examples:
      | calls                  |
      | without teams          |
      | all of one team        |

  Scenario: nested calls start first
    Given a call of priority 0 waits, and a nested one of priority 2 comes
    Then the nested call starts first, and the other one yields to it

  # Guards against a short call that takes the place of a queued one of its
  # team, and against a queued call that keeps out a team with fewer calls.
  Scenario: a queued call yields to a team that has had less, but not to its own
    Given a team with 20 waiting calls, and one that has none
    Then the last call yields to a new call of the other team
    And no call yields to a new call of its own team or of less urgency

  # Guards against calls that are lost or start twice, tags that go back, and
  # calls of a team that overtake each other.
  Scenario: queues with any calls of any teams keep their order
    Then after any additions, starts and drops the queue is sound

  # Guards against memory that grows with the teams that have ever called.
  Scenario: the state of teams is bounded
    Given a queue that 12000 teams have used within a second
    Then it holds 10000 flows of less than 500 bytes each
    And it holds 1 flow once a team calls 31 s later
