Feature: nodes that are held up

  Scenario Outline: a call that may not be repeated receives its answer from a node that was held up for <held_s> s, <meanwhile>
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When the node at the target of a booking is held up for <held_s> s, <meanwhile>
    Then the booking is answered by its target
    And the booking ran once

    Examples:
      | held_s | meanwhile                              |
      | 1.5    | with no other event                    |
      | 1.5    | with SIGTERM to the node of its caller |
      | 2.8    | with no other event                    |

  Scenario Outline: a call that may be repeated receives an answer when all nodes at its targets were held up, <meanwhile>
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When all nodes at the targets of a lookup are held up for 1.5 s, <meanwhile>
    Then the lookup is answered by a target
    And the lookup ran at most twice

    Examples:
      | meanwhile                              |
      | with no other event                    |
      | with SIGTERM to the node of its caller |

  Scenario: a call that may be repeated goes on while the node of its caller is held up
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When the node of the caller of a lookup is held up for 2.8 s
    Then the lookup is answered by a target
    And the lookup ran once

  Scenario: answers of silent nodes are counted
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When all nodes at the targets of a lookup are held up for 1.5 s, with no other event
    Then the lookup is answered by a target
    And the metrics of its node count the answer of a silent node

  # Guards against a grace period that begins when SIGTERM is noted late.
  Scenario: a node is held up while SIGTERM arrives
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When a node with calls in flight is held up for 0.8 s and gets SIGTERM 0.2 s after its start
    Then no call that came later than 3 s after SIGTERM was cut
    And the node has stopped by itself
    And the node has exited within its grace period
    And the call that ends before the last sixth of the grace period has the answer of its target
    And the call that lasts longer has an answer from the last sixth of the grace period

  # Guards against a close without replies after the end of the grace period.
  Scenario: a node is held up over the end of its grace period
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When a node with calls in flight gets SIGTERM and is held up from 4.2 s to 5.6 s after it
    Then the node has stopped by itself
    And the call that ends before the last sixth of the grace period has the answer of its target
    And the call that lasts longer has an answer from the last sixth of the grace period
