Feature: odd entries of other writers in the store

  # Guards against one entry that ends the node's reading of a kind, or makes
  # the store count as away.
  Scenario Outline: an entry <odd> costs only itself
    Given a store with two sound entries and one <odd>
    When a node lists them
    Then it holds the two sound entries
    And the list passes to another node

    Examples:
      | odd                             |
      | nested 100000 deep              |
      | nested 600 deep                 |
      | nested 65 deep in its status    |
      | with an integer of 6000 digits  |
      | with a float beyond the range   |
      | with NaN                        |
      | with a lone surrogate           |
      | with a lone surrogate as a key  |
      | without metadata                |
      | without a revision              |
      | without a name                  |
      | with a revision of 6000 digits  |
      | with a name that is a list      |
      | that is a list                  |
      | that is null                    |

  Scenario Outline: a change of an entry <odd> is followed by the others
    Given a store with two sound entries and one <odd>
    When a node gets a change of each of them
    Then it holds the two sound entries

    Examples:
      | odd                             |
      | nested 100000 deep              |
      | with an integer of 6000 digits  |
      | without a revision              |

  Scenario: an odd entry at the end of a page does not hide the next page
    Given a store with pages that end with odd entries
    When a node lists them
    Then it holds the two sound entries

  Scenario Outline: an answer <answer> counts as no answer of the store
    Given a store that gives an answer <answer>
    When a node lists and watches a kind
    Then each is reported as unavailable

    Examples:
      | answer                     |
      | that is no JSON            |
      | cut off in a deep value    |
      | that is a list             |
      | without items or events    |
      | without its revision       |

  Scenario Outline: an entry of a node with the address <address> is not used
    Given an entry of a node with the address <address>
    Then it is malformed, and a connection to it fails as unreachable

    Examples:
      | address                    |
      | 10.0.0.1:99999             |
      | 10.0.0.1:-1                |
      | 10.0.0.1:word              |
      | 10.0.0.1:                  |
      | 10.0.0.1:111111111111111111111111111111 |
      | 10.0.0.1:٣                 |
      | :80                        |
      | a b:80                     |

  Scenario Outline: a heartbeat <odd> is refused
    Then a heartbeat <odd> is malformed

    Examples:
      | odd                             |
      | nested 100000 deep              |
      | with an integer of 6000 digits  |
      | with a lone surrogate           |
      | with a port out of range        |
