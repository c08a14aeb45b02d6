Feature: changes of the routes

  Scenario Outline: a new configuration that <changes> a route is logged so
    Given a configuration in force with the routes a and b
    When a newer configuration <changes> a route
    Then the log names <route> as <kind>

    Examples:
      | changes | route | kind    |
      | adds    | c     | added   |
      | removes | b     | removed |
      | changes | b     | changed |

  Scenario: the calls of a route are counted until it is removed
    Given a configuration in force with the routes a and b
    When both routes have been called and a newer configuration removes a route
    Then calls are counted for the route a only
