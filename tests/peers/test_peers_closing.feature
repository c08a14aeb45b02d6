Feature: closing of a connection between nodes

  # Guards against an answer that fails since no more of it can be requested.
  Scenario: an answer is read to its end though its connection has just ended
    Given a node with a target and another node with a connection to it
    When the last parts of an answer arrive just before its connection ends
    Then the answer is read to its end
