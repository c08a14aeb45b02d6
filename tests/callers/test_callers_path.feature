Feature: callers path

  Scenario: a call enters at one node and is answered by another node's target
    Given a small deployment
    When GET /tonabok/bells?size=3 is sent to n1
    Then the status is 200
    And the answer names the path /tonabok/bells?size=3
    And no header of the answer is empty

  Scenario: a path without a route is refused as not run
    Given a small deployment
    When GET /nowhere is sent to n1
    Then the status is 404
    And the call is refused with no-route and not-run

  Scenario: large bodies pass both ways
    Given a small deployment
    When 8388608 bytes are put to /tonabok/archive through n1 and 8388608 come back
    Then the status is 200
    And the answer has 8388608 bytes

  Scenario: a node does not hold large bodies
    Given a small deployment
    When the memory of n1 is noted
    And 8 bodies of 8388608 bytes pass through n1 at once at a slow target
    Then the memory of n1 has grown by less than 33554432 bytes

  Scenario: one slow call does not hold up others on the same connection
    Given a small deployment
    When a call through n1 takes 5 s and 20 others follow it
    Then the 20 others are answered before the slow one

  Scenario: two nodes share one connection, whoever opened it
    Given a small deployment
    And a target of tonabok at n1
    And everything is known everywhere
    When calls go from n2 to n1 and from n3 to n2 and back
    Then no node has more connections than other nodes

  Scenario: a body that stops half-way is an error and is not taken for whole
    Given a small deployment
    When the target breaks off an answer of 1000000 bytes through n1
    Then the caller sees a broken answer

  Scenario: a chunked answer that stops half-way is not taken for whole
    Given a small deployment
    When the target breaks off a chunked answer of 1000000 bytes through n1
    Then the caller sees a broken answer

  Scenario: a request that stops half-way ends and the node goes on
    Given a small deployment
    When a caller breaks off a body through n1
    And GET /tonabok/after is sent to n1
    Then the status is 200
    And no call stays in flight at n1 and n2
