Feature: closing of a connection between nodes

  # Guards against a node that drops the rest of its answers 0.2 s after it
  # began to close a connection.
  Scenario Outline: answers reach a node that is held up while the other one stops, on <loop>
    Given a node with a target and another node with a connection to it
    When the other node is held up for <held_s> s after 12 calls with answers of <size> bytes
    And the node stops as soon as it has nothing in flight
    Then all these calls get their whole answers
    And the stop has taken at most 3 s

    Examples:
      | loop    | held_s | size   |
      | asyncio | 0.7    | 250000 |
      | asyncio | 0.7    | 20000  |

    @uvloop
    Examples: with uvloop
      | loop   | held_s | size   |
      | uvloop | 0.7    | 250000 |
      | uvloop | 0.7    | 20000  |

  Scenario: a node that is held up for long does not hold up the stop of another one
    Given a node with a target and another node with a connection to it
    When the other node is held up for 9 s after 12 calls with answers of 250000 bytes
    And the node stops as soon as it has nothing in flight
    Then the stop has taken at most 3 s

  # Guards against an answer that fails since no more of it can be requested.
  Scenario: an answer is read to its end though its connection has just ended
    Given a node with a target and another node with a connection to it
    When the last parts of an answer arrive just before its connection ends
    Then the answer is read to its end

  Scenario Outline: a call that reaches a node as it closes its connections <when> is refused as not run
    Given a node with a target and another node with a connection to it
    When a call of the other node reaches the node <when> as it closes its connections
    Then the call was refused as not run
    And the target has run no call

    Examples:
      | when                   |
      | after its last reading |
      | in its last reading    |

  Scenario: a call that was taken before the end is not refused as not run
    Given a node with a target and another node with a connection to it
    When the node closes its connections while a call of the other node runs
    Then the call was refused with its outcome unknown

  # Guards against a connection that is opened while the node closes the others.
  Scenario: a call that opens a connection to a node as it stops is run or refused as not run
    Given a node with a target and another node with a connection to it
    When calls of new nodes begin 0 to 6 ms before the node closes its connections
    Then each call has run or was refused as not run
