Feature: http server with bounded memory

  # Guards against uploads that together fill the memory of the node.
  Scenario Outline: uploads above the budget are refused, small ones are not, <loop>
    Given an HTTP server with a budget of 4 MB
    When 8 callers have sent 990 KB of 1000 KB each and 40 small requests come
    Then the small requests are answered with 200
    When the 8 callers send the rest
    Then 2 of them are answered with 200 and the others with 503 and a time to retry
    And the server holds nothing

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  # Guards against bodies that are forgotten once they are whole.
  Scenario: bodies are held until their requests were answered
    Given an HTTP server with a budget of 4 MB that does not answer yet
    When 2 callers have sent 1000 KB each
    And another caller sends 1000 KB
    Then it is answered with 503
    When the server answers
    And another caller sends 1000 KB
    Then it is answered with 200
    And the server holds nothing

  Scenario Outline: a body for which there is never room is refused at once, <coding>
    Given an HTTP server with a budget of 4 MB
    When a caller sends the first 4000 KB of a body of 4050 KB <coding>
    Then it is answered with 413
    And the server holds nothing

    Examples:
      | coding        |
      | with a length |
      | in chunks     |

  Scenario Outline: the server holds nothing for callers that have left, <loop>
    Given an HTTP server with a budget of 4 MB that does not answer yet
    When a caller leaves after 2 requests of 500 KB and a part of another one
    Then the server holds nothing

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  Scenario: a body is in memory once
    Given an HTTP server with a budget of 40 MB
    When a caller sends a body of 16 MB
    Then the peak of the memory was less than 1.5 times the body

  # Guards against calls that go on without their caller, and are not counted.
  Scenario: the body of a call that goes on without its caller is held
    Given a call that is not idempotent with a body of 100 KB
    When its caller leaves
    Then its body is held
    When the call ends
    Then the server holds nothing

  # Guards against replies that nobody reads, and that nobody counts.
  Scenario Outline: replies that callers do not read are held within the budget, <loop>
    Given an HTTP server with a budget of 64 MB and replies of 12 MB
    When 8 callers send a request each and do not read
    Then the server holds 4 to 5 replies
    And the connections of the others have ended
    And a small request is answered with 200
    When all callers leave
    Then the server holds nothing

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  Scenario Outline: a reply that nobody reads makes room for small bodies, <loop>
    Given an HTTP server with a budget of 64 MB and replies of 12 MB
    When 4 callers send a request each and do not read
    And small bodies of 50 KB need 20 MB
    Then the connection of a caller has ended, and the log says so
    When all callers leave
    Then the server holds nothing

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  # Guards against replies that nobody reads, which keep large bodies out for
  # as long as their callers like.
  Scenario Outline: a reply of which nothing is taken ends after a time, <loop>
    Given an HTTP server with a budget of 64 MB and replies of 12 MB
    And a caller may pause for 1 s in a large reply
    When 4 callers send a request each and do not read
    Then the connections of all of them end within 3 s
    And the server holds nothing

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  Scenario Outline: large replies arrive whole and in order, <loop>
    Given an HTTP server with a budget of 64 MB and replies of 12 MB
    When a caller sends 3 requests at once and reads slowly
    Then it has received 3 whole replies, and at most 2 at a time were held
    And the server holds nothing

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  @uvloop
  Scenario: a reply that waits for its caller is in memory once
    Given an HTTP server with a budget of 64 MB and replies of 12 MB
    When 1 caller sends a request and does not read
    Then the memory grew by less than 0.1 times the reply

  # Guards against an answer that is counted no more once it is a reply.
  Scenario: an answer of a target is held until its caller has read it
    Given a call with an answer of 12 MB
    When its caller does not read
    Then its answer is held as a reply
    When its caller reads
    Then the server holds nothing

  # Guards against headers of one byte, which take far more in memory.
  Scenario Outline: the number of headers is bounded, <count> <where>
    Given an HTTP server with a budget of 4 MB
    When a caller sends <count> headers <where> a request
    Then it is answered with <status>

    Examples:
      | count | where    | status |
      | 1000  | before   | 200    |
      | 1001  | before   | 431    |
      | 998   | behind   | 200    |
      | 999   | behind   | 431    |

  # Guards against uploads in very small parts that hold up other callers.
  Scenario Outline: an upload in chunks of one byte is parsed in turns, <loop>
    Given an HTTP server with a budget of 4 MB
    When 40000 chunks of 1 byte and the end of a request come in one read
    Then at most 1000 of them have been parsed, and reading pauses
    And a small request is answered with 200 before all are parsed
    And the handler receives the 40000 bytes, and reading has resumed

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  # Guards against headers and waiting requests that take far more memory than
  # their text, and that nobody counts.
  Scenario Outline: heads that wait are held within the budget of <size> MB, <loop>
    Given an HTTP server with a budget of <size> MB that answers requests with many headers later
    When 60 callers send 27 requests of 900 headers each at once
    Then the memory grew by less than the budget allows
    And a small request is answered with 200
    When the server answers
    Then <refused> of them were refused, all others have run, and no refused one
    And the server holds nothing

    Examples: of asyncio
      | size | refused | loop    |
      | 16   | some    | asyncio |
      | 64   | none    | asyncio |

    @uvloop
    Examples: of uvloop
      | size | refused | loop   |
      | 16   | some    | uvloop |
      | 64   | none    | uvloop |

  # Guards against very many small requests that wait on a connection.
  Scenario Outline: requests behind a slow one wait unread, <loop>
    Given an HTTP server with a budget of 4 MB that does not answer yet
    When a caller sends 5000 small requests at once
    Then the server holds at most 200 of them and the text of the others
    When the server answers
    Then all 5000 are answered with 200
    And the server holds nothing

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  # Guards against requests that wait unread and are lost with the end of the
  # stream of their caller.
  Scenario Outline: requests wait unread whose caller sends no more, <loop>
    Given an HTTP server with a budget of 4 MB that does not answer yet
    When a caller sends 300 small requests at once
    And it closes its sending side
    And the server answers
    Then all 300 are answered with 200
    And the server holds nothing

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  # Guards against calls that keep their headers without their caller.
  Scenario: the head of a call that goes on without its caller is held
    Given a call that is not idempotent with 900 headers
    When its caller leaves
    Then its head is held
    When the call ends
    Then the server holds nothing

  # Guards against small replies that nobody reads, and that nobody counts.
  Scenario Outline: small replies that callers do not read are held, <loop>
    Given an HTTP server with a budget of 8 MB and replies of 60 KB
    And a caller may pause for 1 s in a large reply
    When 20 callers send 150 requests each and do not read
    Then the server holds all that it has not sent, which is not nothing
    And the connections of all of them end within 4 s
    And the server holds nothing

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  Scenario Outline: small replies that nobody reads make room for others, <loop>
    Given an HTTP server with a budget of 4 MB and replies of 60 KB
    When 20 callers send 150 requests each and do not read
    And small bodies of 50 KB come one by one and need 2 MB
    Then callers that do not read have made room for them, and no more than that
    And a small request is answered with 200
    When all callers leave
    Then the server holds nothing

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  # Guards against callers that read and are given up, as the kernel takes more
  # of a reply only once much of its buffer is free.
  Scenario Outline: replies of <size> KB reach a caller that reads slowly, <loop>
    Given an HTTP server with a budget of 64 MB and replies of <size> KB
    And a caller may pause for 2 s in a large reply
    When a caller of <count> replies reads 32 KB every 0.2 s for 6 s, then faster
    Then it has received all of them

    Examples: of asyncio
      | size  | count | loop    |
      | 60    | 150   | asyncio |
      | 12288 | 1     | asyncio |

    @uvloop
    Examples: of uvloop
      | size  | count | loop   |
      | 60    | 150   | uvloop |
      | 12288 | 1     | uvloop |
