Feature: http server with limits on connections

  Scenario Outline: the limits for callers follow from descriptors and memory
    Given a process with <descriptors> descriptors and a budget of <budget> MB
    Then callers may have <total> connections, and one address <address>
    And each port for messages may have <messages> connections

    Examples:
      | descriptors | budget | total | address | messages |
      | 1024        | 70     | 640   | 560     | 32       |
      | 1024        | 8      | 512   | 448     | 32       |
      | 128         | 70     | 80    | 70      | 4        |
      | 20          | 70     | 16    | 14      | 4        |
      | 1048576     | 70     | 4480  | 3920    | 64       |

  # Guards against a default that callers within the other limits meet.
  Scenario: 500 callers of one address keep connections at the default
    Given a process with 1024 descriptors and a budget of 70 MB
    When 500 callers of one address connect, and connect anew
    Then none was dropped or refused

  # Guards against counts that go wrong and refuse callers for ever.
  Scenario: limits hold for any course of connections
    When connections of several addresses come, change and go at random
    Then no limit is exceeded, and only those that do nothing were dropped

  # Guards against a crowd that keeps others out.
  Scenario Outline: <what> connections make room for a request, <loop>
    Given an HTTP server for 16 connections, 14 of one address
    When 14 clients connect: <what>
    And another client sends a request
    Then that request is answered with 200
    And the first of the clients <end>

    Examples: of asyncio
      | what       | end           | loop    |
      | new        | got nothing   | asyncio |
      | unfinished | got 408       | asyncio |
      | idle       | got nothing   | asyncio |

    @uvloop
    Examples: of uvloop
      | what       | end           | loop   |
      | new        | got nothing   | uvloop |
      | unfinished | got 408       | uvloop |
      | idle       | got nothing   | uvloop |

  # Guards against requests in progress that end for new connections.
  Scenario Outline: clients whose requests run are not dropped, <loop>
    Given an HTTP server for 16 connections, 14 of one address
    When 14 clients connect: busy
    And another client sends a request
    Then that client got 429, and its request has not run
    And all 14 requests are answered with 200 once the server answers

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  # Guards against unfinished heads that nobody counts.
  Scenario: an unfinished head is held
    Given an HTTP server for 16 connections, 14 of one address
    When 4 clients connect: with 12 KB of a head
    Then the server holds at least 48 KB, and nothing once they have left

  # Guards against a body whose small parts take far more time than its bytes.
  Scenario: chunks of a slice are added to a body together
    Given an HTTP server for 16 connections, 14 of one address
    When a client sends 100000 chunks of 2 bytes in one request
    Then that request is answered with 200
    And at most 1000 times room was asked for
