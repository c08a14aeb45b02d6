Feature: memory of what the store answers once it is parsed

  # Guards against a text whose values fill the memory of a node.
  Scenario Outline: <what> of the store that would take too much is refused
    Given a store that answers with <what>
    When a node with <memory> MB lists a kind of its objects
    Then the store counts as unavailable and parsing took at most the memory of its share
    And one line tells the path and the sizes

    Examples:
      | what                          | memory |
      | 16 MB of empty lists          | 200    |
      | 16 MB of empty lists          | 552    |
      | 16 MB of empty maps           | 200    |
      | 16 MB of nested lists         | 200    |
      | 16 MB of small maps           | 200    |
      | 16 MB of short texts          | 200    |
      | 16 MB of escaped wide texts   | 200    |
      | 12 pages of 900 KB of numbers | 200    |

  # Guards against an entry of another writer that hides all others.
  Scenario Outline: an entry of <what> costs itself alone in <where>
    Given a store with an entry of <what> among 3400 targets
    When a node with 200 MB <acts> its objects
    Then it has all targets, and parsing took at most the memory of its share
    And one line tells of the entry

    Examples:
      | what                   | where     | acts    |
      | 1 MB of empty lists    | a listing | lists   |
      | 1 MB of small maps     | a listing | lists   |
      | 1 MB of nested lists   | a listing | lists   |
      | 1 MB of empty lists    | a watch   | watches |

  Scenario Outline: the listing of a large configuration is read: <what>
    Given a store that holds <what>
    When a node with 200 MB lists a kind of its objects
    Then it has all entries as they are

    Examples:
      | what                                      |
      | 3400 targets of 100 services              |
      | 1400 routes                               |
      | 3400 targets and a value of 1 MiB         |
      | 3400 targets and a text of 1 MiB          |
      | 1400 routes and a value of 1 MiB          |
      | 5000 values that are texts with brackets  |
