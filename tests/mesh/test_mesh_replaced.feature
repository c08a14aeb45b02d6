Feature: a node that is started again while its previous process stops

  Scenario Outline: a call is answered by the previous process after <sign>
    Given a node that has a connection to another node with a target
    When the other node is replaced after <sign> while a call runs at its previous process
    Then the call has the answer of the previous process

    Examples:
      | sign                   |
      | its goodbye            |
      | it announced its drain |

  Scenario: a call fails at once if its node was replaced without a sign
    Given a node that has a connection to another node with a target
    When the other node is replaced after nothing while a call runs at its previous process
    Then the call has failed with its outcome unknown at once
