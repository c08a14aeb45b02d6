Feature: memory of messages between nodes once they are parsed

  # Guards against a message whose values fill the memory of a node.
  Scenario Outline: <message> of 2 MiB of <what> costs itself alone
    Given a node with a target and another node with a connection to it
    When a call is at work as <message> of 2 MiB of <what> arrives
    Then the message is refused with one line and took at most 24 MiB
    And the call at work is answered, and a later one on the same connection

    Examples:
      | message                  | what         |
      | evidence                 | empty lists  |
      | evidence                 | empty maps   |
      | evidence                 | maps of maps |
      | evidence                 | sets         |
      | an unknown message       | empty lists  |
      | an answer to no call     | empty lists  |
      | the start of a call      | empty lists  |

  Scenario: an answer that would take too much memory fails its call alone
    Given a node with a target and another node with a connection to it
    When two calls are at work as an answer of 2 MiB of empty lists to one arrives
    Then that one fails within 0.5 s and the other one is answered

  Scenario Outline: a message of a large mesh is read: <what>
    Then a message with <what> is read

    Examples:
      | what                        |
      | 3400 members                |
      | a listing of 2 MiB          |
      | an answer of 2 MiB          |
      | tallies of 1400 routes      |
      | a text of 1 MiB             |

  # Guards against a value of a member that nothing checks or bounds.
  Scenario Outline: a member whose <field> is no number is a protocol error
    Then a member whose <field> is no number is a protocol error

    Examples:
      | field       |
      | incarnation |
      | sequence    |
      | slots       |
      | link_mbps   |
