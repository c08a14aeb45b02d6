Feature: configuration store

  Scenario: a node never goes back, whatever is offered in whatever order
    Then no order of offers makes the store go back or hold a part

  Scenario: every route leads to a service that the same snapshot holds
    Then a manifest with a route to no service is refused as a whole

  Scenario: a change is accepted exactly once although answers are lost
    Then racing operators with lost answers are accepted exactly once
