Feature: http server time at which requests came

  # Guards against a caller that leaves while its request waits in a socket.
  Scenario Outline: the time of a request counts from when it came, if it waits <what>, <loop>
    Given an HTTP server whose connections may be idle for 30.0 s
    When a request waits <what> for 0.3 s
    Then its time counts from when it came
    And <late> requests count as read late

    Examples: of asyncio
      | what                                  | loop    | late |
      | on a new connection                   | asyncio | 1    |
      | on a connection that was used         | asyncio | 1    |
      | behind another one                    | asyncio | 2    |
      | for the rest of its body              | asyncio | 0    |
      | with a body that a socket cannot hold | asyncio | 1    |

    @uvloop
    Examples: of uvloop
      | what                                  | loop    | late |
      | on a new connection                   | uvloop  | 1    |
      | on a connection that was used         | uvloop  | 1    |
      | behind another one                    | uvloop  | 2    |
      | for the rest of its body              | uvloop  | 0    |
      | with a body that a socket cannot hold | uvloop  | 1    |

  # Guards against a caller that leaves while its request waits for a start.
  Scenario: the time of a request that waits for the start of a server counts from when it came
    Given a socket that listens for an HTTP server that has not started
    When a request waits for a server that starts 0.3 s later
    Then its time counts from when it came

  # Guards against a failure, or a wrong time, where the kernel does not tell.
  Scenario Outline: a request counts from when it is read if the system <what>
    Given an HTTP server on a system that <what>
    When a request waits on a new connection for 0.3 s
    Then its time counts from when it is read
    And the server has asked <asked> times for 3 requests

    Examples:
      | what                  | asked |
      | knows no such option  | 1     |
      | tells too few bytes   | 1     |
      | tells zeros           | 1     |

  # Guards against a time that cannot be, by which a request would be refused.
  Scenario Outline: the time that the kernel tells is used if it is possible
    When bytes are read at 10 s that were possible from <first_s> s on, of which the kernel tells <waited_s> s
    Then they came at <came_s> s

    Examples:
      | first_s | waited_s  | came_s |
      | 8.0     | 0.0       | 10.0   |
      | 8.0     | 1.5       | 8.5    |
      | 8.0     | 2.0       | 8.0    |
      | 8.0     | 2.005     | 8.0    |
      | 8.0     | 2.1       | 10.0   |
      | 8.0     | -0.5      | 10.0   |
      | 8.0     | 4294967.0 | 10.0   |
      | 10.0    | 0.004     | 10.0   |

  # Guards against a connection that ends by which all others lose the time.
  Scenario Outline: a connection that is closed does not end the asking, <loop>
    Given an HTTP server whose connections may be idle for 30.0 s
    When the time of bytes is asked for on a connection that was closed here
    Then they came at 10.0 s

    Examples: of asyncio
      | loop    |
      | asyncio |

    @uvloop
    Examples: of uvloop
      | loop   |
      | uvloop |
