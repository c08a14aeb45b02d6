Feature: requests that are refused by their heads

  # Guards against a refusal that waits for the body, a body that is held
  # though its request is refused, a body that ends the connection or is taken
  # for a request, and a second reply to the same request.

  Scenario Outline: a refusal comes before the body <how>, and the connection stays usable
    Given an HTTP server that refuses heads without a key
    When a client sends a head without a key, waits for the reply and then sends its body <how>
    Then the reply came before the body and has status 401
    And nothing was held while the body came
    And a request with a key on the same connection is answered with 200
    And only the request with a key was handled

    Examples:
      | how                             |
      | in one piece                    |
      | in chunks                       |
      | that looks like a request       |
      | of 2 MiB                        |

  Scenario: replies come in order if one of several requests is refused
    Given an HTTP server that refuses heads without a key
    When a slow request, one without a key that has a body and another one are pipelined
    Then the statuses are 200, 401 and 200

  Scenario: a client that asks to go on gets its refusal, and the connection ends
    Given an HTTP server that refuses heads without a key
    When a client asks to go on with a body and sends another request in its place
    Then it gets 401 once and no interim response, and the connection ends
    And no request was handled

  Scenario Outline: a refused request <what> gets no second reply
    Given an HTTP server that refuses heads without a key
    When a head without a key is sent, <what>
    Then it gets 401 once and no interim response, and the connection ends
    And no request was handled

    Examples:
      | what                                  |
      | and a chunk that is not valid         |
      | and a body that stops short           |
      | and a body that exceeds the limit     |

  Scenario: a refused request whose body never ends does not hold up a stop
    Given an HTTP server that refuses heads without a key
    When the server stops after a refusal whose body has not come
    Then no request is in flight any more

  Scenario: arbitrary splits of refused and accepted requests are answered in order
    Given an HTTP server that refuses heads without a key
    Then any sequence of requests, however it is cut, gets one reply each in order
