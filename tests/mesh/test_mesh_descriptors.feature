Feature: nodes without free descriptors

  # Guards against a sound target without calls, as its node can't connect.
  Scenario: a node that is out of descriptors does not take its target for lost
    Given a mesh with two targets of a service in each of two domains
    When a node with at most 80 descriptors starts again
    And lookups come over other nodes while it has no descriptor left
    Then it could not open a connection to its target
    And it has not taken its target for lost
