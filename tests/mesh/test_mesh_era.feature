Feature: the store returns from an older copy

  Scenario: nodes write their lost records again, each once
    Given a mesh with two targets of a service in each of two domains
    And every node has found the others of its domain within 10 s
    When the store is restored from a copy without anything
    And operators write their objects again
    Then within 8 s the store holds the records of all nodes
    And each record was written once, and few nodes listed all objects

  Scenario: a node keeps the newest configuration until the operator's write
    Given a mesh with two targets of a service in each of two domains
    And every node has found the others of its domain within 10 s
    When a configuration with one more route is accepted
    Then every node serves the new route within 2 s
    When the store is restored from a copy of before the configuration
    Then for 3 s all nodes serve the new route
    When a node is killed and restarted
    Then it serves the new route again within 4 s
    And for 3 s all nodes serve the new route
    When operators write their objects again
    And the next configuration with a further route is accepted
    Then every node serves the further route within 2 s

  Scenario: a configuration reaches all nodes although its revision was given out before
    Given a mesh with two targets of a service in each of two domains
    And every node has found the others of its domain within 10 s
    When 12 objects are written that nodes don't use
    And the store is restored from a copy of before them
    And the next configuration with a further route is accepted
    Then every node serves the further route within 2 s

  Scenario Outline: the final state of a rollout is written again if <lost>
    Given a mesh with two targets of a service in each of two domains
    When a good version of the service is rolled out within 6 s under load
    Then the store holds the state completed before the deadline
    When the store is restored from a copy of before <lost>
    And operators write their objects again
    Then within 4 s the store holds the state completed again

    Examples:
      | lost      |
      | the end   |
      | the order |

  Scenario: a running rollout ends although its order is lost for a moment
    Given a mesh with two targets of a service in each of two domains
    When a bad version is being rolled out and the store loses the order
    Then the store holds the state rolled_back before the deadline

  Scenario: a lost withdrawal stays in effect until the operator's write
    Given a mesh with two targets of a service in each of two domains
    When the failure domain vik is withdrawn
    Then after 2 s no target of vik runs any call, and all are answered
    When the store is restored from a copy of before the withdrawal
    Then after 2 s no target of vik runs any call, and all are answered
    When operators write their objects again
    Then once it is restored targets of vik run calls again

  Scenario: nodes cut off from the store at that moment agree with the others
    Given a mesh in which one domain reaches the store through a proxy
    When that domain is cut off, the store loses all, and operators write again
    Then within 12 s the store holds the records of all nodes
    And a configuration with one more route is accepted
    And every node serves the new route within 2 s
    And all nodes know of the era 1

  Scenario: a store without eras stays at era 0
    Given a mesh with two targets of a service in each of two domains
    And the store sends no era
    When a configuration with one more route is accepted
    Then every node serves the new route within 2 s
    And all nodes know of the era 0
