Feature: http server with pipelined requests

  # Guards against an event loop that does nothing else while a client is
  # answered thousands of requests that it has sent at once.
  Scenario Outline: requests of <clients> clients sent at once leave time for others, <loop>
    Given an HTTP server that counts its replies in each round of the event loop
    When <clients> clients send <requests> requests each at once
    Then each client has its replies in order
    And of the requests behind others no more than 8 were answered in a round

    Examples: of asyncio
      | clients | requests | loop    |
      | 1       | 3000     | asyncio |
      | 30      | 100      | asyncio |

    @uvloop
    Examples: of uvloop
      | clients | requests | loop   |
      | 1       | 3000     | uvloop |
      | 30      | 100      | uvloop |

  # Guards against turns that are waited for when nothing else waits.
  Scenario: clients that leave while their requests wait for a turn are forgotten
    Given an HTTP server that counts its replies in each round of the event loop
    When 30 clients send 100 requests each at once and leave
    Then no request waits for a turn, and no connection is left

  # Guards against calls that have run and whose answers find no room, as
  # requests that were not begun fill the memory.
  Scenario Outline: answers find room beside pipelined requests, <loop>
    Given an HTTP server with a budget of 4 MB that holds answers of 20 KB
    When 60 clients send 300 requests each before the first is answered
    Then the first request of each client is answered with 200
    And all others that are answered get 200 or 503

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |
