Feature: odd entries among those of the nodes

  # Guards against nodes that stop following the list, or fail again and again,
  # for one entry of another writer.
  Scenario: nodes are found and calls answered beside odd entries
    Given a mesh with two targets of a service in each of two domains
    When odd entries are written among those of the nodes
    And a node with a target is added, and the target of hella-t1 ends
    And all other targets of its service end
    Then the new target answers calls of each node
    And no node has logged a traceback or a failed task
