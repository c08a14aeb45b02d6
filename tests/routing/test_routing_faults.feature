Feature: routing faults

  Scenario Outline: <fault> while <step> leaves a true outcome and nothing stuck
    Given a deployment with one slot
    When a call meets that <fault> while <step>
    Then the outcome of the call is true
    And the call has run at most once
    And no call stays in flight on the nodes that live

    Examples: waiting for a slot
      | fault                      | step                    |
      | the caller breaks off      | a call waits for a slot |
      | the entry node is killed   | a call waits for a slot |
      | the other node is killed   | a call waits for a slot |
      | the other node is frozen   | a call waits for a slot |
      | the target is killed       | a call waits for a slot |
      | the target is frozen       | a call waits for a slot |

    Examples: body under way
      | fault                      | step                    |
      | the caller breaks off      | its body is under way   |
      | the entry node is killed   | its body is under way   |
      | the other node is killed   | its body is under way   |
      | the other node is frozen   | its body is under way   |
      | the target is killed       | its body is under way   |
      | the target is frozen       | its body is under way   |

    Examples: target runs
      | fault                      | step                    |
      | the caller breaks off      | the target runs it      |
      | the entry node is killed   | the target runs it      |
      | the other node is killed   | the target runs it      |
      | the other node is frozen   | the target runs it      |
      | the target is killed       | the target runs it      |
      | the target is frozen       | the target runs it      |

    Examples: answer under way
      | fault                      | step                    |
      | the caller breaks off      | its answer is under way |
      | the entry node is killed   | its answer is under way |
      | the other node is killed   | its answer is under way |
      | the other node is frozen   | its answer is under way |
      | the target is killed       | its answer is under way |
      | the target is frozen       | its answer is under way |
