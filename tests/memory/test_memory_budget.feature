Feature: one budget for all bytes that a node holds for others

  Scenario Outline: the budget follows from the memory of the node
    Given a node that may use <memory> MB
    Then its budget is <budget> MB

    Examples:
      | memory | budget |
      | 0      | 72     |
      | 300    | 120    |
      | 200    | 70     |
      | 70     | 8      |

  # Guards against an answer without end that ends the calls of others.
  Scenario: a body without end is given up alone
    Given a budget of 16 MB with 100 bodies of 50 KB
    When a body grows without end
    Then it is given up, and no other

  Scenario: the largest of the bodies that grow is given up
    Given a budget of 16 MB with bodies of 4, 6, 4 MB that grow
    When a body grows to 3 MB
    Then the body of 6 MB is given up

  # Guards against callers that don't read, and keep small answers out.
  Scenario: small bodies displace replies that nobody takes
    Given a budget of 16 MB that replies of 2 MB fill
    When 100 bodies of 50 KB are received
    Then none of them is given up

  Scenario: large bodies do not displace replies
    Given a budget of 16 MB that replies of 2 MB fill
    When a body grows to 3 MB
    Then it is given up, and no other

  Scenario: a whole body that finds no room displaces no other
    Given a budget of 16 MB with bodies of 4, 6, 4 MB that grow
    When room is asked for whole bodies of 3 MB and of 50 KB
    Then only the one of 50 KB has room
    And the bodies that grow are not given up

  Scenario: a body that is dropped frees its bytes
    Given a budget of 16 MB with 100 bodies of 50 KB
    When all of them are dropped
    Then nothing is held

  # Guards against bytes that are counted twice or never given back.
  Scenario: the budget holds for any course of bodies
    When bodies grow, become whole, are moved, released and dropped at random
    Then the budget is never exceeded, and its sums are those of the bodies

  # Guards against bodies of failed calls that nobody needs and that take the
  # room of others until the garbage collector comes by.
  Scenario: bodies in reference cycles are freed before others are given up
    Given a budget of 16 MB that bodies in reference cycles fill
    When a body grows to 8 MB
    Then it is not given up

  # Guards against calls that have run and whose answers find no room, as the
  # bodies of waiting requests fill the budget.
  Scenario: requests leave room for the answers of those that have run
    Given a budget of 16 MB
    When requests of 1 MB are received until one is given up
    And a body grows to 4 MB
    Then it is not given up
    And 10 requests are held

  Scenario: one request alone may use all that large bodies may use
    Given a budget of 16 MB
    When a request grows to 15 MB
    Then it is not given up

  # Guards against an upload that is given up for many answers without end.
  Scenario: many answers without end do not displace a large request
    Given a budget of 16 MB
    When a request grows to 9 MB beside 8 answers that grow without end
    Then it is not given up

  # Guards against calls of other nodes that are refused because of garbage.
  Scenario: bodies in reference cycles are freed before a whole one is refused
    Given a budget of 16 MB that bodies in reference cycles fill
    When a body of 2 MB that is whole is held
    Then it is not given up

  Scenario: the failure of a body that is given up tells its size
    Given a budget of 16 MB with 100 bodies of 50 KB
    When a body of 1024 bytes grows by 33554432
    Then the failure tells a body of 33555456 bytes

  # Guards against a choice among all requests that wait, made again for each
  # further one.
  Scenario: requests that wait to be processed are not looked at for room
    Given a budget of 16 MB that 1000 whole requests of 4 KB wait in
    When a body grows to 3 MB
    Then only 1 body was looked at for room

  # Guards against calls that have run and whose replies find no room, as
  # small requests and connections fill the budget.
  Scenario: answers displace small requests that were not begun
    Given a budget of 16 MB that small requests fill and 500 connections exceed
    When 5 answers of 60 KB are received
    Then none of them is given up
    And the requests that came last made room for them, and no more than that
    When a further small request comes
    Then it is given up, and no other
