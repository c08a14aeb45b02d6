Feature: calls whose bodies arrive slowly

  Scenario: a call whose body takes longer than the limit for a head is answered
    Given a mesh with two targets of a service in each of two domains
    And routes whose calls may take 12 s
    When a call with a deadline of 9 s sends its body for 5 s and works for 0.1 s
    Then it is answered with 200 within 1.0 s of its last byte

  Scenario: the deadline of a call counts from its first byte
    Given a mesh with two targets of a service in each of two domains
    When a call with a deadline of 3 s sends its body for 2 s and works for 5 s
    Then it is answered with 504 within 3.5 s of its first byte

  Scenario: a body that arrives beyond the deadline of its call is given up
    Given a mesh with two targets of a service in each of two domains
    When a call with a deadline of 2 s sends its body for 5 s and works for 0.1 s
    Then it is answered with 408 within 3.0 s of its first byte
    And it has not run
