Feature: requests of any form reach targets unchanged

  # Guards against a request that runs changed, or that was part of another one.
  Scenario: requests that are cut at any byte run once at a target, as they were sent
    Given a mesh of a node for callers and one beside a target
    Then requests of the grammar run once at the target, with their method, path, query and body

  Scenario: heartbeats that offer an upgrade are accepted
    Given a mesh of a node for callers and one beside a target
    Then heartbeats with any headers of their connection are answered with 200
