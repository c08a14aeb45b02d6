@uvloop
Feature: answers between nodes with a status that HTTP does not have

  # Guards against a status that another node passes on to the caller.
  Scenario Outline: an answer of another node with status <status> is a failure
    Given another node that answers a call with status <status>
    When this node calls it
    Then the call has failed as one of a lost node, with an unknown outcome
    And the call to the other node is not kept open

    Examples:
      | status |
      | 0      |
      | 42     |
      | 99     |
      | 100    |
      | 101    |
      | 199    |
      | 600    |
      | 999    |
      | 100000 |

  Scenario Outline: an answer of another node with status <status> is passed on
    Given another node that answers a call with status <status>
    When this node calls it
    Then the call between the nodes has its answer

    Examples:
      | status |
      | 200    |
      | 599    |
