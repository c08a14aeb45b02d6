Feature: calls counted by window and team

  # Guards against counts that depend on the order of messages or count twice.
  Scenario: counts that arrive in any order and more than once add up alike
    Then cumulative counts in any order, repeated, give the same sums

  # Guards against the loss of what a process counted before its restart.
  Scenario: the counts of two processes of a node add up
    Given counts of a domain
    When node n1 reports 3 calls of pulo780 in window 7 as process 1
    And node n1 reports 2 calls of pulo780 in window 7 as process 2
    Then the domain has 5 calls of pulo780 in window 7

  # Guards against counts of a forgotten window that are taken for all of them.
  Scenario: counts of a forgotten window are ignored
    Given counts of a domain
    When the windows before 8 are forgotten
    And node n1 reports 3 calls of pulo780 in window 7 as process 1
    Then the domain has 0 calls of pulo780 in window 7

  # Guards against sums that are lost or changed by their compression, and
  # against memory that grows without bound while the API cannot be reached.
  Scenario: sums of an outage are kept compressed, the latest of them
    Given sums of 4 domains with 80 teams for 1500 windows
    Then the sums of the latest 1440 windows are right
    And they take less than 3 MB
    And a correction of a compressed window counts

  Scenario: only changes are sent, and all to another relay
    Given calls of a node counted in windows 7 and 8
    Then the changes since the first round hold only window 8
    And the changes since the start hold both windows

  # Guards against counts of calls that have no header of a team.
  Scenario: calls without a team and nested calls are not counted
    Given the exchange of a node
    When calls of pulo780, of no team and a nested one of pulo780 are sent
    Then the node has counted 1 call of pulo780

  # Guards against reports that exceed the truth while targets shed load.
  Scenario: calls that the target refuses without running them are not counted
    Given the exchange of a node
    When the target refuses 3 of 4 calls of pulo780
    Then the node has counted 1 call of pulo780

  # Guards against counts that are no counts, which would be added up.
  Scenario Outline: counts that are malformed are refused, <item>
    Given the exchange of a node
    Then sums with the item <item> are refused

    Examples:
      | item                 |
      | 7                    |
      | [7]                  |
      | [-1, {}]             |
      | [7, {"a": -1}]       |
      | [7, {"a": 1.5}]      |
      | [7, {"a": true}]     |
      | [7, [["a", 1]]]      |

  # Guards against memory that windows far ahead would take.
  Scenario: counts of windows far ahead are ignored
    Given the exchange of a node
    When sums of a window that begins in an hour come
    Then no window is known
