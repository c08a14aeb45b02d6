Feature: memory of what relays report of other failure domains

  # Guards against a neighbour that fills the memory of a node with names.
  Scenario Outline: <what> that a neighbour makes up take at most 24 MiB
    Given a view with 3400 nodes in 7 domains
    When a neighbour reports <what>
    Then the view has grown by at most 24 MiB, with few lines
    And it has all 3400 nodes, and follows their changes
    And it takes new nodes once a domain of the neighbour is empty

    Examples:
      | what                    |
      | 120000 nodes            |
      | 400000 domains          |
      | digests of 400000 names |
      | 200 nodes with long names |
      | 200 nodes with long numbers |
