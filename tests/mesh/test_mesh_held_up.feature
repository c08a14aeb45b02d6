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
