Feature: usage reports in simulated time

  # Guards against windows that are missing, late or wrong, two different
  # reports of a window, tokens of two nodes, and needless calls to the store.
  # A process that ends takes with it what it had counted and not sent.
  Scenario Outline: <nodes> nodes report every window although <trouble>
    Given <nodes> nodes in 3 domains that report usage
    When calls are counted for 60 s, and after 18 s <trouble>
    Then every window is reported with the right counts within 10 s
    And no report differs from another one of its window
    And no token is used by two nodes or after a later one
    And the store gets at most <calls> calls a minute

    Examples:
      | nodes | trouble                                      | calls |
      | 12    | all goes on                                  | 14    |
      | 72    | all goes on                                  | 14    |
      | 12    | the holder ends                              | 20    |
      | 12    | the relay of another domain ends             | 16    |
      | 12    | the relay of another domain starts again     | 16    |
      | 12    | all nodes start again, one each 2 s          | 40    |
      | 12    | all links between the domains are reset      | 16    |
      | 12    | the clocks of all nodes differ by 300 ms     | 14    |
      | 12    | the clock of the holder steps by 3600 s      | 14    |
      | 12    | the clock of the holder steps by 0.4 s       | 14    |
      | 12    | the clock of the holder steps by -0.4 s      | 14    |
      | 12    | the clock of another relay steps by 3600 s   | 14    |
      | 12    | the holder is cut off the API for 25 s       | 30    |
      | 12    | the holder is cut off the store for 25 s     | 30    |
      | 12    | responses of the store are lost for 8 s      | 50    |

  # Guards against a domain that is partitioned off and reports alone, or holds
  # up the reports of the others.
  Scenario Outline: a window is reported within 10 s without <domain> while that is partitioned off
    Given 12 nodes in 3 domains that report usage
    When calls are counted for 70 s, and after 18 s <domain> is partitioned off for 22 s
    Then every window is reported within 10 s
    And all windows but those of <bad> s are reported with the right counts
    And no report differs from another one of its window
    And no token is used by two nodes or after a later one
    And the store gets at most 60 calls a minute

    Examples:
      | domain                | bad |
      | another domain        | 30  |
      | the holder's domain   | 35  |

  # Guards against calls to the API and the store that grow with the number of
  # nodes, and rows of all nodes between failure domains.
  Scenario: bytes between domains do not grow with the number of nodes
    Given 72 nodes in 3 domains that report usage
    When calls are counted for 60 s, and after 18 s all goes on
    Then links between domains carry at most 200 bytes a second
