Feature: a node that was held up

  @uvloop
  Scenario Outline: what arrived while a node was held up counts before its timers, <calls>
    Given a connection to a node that answers within 0.1 s, <calls>
    When the node is held up for <held_s> s <moment>
    Then the connection is not given up

    Examples:
      | calls               | held_s | moment               |
      | with a call pending | 1.2    | right after its ping |
      | without calls       | 2.6    | at any moment        |
