Feature: usage reports of a deployment

  # Guards against windows without a report, with wrong counts, or reported
  # late; two different reports of a window; and tokens of two nodes. A node
  # that is paused or killed takes with it what it had counted and not sent.
  Scenario Outline: every window is reported once and in time although <trouble>
    Given a mesh of two domains that reports usage
    When calls of two teams are sent for <seconds> s, and after 8 s <trouble>
    Then every window has a report with the right counts within 10 s
    And no two reports of a window differ
    And each token is used by one node, and none after a later one
    And the store got at most <calls> calls a minute for the duty

    Examples:
      | trouble                           | seconds | calls |
      | nothing happens                   | 20      | 18    |
      | the holder is killed              | 26      | 24    |
      | the holder is paused for 9 s      | 30      | 30    |
      | the holder is cut off the store   | 30      | 36    |
      | the holder is cut off the API     | 30      | 40    |

  # Guards against reports that are lost while they cannot be sent or recorded.
  Scenario Outline: no report is lost although <trouble>
    Given a mesh of two domains that reports usage
    When calls of two teams are sent for 26 s, and after 8 s <trouble>
    Then every window has a report with the right counts
    And no two reports of a window differ
    And each token is used by one node, and none after a later one

    Examples:
      | trouble                             |
      | the API answers with 429 for 13 s   |
      | the API answers nothing for 13 s    |
      | the API cannot be reached for 13 s  |
      | the store is away for 13 s          |
      | the API takes 6 s for each response |

  # Guards against reports where the settings ask for none.
  Scenario: nodes without an address of the API take no part in reports
    Given a deployment whose settings lack the bounds of the cold limit
    When its nodes are started
    Then a call through each node is answered by a target
    And no node has a metric of the reports
