Feature: tallies of outcomes between nodes

  Scenario: tallies pass between nodes whole
    When tallies with good outcomes, failures and timeouts are sent
    Then they arrive as they were

  Scenario: a node that knows no timeouts sees outcomes as before
    When tallies with good outcomes, failures and timeouts are sent
    Then each route has its good and bad outcomes, and no other route has any

  Scenario Outline: a tally that is <malformed> is rejected
    When a tally arrives that is <malformed>
    Then it is a protocol error

    Examples:
      | malformed      |
      | too short      |
      | negative       |
      | not a number   |
