@uvloop
Feature: calls that fail between nodes are freed

  # Guards against errors of shared tasks that refer to the calls that wait for
  # them, and so keep their bodies until the garbage collector comes by.
  Scenario Outline: calls to a node that cannot be reached are freed at once, <how>
    Given a node and another one that does not listen
    When 30 calls are sent to it <how> without the garbage collector
    Then all of them are refused for peer-unreachable
    And none of the calls is held

    Examples:
      | how         |
      | in sequence |
      | at a time   |

  # Guards against an error of a connection that is raised to all of its calls,
  # and so keeps them all while one of them is there.
  Scenario: calls whose connection has ended are freed at once
    Given two nodes with a connection between them
    When 30 calls are sent over it without the garbage collector, and it ends
    Then all of them are refused for peer-lost
    And none of the calls is held

  # Guards against ended connections that refer to themselves, and so keep the
  # messages that nobody has read until the garbage collector comes by.
  Scenario: connections that have ended are freed at once
    Given two nodes with a connection between them
    When 10 connections end without the garbage collector, with calls in flight
    Then none of the connections is held
