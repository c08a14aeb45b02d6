Feature: signals while a node starts

  # Guards against a node that a signal ends while it is being loaded, with
  # the calls that it has accepted.
  Scenario Outline: a node that gets <signal> as soon as it accepts connections <result>
    Given a mesh with two targets of a service in each of two domains
    When a node starts again and gets <signal> as soon as it accepts connections
    And a call comes at the same moment
    Then the node <result>
    And the call has received an answer

    Examples:
      | signal  | result             |
      | SIGHUP  | runs on            |
      | SIGTERM | ends by itself with 0 |
