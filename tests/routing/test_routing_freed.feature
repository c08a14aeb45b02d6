Feature: calls that were refused are freed

  # Guards against a task or a refusal that refers to the frame that holds it,
  # and so keeps the request until the garbage collector comes by.
  Scenario Outline: calls that <count> targets refuse are freed at once
    Given a node that knows <count> targets that refuse calls
    When 20 calls are sent to it without the garbage collector
    Then all of them were refused and none is held

    Examples:
      | count |
      | 1     |
      | 2     |
      | 4     |
