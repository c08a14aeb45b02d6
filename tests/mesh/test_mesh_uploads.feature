Feature: large bodies between nodes

  # Guards against an upload above the limit of a message, which ended the
  # connection between two nodes with the calls of others on it.
  Scenario: a large upload reaches its target and breaks off no other call
    Given a mesh with two targets of a service in each of two domains
    When 10 calls of 1.5 s run while 2 uploads of 5 MiB come to each node
    Then all these calls are answered
    And each upload is answered with its whole body
