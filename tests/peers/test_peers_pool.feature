Feature: peers pool

  Scenario Outline: a connection that drains is kept until its calls have ended
    Given two nodes with a connection between them
    When a call runs at the <end> end and the node that accepted says goodbye
    And the node that dialled connects again
    Then both nodes still count the call as in flight
    And the call is answered on its connection
    And each node has closed both connections once its pool is closed

    Examples:
      | end       |
      | dialling  |
      | accepting |

  Scenario: a node that closes connections during the upgrade is unreachable
    Given a node that closes each connection during the upgrade
    When another node dials it 3 times
    Then each attempt fails as one to an unreachable node

  # Guards against a stop that a node without a greeting holds up for longer.
  Scenario: a connection without a greeting ends in the time of the closing
    Given a node that accepts connections and sends no greeting
    When another node that dials it closes its pool within 50 ms
    Then the connection without a greeting has had 50 ms to close
