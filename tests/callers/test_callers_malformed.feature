Feature: callers malformed

  Scenario Outline: what is not a valid request is refused, and the node goes on
    Given a small deployment
    When a caller sends <fault> to n1
    Then the raw status is <status> and n1 counts a refusal <reason>
    When GET /tonabok/after is sent to n1
    Then the status is 200

    Examples:
      | fault                      | status | reason            |
      | no HTTP at all             | 400    | bad-request       |
      | a head that is too large   | 431    | headers-too-large |
      | a body that is too large   | 413    | body-too-large    |
      | a bad chunk size           | 400    | body-incomplete   |
      | two content lengths        | 400    | bad-request       |
      | a deadline that is no number | 400  | bad-request       |

  Scenario: any bytes on a caller's connection leave the node serving
    Given a small deployment
    When callers send 150 pieces of fuzz to n1
    And GET /tonabok/after is sent to n1
    Then the status is 200

  Scenario Outline: a peer that breaks the protocol loses its connection only
    Given a small deployment
    When a peer of n1 sends <fault>
    Then n1 ends that connection
    When GET /tonabok/after is sent to n1
    Then the status is 200

    Examples:
      | fault                     |
      | another protocol version  |
      | truncated CBOR            |
      | wrong types               |
      | a message too large       |
      | a text message            |
      | nothing at all            |
