Feature: calls at a node that has just started

  Scenario Outline: a call that arrives <arrives> s after the start, with targets known at <known> s, is <outcome>
    Given a node that starts and learns of a target after <known> s
    When a call with an objective of 0.5 s arrives <arrives> s after the start
    Then it is <outcome> after <held> s

    Examples:
      | arrives | known | outcome | held |
      | 0.1     | 0.2   | sent    | 0.1  |
      | 0.1     | 0.05  | sent    | 0.0  |
      | 0.1     | 5.0   | refused | 0.2  |
      | 1.4     | 5.0   | refused | 0.1  |
      | 2.0     | 5.0   | refused | 0.0  |

  Scenario Outline: a call that arrives before the configuration, known at <known> s, is <outcome>
    Given a node that starts and learns of a configuration after <known> s
    When a call with a deadline of 2.0 s arrives 0.1 s after the start
    Then it is <outcome> after <held> s

    Examples:
      | known | outcome | held |
      | 0.3   | sent    | 0.2  |
      | 5.0   | refused | 0.3  |

  # Guards against a wait of a starting node past the deadline of a caller.
  Scenario Outline: a call that waited <waited> s of its 1.0 s for the start is refused before its caller leaves, without a <what>
    Given a node that starts and learns of a <what> after 5.0 s
    When a call with a deadline of 1.0 s is read <waited> s after it came
    Then it is refused before its caller leaves

    Examples:
      | waited | what          |
      | 0.5    | configuration |
      | 0.8    | configuration |
      | 0.9    | configuration |
      | 0.5    | target        |
      | 0.9    | target        |

  # Guards against work for callers that have left during the start.
  Scenario Outline: a call whose caller left during the start is refused at once, with a known <what>
    Given a node that starts and learns of a <what> after 0.0 s
    When a call with a deadline of 1.0 s is read 1.1 s after it came
    Then it is refused after 0.0 s

    Examples:
      | what          |
      | configuration |
      | target        |

  Scenario: a call that the only known target refuses waits for the next one
    Given a node that starts and learns of a target after 0.2 s
    And it knows an overloaded target from the start
    When a call with an objective of 0.5 s arrives 0.1 s after the start
    Then it is sent after 0.1 s

  Scenario: callers that return after a restart of all nodes are served in time
    Given a node that starts and learns of a target after 0.2 s
    When 40 calls with an objective of 0.5 s arrive evenly in the first 0.4 s
    Then at least 38 of them are sent, each within 0.25 s
    And run times of 0.2 s would leave all of them in time

  # Guards against a refusal at once where the caller still waits.
  Scenario Outline: a call whose objective is near or over when it is read waits for a target, after <waited> s
    Given a node that starts and learns of a target after 0.2 s
    When a call with an objective of 0.5 s is read 0.1 s after the start, having waited for <waited> s
    Then it is sent after 0.1 s

    Examples:
      | waited |
      | 0.4    |
      | 0.6    |

  # Guards against a retry that comes when its caller has hardly any time left.
  Scenario: calls that waited in their sockets are refused for a part of what is left
    Given a node that starts and learns of a configuration after 5.0 s
    When 40 calls with a deadline of 2.0 s are read 0.1 s after the start, having waited for 1.2 s
    Then all are refused until at most a third of what is left to them

  # Guards against work for a caller that leaves before its answer can come.
  Scenario Outline: a call of 1.0 s that is read <waited> s after it came is <outcome>, run times being <known>
    Given a node that starts and learns of a configuration after 0.0 s
    And run times that are <known>
    When a call with a deadline of 1.0 s is read <waited> s after it came
    Then it is <outcome> after 0.0 s
    And it has <reached> a target

    Examples:
      | known         | waited | outcome | reached     |
      | not known     | 0.5    | sent    | reached     |
      | not known     | 0.8    | sent    | reached     |
      | not known     | 0.9    | refused | not reached |
      | 2 s           | 0.5    | sent    | reached     |
      | 2 s           | 0.9    | refused | not reached |
      | close to 0 s  | 0.9    | sent    | reached     |
      | close to 0 s  | 0.99   | refused | not reached |

  # Guards against a refusal of calls that the chosen target can still serve.
  Scenario Outline: a call with 0.16 s left is <outcome> if its target takes <share> of the usual 0.16 s
    Given a node that starts and learns of a configuration after 0.0 s
    And run times that are 0.16 s
    And one target, which takes <share> of them
    When a call with a deadline of 1.0 s is read 0.84 s after it came
    Then it is <outcome> after 0.0 s

    Examples:
      | share | outcome |
      | 1.0   | refused |
      | 0.25  | sent    |

  # Guards against a call that is sent on when its time has passed elsewhere.
  Scenario: a call that a node refused late is not sent to another one
    Given a node that starts and learns of a configuration after 0.0 s
    And it knows an overloaded target from the start
    And targets that refuse calls after 0.9 s
    When a call with a deadline of 1.0 s arrives 0.1 s after the start
    Then it is refused after 0.9 s
    And it has reached a target
