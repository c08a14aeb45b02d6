Feature: soak of a mesh with real processes

  # A soak that is late shows nothing: it is played again with fewer callers,
  # up to three times, and fails if it was late each time.
  # python -m soak runs longer soaks with other disturbances and seeds.
  Scenario: planned work loses no call of clients that keep their connections
    When a mesh of 6 nodes is soaked with the mix planned for 25 s, seed 37
    Then the soak has found no problem
    And targets have answered at least nine tenths of its requests

  Scenario: clients that stay with stopping nodes get answers by their deadlines
    When a mesh of 8 nodes is soaked with the mix slow-short for 20 s, seed 47
    Then the soak has found no problem
    And targets have answered at least eight tenths of its requests
