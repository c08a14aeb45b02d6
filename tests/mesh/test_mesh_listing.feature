Feature: memory of the objects that a node receives from another one

  # Guards against a neighbour whose listing fills the memory of a node.
  Scenario Outline: a listing of <size> MB of <what> is ignored alone
    Given a neighbour's listing of <size> MB of <what>
    When a node with <memory> MB receives it
    Then it is ignored with one line, and took at most the share of the memory
    And the next listing of the neighbour is used

    Examples:
      | size | what           | memory |
      | 40   | empty lists    | 200    |
      | 40   | empty lists    | 552    |
      | 20   | empty lists    | 300    |
      | 3    | empty lists    | 200    |
      | 12   | maps of maps   | 300    |
      | 12   | sets           | 300    |
      | 12   | short texts    | 300    |
      | 40   | a text         | 200    |

  Scenario Outline: the listing of a large configuration is exchanged: <what>
    Given a neighbour that holds <what>
    When a node with 200 MB receives it
    Then it has the same objects

    Examples:
      | what                                     |
      | 3400 targets of 100 services             |
      | 1400 routes                              |
      | 3400 targets and a value of 1 MiB        |
      | 3400 targets and a text of 1 MiB         |
      | 1400 routes and a value of 1 MiB         |
      | 5000 values that are texts with brackets |
