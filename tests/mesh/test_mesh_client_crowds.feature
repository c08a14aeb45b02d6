Feature: crowds of clients that keep to no limits

  As in the feature of clients that keep to no limits, all stay connected
  unless said otherwise. Bounds follow from the settings of the scenario, 7/8
  of the descriptors from the share that the node leaves to its own use.

  # Guards against requests that were sent at once and hold the event loop.
  Scenario Outline: <count> clients of the <port> port, pipelined <requests>
    Given two VMs whose nodes may use 80 MB and 1024 descriptors
    When <count> clients connect to the <port> port of a node: pipelined <requests>
    Then both nodes live, within their memory and 7/8 of their descriptors
    And each node answers a new ordinary request with 200 while the clients stay
    And both nodes live, within their memory and 7/8 of their descriptors

    Examples:
      | count | port     | requests                         |
      | 20    | outbound | requests without a route         |
      | 60    | outbound | lookups of 1 s, replies unread   |
      | 20    | ready    | readiness checks                 |
      | 20    | control  | heartbeats                       |
      | 24    | metrics  | requests for metrics             |
      | 300   | outbound | small requests behind a slow one |

  # Guards against what clients leave behind that go before their replies.
  Scenario: 4 waves of 300 clients that leave at the same time
    Given two VMs whose nodes may use 80 MB and 1024 descriptors
    When 4 waves of 300 clients come and go: pipelined small requests behind a slow one
    Then an ordinary request after each wave was answered with 200
    And both nodes live, within their memory and 7/8 of their descriptors

  # Guards against strangers at the port for other nodes, which take the
  # descriptors or the memory of the node.
  Scenario Outline: <count> clients of the inbound port, <kind>, <descriptors> descriptors
    Given two VMs whose nodes may use 80 MB and <descriptors> descriptors
    When <count> clients connect to the inbound port of a node: <kind>
    Then both nodes live, within their memory and 7/8 of their descriptors
    And each node answers a new ordinary request with 200 while the clients stay
    And both nodes live, within their memory and 7/8 of their descriptors

    Examples:
      | count | kind                                 | descriptors |
      | 160   | nothing                              | 128         |
      | 160   | an upgrade, then nothing             | 128         |
      | 960   | nothing                              | 1024        |
      | 30    | a message but for its last byte      | 1024        |
      | 40    | a head over the limit                | 1024        |
      | 20    | a body at once but for its last byte | 1024        |

  # Guards against bodies of which some are whole and are passed on.
  Scenario Outline: 20 clients, every fourth request whole, <where> target, <kind>
    Given two VMs whose nodes may use 80 MB and 1024 descriptors
    When 20 clients send bodies to the <where> target, every fourth whole: <kind>
    Then both nodes live, within their memory and 7/8 of their descriptors
    And each node answers a new ordinary request with 200 while the clients stay
    And both nodes live, within their memory and 7/8 of their descriptors

    Examples:
      | where | kind                                   |
      | own   | a body at once but for its last byte   |
      | own   | a body in pieces but for its last byte |
      | own   | large chunks but for the last byte     |
      | own   | small chunks but for the last byte     |
      | other | a body at once but for its last byte   |
      | other | a body in pieces but for its last byte |
      | other | large chunks but for the last byte     |
      | other | small chunks but for the last byte     |

  Scenario: clients of both nodes whose bodies cross
    Given two VMs whose nodes may use 80 MB and 1024 descriptors
    When 15 clients of each node send bodies to the target of the other, every fourth whole
    Then both nodes live, within their memory and 7/8 of their descriptors
    And each node answers a new ordinary request with 200 while the clients stay
    And both nodes live, within their memory and 7/8 of their descriptors

  # Guards against a stop or a start that clients hold up.
  Scenario Outline: a node <event> beside clients, pipelined <requests>
    Given two VMs whose nodes may use 80 MB and 1024 descriptors
    When a node <event> beside <count> clients: pipelined <requests>
    Then both nodes live, within their memory and 7/8 of their descriptors
    And each node answers a new ordinary request with 200 while the clients stay
    And both nodes live, within their memory and 7/8 of their descriptors

    Examples:
      | event                | count | requests                         |
      | starts               | 60    | requests without a route         |
      | starts               | 300   | small requests behind a slow one |
      | stops and starts     | 20    | requests without a route         |
      | stops and starts     | 100   | small requests behind a slow one |
      | runs without a store | 20    | requests without a route         |
