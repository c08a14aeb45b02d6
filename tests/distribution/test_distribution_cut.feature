Feature: distribution cut

  Scenario: a VM that is cut off serves on and catches up
    Given two failure domains on wires
    When every VM is cut off from the others and far from the platform
    And a configuration is accepted in near
    Then calls to far-1 and into near are answered by their own targets
    And far has the old configuration and near the new one
    When the wires pass again
    Then it is in force on every node that runs within 13 s
    And no node has gone back
    And every node knows all targets again

  Scenario: connections that fall silent are noticed and their work moves on
    Given two failure domains on wires
    When every connection of far falls silent for good
    And a configuration is accepted in near
    Then it is in force on every node that runs within 13 s
    When 3.0 s pass
    Then calls from near to the service of far are answered

  Scenario: a call in flight on a connection that falls silent is not lost in doubt
    Given two failure domains on wires
    When a deposit runs in far while its connection falls silent
    Then the deposit ends as unknown before its deadline and has run once

  Scenario: no route fails while configurations are swapped under load
    Given a small deployment
    When 12 configurations are swapped while calls keep coming
    Then every one of those calls was answered or refused as not run
    And no call was refused for want of a route
