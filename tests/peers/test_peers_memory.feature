Feature: memory of the connections between nodes

  # Guards against a second copy of the rest of a body that is sent in parts.
  Scenario: a large body is sent in parts without a copy of it
    When a body of 32 MiB is split into parts and these are sent
    Then all of it is sent, with at most 1 MiB besides the body
