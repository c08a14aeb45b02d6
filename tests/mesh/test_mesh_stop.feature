Feature: planned stop of a node

  Scenario Outline: a call that comes late in the grace period <how> is not cut without an answer
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When a call comes <how> 3 s after SIGTERM to a node
    Then the call receives a complete answer
    And the call ran if and only if it was answered with 200

    Examples:
      | how                                      |
      | as the rest of one that was begun before |
      | behind another one on its connection     |
      | from another node                        |

  # Guards against a call that is taken during a stop and cut at its end.
  Scenario: a booking from another node that may outlast the grace period is not taken
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When a booking of 6 s with 9 s left comes from another node 1 s after SIGTERM to a node
    Then the call receives a complete answer
    And the call ran if and only if it was answered with 200

  Scenario: a call that is still running at the end of the grace period receives an answer
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When a call that runs for 9 s is in flight at SIGTERM to a node
    Then the call receives a complete answer
    And the node has exited within its grace period

  Scenario: callers that use open connections until a node is gone lose no call that ran
    Given a mesh with two targets of a service in each of two domains
    When callers use open connections to nodes that stop in turn, with seed 26
    Then every call that ran has received an answer
    And no call has waited for its whole time
    And every call that is not idempotent ran at most once

  # Guards against a node that ends while part of a ready answer is still in
  # its own buffer, as the caller reads slowly.
  Scenario: a ready answer reaches a caller that reads slowly
    Given a mesh with two targets of a service in each of two domains
    When a node gets SIGTERM while a caller reads 16 MiB from it at 4 MiB/s
    Then the caller has received the whole answer
    And the node has exited within its grace period

  # Guards against a node that drops its answers to another node, which is held
  # up for a moment, at its end.
  Scenario: answers of a node that stops reach a node that is held up
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When 6 bookings with answers of 250000 bytes end at a node that stops while the callers' node is held up for 0.6 s
    Then each of them has received the answer of its target
    And the node has exited within its grace period

  Scenario: a store that does not answer holds no stop beyond the grace period
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When the store is held up and a node with a draining target stops with a call of 9 s
    Then the call receives a complete answer
    And the node has exited within its grace period
    And the node has stopped by itself
