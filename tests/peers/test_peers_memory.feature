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
      | large messages | 16    | 1024 | 5    |
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

  # Guards against bodies of calls that wait for a slot, which nobody counts.
  Scenario Outline: a node without room for the body of a call refuses it as not run, <what>
    Given two nodes that call each other over one connection
    And room at a busy target for 4 MiB of its calls
    When 16 calls with <what> of 1 MiB are sent
    Then <held> of them run and the others are refused as not run for want of memory
    And small calls beside them run
    When the target goes on
    Then the calls that ran are answered
    And the node of the target holds nothing

    Examples:
      | what     | held |
      | requests | 2    |
      | uploads  | 10   |

  Scenario Outline: the body of a call is held no longer than <until>
    Given two nodes that call each other over one connection
    And room at a busy target for 4 MiB of its calls
    When 2 calls with requests of 1 MiB are sent
    Then the node of the target holds 2 MiB
    When <until>
    Then the node of the target holds nothing

    Examples:
      | until                   |
      | the target goes on      |
      | the target fails        |
      | all calls are cancelled |
      | the connection ends     |

  Scenario: the body of an answer is held until its last part is sent
    Given two nodes that call each other over one connection
    When the node that reads answers of 1 MiB is held up as 16 calls are sent
    Then the node of the target holds 16 MiB
    When it goes on
    Then all calls are answered with their whole bodies
    And the node of the target holds nothing

  # Guards against parts of 2 bytes that are held as messages one by one.
  Scenario: small parts that are not read yet are held as one
    Given two nodes that call each other over one connection
    When a window of 256 KiB is filled with parts of 2 bytes for a busy target
    Then the parts take at most 1 MiB
    When the target goes on
    Then the target has read all of them

  # Guards against a faulty node that sends bodies without end.
  Scenario Outline: a node that sends <what> loses its connection
    Given two nodes that call each other over one connection
    When the other node sends <what> for a call that is not read
    Then the connection has ended, and at most 2 MiB were taken

    Examples:
      | what                     |
      | more than the window     |
      | answers without end      |
      | last parts without end   |

  # Guards against a node that takes answers of its calls never, and so keeps
  # the memory of the node that answers.
  Scenario: an answer that is not taken is not held for long after its deadline
    Given two nodes that call each other over one connection
    And answers that are held for 0.3 s after their deadlines
    When the other node calls for an answer of 1 MiB within 0.2 s and takes nothing of it
    Then the node of the target holds 1 MiB after 0.4 s
    And the node of the target holds nothing after 0.8 s
    And the connection is still used for calls

  # Guards against replies without end to a node that reads nothing.
  @uvloop
  Scenario: a node that asks for data again and again and reads nothing
    Given two nodes that call each other over one connection
    When the other node asks for 1 MiB of data 64 times and reads nothing
    Then at most 18432 KiB were unsent to it
    And its connection has ended

  Scenario Outline: a ping of a node to which <what> is unsent
    Given two nodes that call each other over one connection
    When 100 pings of the other node arrive while <what> is unsent to it
    Then <count> of them are answered

    Examples:
      | what   | count |
      | much   | 0     |
      | little | 100   |
