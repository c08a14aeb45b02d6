Feature: what is dropped first when memory or descriptors are short

  # Guards against sound connections that go before those without a request.
  Scenario: connections go by their stage, then by how long they are in it
    Given connections in the stages idle, incomplete, ended, incomplete, idle since 1, 7, 9, 3, 2 s
    Then they are dropped in the order ended 9, incomplete 3, incomplete 7, idle 1, idle 2

  # Guards against clients that stall just short of the end of large bodies,
  # and take the room of those that send on.
  Scenario: the request that has been incomplete the longest goes first
    Given a budget of 16 MB with requests of 2, 3, 3 MB whose senders stall
    When a request grows to 4 MB 3 s later
    Then it is not given up
    And the request of 2 MB alone is given up

  # Guards against small requests that fill the budget and never end.
  Scenario: small requests that have stalled make room for small ones
    Given a budget of 16 MB that requests of 32 KB fill, whose senders stall
    When a request grows to 60 KB 3 s later
    Then it is not given up
    And the 2 oldest requests alone are given up

  # Guards against senders of single bytes, which never pause.
  Scenario: a request that takes very long goes first although bytes come
    Given a budget of 16 MB with requests of 2, 3, 3 MB whose senders stall
    When their senders send 1 byte each second for 5 s
    And a request grows to 3 MB 0 s later
    Then it is not given up
    And the request of 2 MB alone is given up

  # Guards against senders that are dropped while their bytes still come.
  Scenario: of requests that arrive the largest goes first
    Given a budget of 16 MB with requests of 2, 4, 3 MB whose senders stall
    When a request grows to 2 MB 1 s later
    Then it is not given up
    And the request of 4 MB alone is given up

  # Guards against a single body that is refused for its own unparsed input.
  Scenario: the input of a request does not count as another one beside it
    Given a budget of 16 MB
    When a request grows to 14 MB with 256 KB of its input unparsed
    Then it is not given up

  # Guards against connections that nobody counts.
  Scenario: connections count, also those that hold nothing
    Given a budget of 16 MB
    When a request grows to 12 MB beside 1024 connections
    Then it is given up at 11 MB
