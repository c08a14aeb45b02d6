Feature: a cold target gets no more calls in any second than its limit

  # Counted are the calls that arrive, not those that the gate admits.

  Scenario: calls that wait for connections arrive together
    Given a cold target to which connections take 1.2 s from 0.0 s to 1.0 s
    When calls arrive for it at 100 per second for 3 s
    Then in no second did more than 14 calls arrive at it
    And in a second between them at least 12 calls arrived

  Scenario: a target turns cold while calls wait for connections
    Given a target to which connections take 0.5 s
    When 20 calls wait for connections and the target turns cold
    Then 14 calls arrive and 6 are refused as not run

  Scenario: without waits a cold target gets as many calls as before
    Given a cold target to which connections take 0.0 s
    When calls arrive for it at 100 per second for 2 s
    Then 24 calls arrived within 2 s

  Scenario: steady waits take no capacity from a cold target
    Given a cold target to which connections take 0.3 s
    When calls arrive for it at 100 per second for 2.3 s
    Then 24 calls arrived within 2.3 s

  Scenario: a late heartbeat does not lift the limit of a resumed target
    Given a cold target that a node has resumed
    When a heartbeat arrives that was sent before it turned cold
    And calls arrive for it at 100 per second for 2 s
    Then in no second did more than 14 calls arrive at it
    And in a second between them at least 12 calls arrived

  Scenario Outline: a node that is killed keeps the limit of its target
    Given a cold target to which connections take 0.0 s
    When calls arrive for it at 100 per second for 0.3 s
    And the node is killed, back after <away> s, and resumes it
    And calls arrive for it at 100 per second for 1.5 s
    Then in no second did more than 14 calls arrive at it
    And in a second between them at least 12 calls arrived

    Examples:
      | away |
      | 0.1  |
      | 0.55 |

  Scenario: a target that starts together with its node gets calls at once
    Given a cold target to which connections take 0.0 s
    When node and target have lost power and start together
    And calls arrive for it at 100 per second for 0.5 s
    Then in a second between them at least 12 calls arrived

  Scenario: the limit holds in the last millisecond of the cold time
    Given a target that is cold for 3.0009 s, told in whole ms
    When calls arrive for it at 100 per second for 2.99 s
    And 20 calls arrive 0.0005 s before it is warm
    Then in no second did more than 14 calls arrive at it

  Scenario: the limit holds under any course of events
    Then no course of calls, connections, heartbeats, configurations and restarts breaks the limit
