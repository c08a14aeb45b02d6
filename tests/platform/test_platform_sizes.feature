Feature: sizes of what the store answers

  # Guards against a store that fills the memory of its nodes.
  Scenario Outline: <what> of the store without end is given up
    Given a store that answers a listing with <what> without end
    When a node lists a kind of its objects
    Then the store counts as unavailable after at most <most> MB
    And the node holds nothing of it

    Examples:
      | what       | most |
      | a response | 32   |
      | pages      | 48   |
