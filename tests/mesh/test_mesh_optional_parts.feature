Feature: settings without the bounds of optional parts

  # Guards against a node that does not start where a deployment does not ask
  # for a part of the rules.
  Scenario Outline: nodes start and serve without the bounds of <part>
    Given a deployment whose settings lack the bounds of <part>
    When its nodes are started
    Then a call through each node is answered by a target

    Examples:
      | part             |
      | the cold limit   |
      | rollouts         |
      | any optional one |
