Feature: a failure domain that is taken back

  # Guards against a target that turned cold while its domain was withdrawn
  # and gets its full load, as it says so only in its next heartbeat.
  Scenario Outline: the limit of a cold target holds until its health is known: <health>
    Given a node whose failure domain is withdrawn, with a warm heartbeat
    When the domain is taken back, and a probe says <health>
    Then the target gets no more than its cold limit before the probe is answered
    And after it the target is <after>

    Examples:
      | health                          | after                        |
      | cold for 2.7 s                  | cold for 2.7 s               |
      | warm                            | warm                         |
      | nothing                         | cold until its next heartbeat |
      | cold for 2.7 s, of another one  | cold until its next heartbeat |

  Scenario: a heartbeat that comes before the answer to the probe counts
    Given a node whose failure domain is withdrawn, with a warm heartbeat
    When the domain is taken back, and a cold heartbeat comes before a warm probe
    Then after it the target is cold for 2.5 s

  Scenario: another domain that is taken back changes nothing
    Given a node whose failure domain is withdrawn, with a warm heartbeat
    When another domain is taken back
    Then after it the target is warm
