Feature: memory of the connections between nodes

  # Guards against a second copy of the rest of a body that is sent in parts.
  Scenario: a large body is sent in parts without a copy of it
    When a body of 32 MiB is split into parts and these are sent
    Then all of it is sent, with at most 1 MiB besides the body

  # Guards against unread messages that are limited by their number alone.
  @uvloop
  Scenario Outline: a node that is held up reads <what> only as it handles them
    Given a link whose other end does not handle its messages yet
    When <count> messages of <size> KiB are sent on it
    Then at most <most> MiB of them are queued at the other end
    And all of them are handled in their order once it goes on

    Examples:
      | what           | count | size | most |
      | large messages | 40    | 1024 | 5    |
      | small messages | 4000  | 1    | 5    |

  # Guards against a write buffer that grows with the number of calls.
  @uvloop
  Scenario Outline: few bytes are unsent to a node that does not read, with many <what>
    Given two nodes that call each other over one connection
    When the node that reads <what> is held up as 64 calls are sent
    Then at most <most> KiB are unsent
    When it goes on
    Then all calls are answered with their whole bodies
    And no body waits for the connection

    Examples:
      | what               | most |
      | requests of 1 MiB  | 1536 |
      | requests of 64 KiB | 512  |
      | uploads of 2 MiB   | 1536 |
      | answers of 1 MiB   | 512  |
      | answers of 60 KiB  | 512  |

  @uvloop
  Scenario: small calls are answered beside large ones that wait
    Given two nodes that call each other over one connection
    When the node that reads answers of 1 MiB is slow as 32 calls are sent
    Then 20 small calls beside them are answered within 1 s each
    And at most 512 KiB are unsent
    When it goes on
    Then all calls are answered with their whole bodies
    And no body waits for the connection

  # Guards against a call that waits for a node that reads nothing, although
  # another node could serve it.
  @uvloop
  Scenario: large calls that cannot be sent are refused as not run in time
    Given two nodes that call each other over one connection
    When the node that reads requests of 1 MiB is held up as 16 calls of 2 s are sent
    Then all calls but the few that were sent are refused as not run within 1.5 s
    And no body waits for the connection

  @uvloop
  Scenario Outline: large bodies stop waiting as <event>
    Given two nodes that call each other over one connection
    When the node that reads <what> is held up as 16 calls are sent
    And <event>
    Then all calls end within 0.5 s
    And no body waits for the connection

    Examples:
      | event                      | what              |
      | the connection ends        | requests of 1 MiB |
      | the connection ends        | answers of 1 MiB  |
      | the connection is given up | requests of 1 MiB |
      | all calls are cancelled    | requests of 1 MiB |
      | all calls are cancelled    | uploads of 2 MiB  |
      | all calls are cancelled    | answers of 1 MiB  |

  @uvloop
  Scenario: calls that are cancelled while they wait do not hold up others
    Given two nodes that call each other over one connection
    When the node that reads requests of 1 MiB is held up as 16 calls are sent
    And every second of the calls is cancelled
    And it goes on
    Then the other calls are answered with their whole bodies
    And no body waits for the connection
