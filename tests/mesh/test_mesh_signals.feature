Feature: signals at any moment of the life of a node

  # Guards against a signal that ends a node while it starts, stops or exits,
  # with the answers that it has not handed over.
  Scenario: nodes that get many signals until they are gone end with 0
    Given a mesh with two targets of a service in each of two domains
    When 50 stops are made by signals of drawn kinds and gaps, with seed 37
    Then every node has ended with 0
    And every call that ran has got an answer

  Scenario: nodes for documents that get many signals until they are gone end with 0
    Given a platform
    And nodes n1 n2 n3 n4 n5 in selfoss
    When 20 stops are made by signals of drawn kinds and gaps, with seed 38
    Then every node has ended with 0
