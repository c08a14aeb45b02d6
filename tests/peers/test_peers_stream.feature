Feature: bodies of calls between nodes

  # Guards against an answer that is lost although all of it has arrived: the
  # update of the flow control window for a link that has just closed.
  Scenario: a body that has arrived is read to its end after the link has closed
    Given two nodes with a connection between them
    When a body is read that has arrived just before the end of the link
    Then the body is read to its end
