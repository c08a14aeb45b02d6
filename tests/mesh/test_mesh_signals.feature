Feature: signals at any moment of the life of a node

  # Guards against a signal that ends a node while it starts, stops or exits,
  # with the answers that it has not handed over.
  Scenario: nodes that get many signals until they are gone end with 0
    Given a mesh with two targets of a service in each of two domains
    When 50 stops are made by signals of drawn kinds and gaps, with seed 37
    Then every node has ended with 0
    And every call that ran has got an answer

  Scenario: nodes for documents that get many signals until they are gone end with 0
    Given a platform
    And nodes n1 n2 n3 n4 n5 in selfoss
    When 20 stops are made by signals of drawn kinds and gaps, with seed 38
    Then every node has ended with 0

  # Guards against a grace period that begins when SIGTERM is handled: the
  # process would be killed before it has replied.
  Scenario Outline: a node that is <state> for 1.2 s when it gets SIGTERM replies in time
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When a node gets a call of 9 s and then SIGTERM while it is <state> for 1.2 s
    Then the call receives a complete answer
    And the call was held until the last second of the grace period, or has not run
    And the node has exited within its grace period

    Examples:
      | state        |
      | being loaded |
      | held up      |

  # Guards against a step of the stop whose failure ends the calls in flight.
  Scenario Outline: a node that fails to <step> while it stops finishes its calls
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When a node that fails to <step> gets a call of 3.5 s and then SIGTERM
    Then the call receives a complete answer
    And the node has exited within its grace period
    And the node has ended with 0 and logged the failure of a step

    Examples:
      | step                   |
      | announce its state     |
      | say goodbye            |
      | stop listening         |
      | close idle connections |
      | deregister             |

  # Guards against a signal that ends a node while Python still looks for its
  # modules.
  Scenario Outline: a node that gets <signal> during the start of Python <result>
    Given a mesh with two targets of a service in each of two domains
    When a node whose start of Python takes 3 s gets <signal> 1 s after its start
    Then the node <result>

    Examples:
      | signal  | result                |
      | SIGHUP  | runs on               |
      | SIGTERM | ends by itself with 0 |

  # Guards against a node that starts and accepts calls after SIGTERM.
  Scenario: a node that gets SIGTERM before it listens ends without a start
    Given a mesh with two targets of a service in each of two domains
    When a node whose start of Python takes 3 s gets SIGTERM 1 s after its start
    Then the node ends by itself with 0
    And the node has not been started
