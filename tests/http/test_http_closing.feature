Feature: http server closing connections

  # Guards against a reset for a request that arrived while the loop was held
  # up, before the server looked at its connections.
  Scenario Outline: a request that waits <where> is answered at a stop, <loop>
    Given an HTTP server whose connections may be idle for 30.0 s
    And an open connection that has carried a request
    When the loop is held up while a request is sent that waits <where>
    And the server stops and ends once nothing is in flight
    Then the request has a complete answer that announces the close
    And a connection without a request was closed

    Examples: of asyncio
      | where                        | loop    |
      | on an open connection        | asyncio |
      | on a connection not accepted | asyncio |

    @uvloop
    Examples: of uvloop
      | where                        | loop   |
      | on an open connection        | uvloop |
      | on a connection not accepted | uvloop |

  Scenario Outline: a request behind the last reply is answered at a stop, <loop>
    Given an HTTP server whose connections may be idle for 30.0 s
    And an open connection that has carried a request
    When a request waits behind one that is answered during a stop
    And the server stops and ends once nothing is in flight
    Then the request has a complete answer that announces the close

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  Scenario Outline: a request that waits at the end of the idle time is answered, <loop>
    Given an HTTP server whose connections may be idle for 0.2 s
    And an open connection that has carried a request
    When the loop is held up while a request is sent that waits on an open connection
    And the server looks for idle connections
    Then the request has a complete answer

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |

  Scenario Outline: a request whose rest waits at the end of its time is answered, <loop>
    Given an HTTP server whose connections may be idle for 30.0 s
    And an open connection that has carried a request
    When the loop is held up while the rest of a request is sent
    And the server looks for idle connections
    Then the request has a complete answer

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |
