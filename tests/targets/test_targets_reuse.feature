Feature: reuse of the connections to a target

  # Guards against a call that is sent on a connection where the rest of the
  # body before it is due, so that the target takes it for a part of that body.
  Scenario Outline: after an answer <shape> to an upload whose rest is not sent, the next call has a connection of its own, <loop>
    Given uploads are answered <shape> after their first bytes
    When an upload <framing>, sent in part, and a call follow each other
    Then both are answered
    And the target has received nothing of the call in the body of the upload

    @uvloop
    Examples: uvloop
      | shape                        | framing       | loop   |
      | in one read                  | with a length | uvloop |
      | in two reads                 | with a length | uvloop |
      | in two reads                 | in chunks     | uvloop |
      | in many reads                | with a length | uvloop |
      | in chunks                    | with a length | uvloop |
      | in chunks                    | in chunks     | uvloop |
      | without a body               | with a length | uvloop |
      | in two reads after a 100     | with a length | uvloop |
      | in two reads with a close    | with a length | uvloop |
      | in two reads by HTTP/1.0     | with a length | uvloop |

    Examples: asyncio
      | shape                        | framing       | loop    |
      | in two reads                 | with a length | asyncio |
      | in chunks                    | in chunks     | asyncio |

  # Guards against a call that waits behind a body which its target does not
  # read.
  @uvloop
  Scenario: after an answer to a body that was not read, the next call does not wait behind it
    Given uploads are answered in two reads after their first bytes
    When an upload of 32 MiB in one piece and a call follow each other
    Then both are answered
    And the call was sent on a new connection

  # Guards against connections that are opened anew without need.
  Scenario Outline: after an answer <shape> to an upload that was sent whole, the connection is used again, <loop>
    Given uploads are answered <shape> after their last bytes
    When an upload <framing>, sent whole, and a call follow each other
    Then both are answered
    And the call was sent on the same connection

    @uvloop
    Examples: uvloop
      | shape                        | framing       | loop   |
      | in one read                  | with a length | uvloop |
      | in two reads                 | with a length | uvloop |
      | in two reads                 | in chunks     | uvloop |
      | in chunks                    | in chunks     | uvloop |
      | without a body               | with a length | uvloop |
      | in two reads after a 100     | with a length | uvloop |

    Examples: asyncio
      | shape                        | framing       | loop    |
      | in two reads                 | in chunks     | asyncio |

  # Guards against the body of an upload that is cut off as its answer begins,
  # though the target needs the rest to end the answer.
  Scenario Outline: an answer that begins before its request has come whole ends after it, <framing>, <loop>
    Given an answer to uploads that begins after their first bytes and ends after their last
    When an upload <framing>, sent slowly, and a call follow each other
    Then both are answered
    And the call was sent on the same connection

    @uvloop
    Examples: uvloop
      | framing       | loop   |
      | with a length | uvloop |
      | in chunks     | uvloop |

    Examples: asyncio
      | framing       | loop    |
      | with a length | asyncio |
