Feature: answers without end, through the mesh

  # Guards against a node that keeps all bytes of a faulty target, runs out of
  # memory and ends the calls of others with it.
  Scenario: answers without end cost a node neither its memory nor other calls
    Given a mesh with two targets of a service in each of two domains
    When three callers get answers without end beside 100 other calls
    Then all other calls are answered, and the three end with 502 or 504
    And no node has used more than 200 MB
