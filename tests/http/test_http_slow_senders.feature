Feature: http server requests that arrive slowly

  Scenario Outline: a body that keeps arriving is served, <loop>
    Given an HTTP server that gives a head 0.4 s and a pause in a body 0.6 s
    When a body arrives in 10 parts with pauses of 0.2 s
    Then the server answers 200

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  Scenario: a body that stops arriving is given up
    Given an HTTP server that gives a head 0.4 s and a pause in a body 0.6 s
    When a body arrives in 3 parts with pauses of 1.4 s
    Then the server answers 408
    And the log says that no byte of a body came in time

  Scenario: a body is given up at the end of the time of its call
    Given an HTTP server that gives a head 0.4 s and a pause in a body 0.6 s
    And a limit of 1.0 s for each call
    When a body arrives in 12 parts with pauses of 0.2 s
    Then the server answers 408
    And the log says that a body was not received in the time of its call

  Scenario: bodies that are being received have bounded memory
    Given an HTTP server that gives a head 0.4 s and a pause in a body 0.6 s
    And memory for 600000 bytes of bodies that are being received
    When parts of 350000, 100000 and 200000 bytes of three bodies arrive
    Then the first one is answered with 503 and the others with 200

  Scenario: a head that does not end has bounded memory
    Given an HTTP server that gives a head 30.0 s and a pause in a body 0.6 s
    When a header arrives in 40 parts of 1000 bytes with no end
    Then the server answers 431

  @uvloop
  Scenario: a thousand slow senders do not hold up other callers
    Given an HTTP server that gives a head 2.0 s and a pause in a body 2.0 s
    When 500 heads and 500 bodies stop half-way
    Then 100 other callers are answered within 0.5 s each
    And all 1000 slow senders are answered with 408 and nothing is left of them
