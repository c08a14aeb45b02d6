Feature: peers codec

  Scenario: every message comes back as it was sent
    Then any message decodes to what was encoded

  Scenario: any bytes give a message or a protocol error
    Then decoding any bytes ends in a message or a protocol error

  Scenario: a message that was cut short is a protocol error
    Then a message cut at any place is a protocol error

  Scenario: a value of a wrong type is a protocol error
    Then a message with any value replaced by one of another type is an error
