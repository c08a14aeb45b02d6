Feature: connections and records of the nodes of the mesh

  Scenario: a usable connection to a node is kept while an older one drains
    Given a node that was connected to again while an older connection drains
    When it announces a record on both connections, last on the older one
    Then it is reached over the newer connection
    And the record that it announced is known

  Scenario: a record that arrives late does not replace a newer one
    Given a node that was connected to again while an older connection drains
    When it announces a record on the newer connection
    And an older record arrives on the older connection, which is still usable
    Then it is reached over the newer connection
    And the record that it announced is known

  Scenario: a connection that waits for calls of a silent node is not used
    Given a node that was connected to again while an older connection drains
    When the older connection waits for calls of a silent node
    And the newer connection ends
    Then the node is lost
