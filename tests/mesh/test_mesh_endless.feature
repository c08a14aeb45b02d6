Feature: answers without end, through the mesh

  # Guards against a node that keeps all bytes of a faulty target, runs out of
  # memory and ends the calls of others with it.
  Scenario: answers without end cost a node neither its memory nor other calls
    Given a mesh with two targets of a service in each of two domains
    When three callers get answers without end beside 100 other calls
    Then all other calls are answered, and the three end with 502 or 504
    And no node has used more than 200 MB

  # Guards against memory that grows with the number of parts of an answer.
  Scenario Outline: <calls> <method> calls get <kind> without end, <memory> MB
    Given two VMs whose nodes may use <memory> MB
    When <calls> <method> calls get <kind> without end beside 160 others
    Then no node has used more than it may, and none has ended
    And all other calls are answered with 200
    And each call without end is answered with 502 or 504

    Examples:
      | kind                                   | method | calls | memory |
      | chunks of 1 byte                       | POST   | 20    | 300    |
      | chunks of 2 bytes                      | POST   | 20    | 300    |
      | chunks of 2 bytes                      | GET    | 1     | 300    |
      | chunks of 9 bytes                      | GET    | 6     | 300    |
      | chunks of 64 KiB                       | GET    | 30    | 300    |
      | a body until the close                 | POST   | 30    | 300    |
      | headers                                | POST   | 30    | 300    |
      | answers to other calls                 | POST   | 12    | 300    |
      | one header, a chunk extension          | GET    | 10    | 300    |
      | a trailer, headers                     | POST   | 10    | 300    |
      | blank lines, bytes that are no HTTP    | GET    | 10    | 300    |
      | chunks of 2 bytes                      | POST   | 20    | 200    |
      | chunks of 64 KiB                       | GET    | 30    | 200    |

  # Guards against a limit that gives up sound answers for a faulty one.
  Scenario: large answers of a target arrive whole beside one without end
    Given two VMs whose nodes may use 300 MB
    When 5 answers of 4 MiB and 100 of 100 KB come beside chunks without end
    Then all large answers arrive whole
    And each call without end is answered with 502 or 504
    And no node has used more than it may, and none has ended

  # Guards against a few senders of large blocks that hold up all other calls.
  Scenario Outline: <count> uploads without end to the <port> port leave other calls their time
    Given two VMs whose nodes may use 300 MB
    When <count> uploads without end are sent to the <port> port of a node beside 160 calls
    Then no node has used more than it may, and none has ended
    And all other calls are answered with 200
    And 9 in 10 of them within 0.15 s, the shortest objective of a route

    Examples:
      | count | port     |
      | 6     | outbound |
      | 6     | control  |

  # Guards against ports for small messages that collect bodies of any size.
  Scenario Outline: a body of 1 MiB to the <port> port of a node is refused
    Given two VMs whose nodes may use 300 MB
    When a body of 1 MiB is announced to the <port> port of a node
    Then it is refused with 413 before it is sent

    Examples:
      | port    |
      | control |
      | ready   |
