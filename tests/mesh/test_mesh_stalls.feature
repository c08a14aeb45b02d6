Feature: stalls of the event loop

  Scenario: an event loop that was held up is counted
    When an event loop is held up for 0.9 s
    Then one stall of at least 0.3 s is counted

  Scenario: an event loop that runs is not counted
    When an event loop is held up for 0.0 s
    Then no stall is counted
