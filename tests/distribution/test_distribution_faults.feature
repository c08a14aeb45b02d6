Feature: distribution faults

  Scenario Outline: an accepted configuration is in force everywhere in time under <fault>
    Given a mesh of 7 nodes in 2 failure domains
    When <fault> happens and a configuration is accepted
    Then it is in force on every node that runs within 13 s
    And no node has gone back

    Examples:
      | fault                               |
      | a relay is killed                   |
      | a relay is frozen                   |
      | all relays of a domain are killed   |
      | the platform is slow                |
      | the answer of the platform is lost  |
      | the platform goes away right after  |
      | the platform goes away with the write and stays away |

  Scenario: a relay that wakes after its lease lapsed is no relay and catches up
    Given a mesh of 7 nodes in 2 failure domains
    When a relay is frozen, replaced, and woken after a change
    Then it is in force on every node that runs within 13 s
    And no failure domain has more relays than leases
    And no node has gone back

  Scenario: a platform outage leaves nodes serving and lets new ones start
    Given a small deployment
    When the platform is away and n1 is killed and started again
    Then it is in force on every node that runs within 13 s
    When GET /tonabok/bells is sent to n1
    Then the status is 200

  Scenario: a herd that restarts keeps to the rates of the platform and converges
    Given a mesh of 12 nodes in 3 failure domains
    When all nodes are killed and started again under the platform's limits
    Then it is in force on every node that runs within 30 s
    And the platform has refused nothing for its rates
