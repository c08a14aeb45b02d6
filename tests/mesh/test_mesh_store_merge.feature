Feature: what nodes keep when the store returns from an older copy

  Scenario: nodes agree in the end, and none goes back to an older configuration
    When stores are restored while messages are lost, doubled and late
    Then no node goes back, and all agree once the operator has written again

  Scenario: ended rollouts stay ended, and the last one ends everywhere
    When stores are restored while rollouts are carried out
    Then no ended rollout begins anew, and the last one ends everywhere

  Scenario Outline: the same check fails for nodes that <fault>
    When stores are restored and the nodes <fault>
    Then the check of these nodes fails

    Examples:
      | fault                                 |
      | compare revisions without their eras  |
      | take older configurations for updates |
      | ignore what others hold at a position |
      | take older rollout states for updates |

  Scenario Outline: a rollout that is <known> and shown as <shown> in a newer era is <outcome>
    Then a rollout known as <known> and shown as <shown> is <outcome>

    Examples:
      | known                | shown                | outcome    |
      | v2 running in 8 s    | v2 ordered in 8 s    | state_lost |
      | v2 running in 8 s    | v2 ordered in 9 s    | state_lost |
      | v2 running in 8 s    | v2 running in 8 s    | same       |
      | v2 running in 8 s    | v2 completed in 8 s  | same       |
      | v2 completed in 8 s  | v2 running in 8 s    | state_lost |
      | v2 completed in 8 s  | v2 ordered in 8 s    | state_lost |
      | v2 completed in 8 s  | v2 ordered in 9 s    | other      |
      | v2 running in 8 s    | v1 completed in 8 s  | obsolete   |
      | v2 completed in 8 s  | v3 ordered in 8 s    | other      |

  Scenario Outline: a response with the header <header> is of the era <era>
    Then a response with the era header <header> is of the era <era>

    Examples:
      | header           | era |
      | none             | 0   |
      | 7                | 7   |
      | -1               | 0   |
      | 1.5              | 0   |
      | 9999999999999999 | 0   |

  Scenario: a delayed response of an older era changes nothing
    Given a store client that knows of the era 2
    Then a listing, a watch and a write of the era 1 are errors
    And a listing of the era 2 is used, and one of 3 makes the era known

  Scenario: a listing whose pages are of two eras is an error
    Given a store client that knows of the era 2
    Then a listing with pages of the eras 2 and 3 is an error

  Scenario: a state that a node wrote in an older era does not count as written
    Given a node whose rollout has ended in the era 0
    When its order is shown without a state in the era 1
    Then the final state is due, at the revision of the era 1
    When the order is shown once more without a state
    Then the final state is due, at the revision of the era 1
    When the order is shown with the final state
    Then no state is due

  Scenario: a record of an older era is written again without a listing of the nodes
    Given a node whose record was written in the era 0
    When the nodes are listed in the era 1 without its record
    Then it writes its record once, as a new object

  Scenario Outline: of the configuration held (<held>) and found (<found>) remains <kept>
    Then of <held> and <found> in the era 2 remains <kept>

    Examples: version, era and revision of each
      | held       | found      | kept       |
      | r9 0 50    | r8 2 40    | r9 0 50    |
      | r9 0 50    | r9 2 40    | r9 2 40    |
      | r9 0 50    | nothing    | r9 0 50    |
      | r9 2 50    | nothing    | nothing    |
      | r9 2 50    | r8 2 60    | r8 2 60    |
      | r9 0 50    | r8 0 40    | r9 0 50    |
      | r8 0 40    | r9 1 30    | r9 1 30    |
      | invalid 0 9 | r1 2 3    | r1 2 3     |
