Feature: http server last replies of connections

  # Guards against a reset that takes the reply from a client that still sends.
  Scenario Outline: a client that goes on sending receives its refusal, <status>, <loop>
    Given an HTTP server whose connections may be idle for 30.0 s
    When a client goes on sending after what is refused with <status>
    Then it could send all and receives <status> and the end of the connection

    Examples: of asyncio
      | status | loop    |
      | 400    | asyncio |
      | 408    | asyncio |
      | 413    | asyncio |

    @uvloop
    Examples: of uvloop
      | status | loop   |
      | 400    | uvloop |
      | 408    | uvloop |
      | 413    | uvloop |

  Scenario Outline: a last reply reaches a slow client that sends once more, <loop>
    Given an HTTP server whose connections may be idle for 30.0 s
    When a client sends a request behind one whose large reply it reads slowly in a stop
    Then it has received the whole large reply

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  Scenario Outline: a client that <what> after its last reply is closed soon, <loop>
    Given an HTTP server whose connections may be idle for 30.0 s
    When a client <what> after its last reply
    Then a stop is held up for less than <held_s> s
    And the connection ends within <end_s> s

    Examples: of asyncio
      | what           | held_s | end_s | loop    |
      | keeps silent   | 1.0    | 2.0   | asyncio |
      | sends at once  | 4.0    | 4.0   | asyncio |
      | sends slowly   | 7.0    | 7.0   | asyncio |

    @uvloop
    Examples: of uvloop
      | what           | held_s | end_s | loop   |
      | keeps silent   | 1.0    | 2.0   | uvloop |
      | sends at once  | 4.0    | 4.0   | uvloop |
      | sends slowly   | 7.0    | 7.0   | uvloop |
