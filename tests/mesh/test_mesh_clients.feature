Feature: clients that keep to no limits

  All clients stay connected while an ordinary request is sent. The bounds
  follow from the settings of the scenario; no time and no share of served
  requests of these clients is checked.

  # Guards against a node that many clients end, fill or lock up.
  Scenario Outline: <count> clients, <kind>, <descriptors> descriptors
    Given two VMs whose nodes may use 80 MB and <descriptors> descriptors
    When <count> clients connect to a node: <kind>
    Then both nodes live, within their memory and 7/8 of their descriptors
    And a new ordinary request is answered with 200 while the clients stay
    And both nodes live, within their memory and 7/8 of their descriptors

    Examples: of heads
      | count | kind                                  | descriptors |
      | 40    | a head over the limit                 | 1024        |
      | 300   | a head that ends short of the limit   | 1024        |
      | 40    | empty lines without end               | 1024        |
      | 2400  | a head that ends short of the limit   | 4096        |

    Examples: of bodies
      | count | kind                                  | descriptors |
      | 20    | a body at once but for its last byte  | 1024        |
      | 20    | a body in pieces but for its last byte | 1024       |
      | 20    | large chunks but for the last byte    | 1024        |
      | 20    | small chunks but for the last byte    | 1024        |
      | 260   | a small body but for its last byte    | 1024        |

    Examples: of connections
      | count | kind                                  | descriptors |
      | 160   | nothing                               | 128         |
      | 160   | one request, then nothing             | 128         |
      | 160   | a head that ends short of the limit   | 128         |
      | 160   | a small body but for its last byte    | 128         |
      | 960   | nothing                               | 1024        |

  # Guards against small ports whose clients take the descriptors of all.
  Scenario Outline: 160 clients of the <port> port, nothing, 128 descriptors
    Given two VMs whose nodes may use 80 MB and 128 descriptors
    When 160 clients connect to the <port> port of a node: nothing
    Then both nodes live, within their memory and 7/8 of their descriptors
    And a new ordinary request is answered with 200 while the clients stay
    And the ready port answers a new request while the clients stay

    Examples:
      | port     |
      | outbound |
      | control  |
      | ready    |
      | metrics  |

  # Guards against memory that both directions fill in turn.
  Scenario: slow bodies alternate with answers without end
    Given two VMs whose nodes may use 80 MB and 1024 descriptors
    When 3 rounds of 10 clients and of 10 answers without end alternate
    Then both nodes live, within their memory and 7/8 of their descriptors
    And a new ordinary request is answered with 200 while the clients stay
    And both nodes live, within their memory and 7/8 of their descriptors

  # Guards against limits that refuse a single legal request.
  Scenario Outline: one body of <size> KiB <how> alone is answered, 200 MB
    Given two VMs whose nodes may use 200 MB and 1024 descriptors
    When one body of <size> KiB is sent <how> to the <where> target
    Then that one request is answered with 200
    And both nodes live, within their memory and 7/8 of their descriptors

    Examples:
      | size  | how                  | where |
      | 61440 | in one piece         | own   |
      | 61440 | in one piece         | other |
      | 1024  | in chunks of 2 bytes | own   |
      | 1024  | in chunks of 2 bytes | other |
