Feature: settings and client of the usage API

  # Guards against a node that reports where it should not, or does not start.
  Scenario Outline: settings with <cloud> give <found>
    Given settings of a node
    When the settings of the cloud are <cloud>
    Then the usage reports of the node are <found>

    Examples:
      | cloud                                                              | found                    |
      | nothing                                                            | off                      |
      | {"address": "127.0.0.1:80", "duties": []}                          | off                      |
      | {"address": "127.0.0.1:80"}                                        | off                      |
      | {"address": "127.0.0.1:80", "duties": ["usage_report"]}            | 127.0.0.1:80 50.0 3 5 10 |
      | {"address": "127.0.0.1:80", "duties": ["usage_report"], "duty_per_s": 9.0} | 127.0.0.1:80 9.0 3 5 10 |
      | {"address": "127.0.0.1", "duties": ["usage_report"]}               | refused                  |
      | {"duties": ["usage_report"]}                                       | refused                  |

  # Guards against reports that are taken for accepted and lost, or are sent
  # after the lease.
  Scenario Outline: a report to an API that <does> is <outcome>
    Given a usage API that <does>
    When a report is sent
    Then the outcome of the report is <outcome>

    Examples:
      | does               | outcome     |
      | answers with 200   | accepted    |
      | answers with 429   | refused     |
      | answers with 503   | refused     |
      | ends connections   | unreachable |
      | does not listen    | unreachable |

  Scenario: a report has the headers and the body of the API
    Given a usage API that answers with 200
    When a report is sent
    Then the API received POST /usage of vik-1 with token 12, window 7 and 412 calls of pulo780

  Scenario: nothing is sent once the lease has ended during the connect
    Given a usage API that answers with 200
    When a report is sent whose lease has ended
    Then the outcome of the report is not sent
    And the API received nothing

  # Guards against a kernel that goes on to send a report after the lease.
  Scenario: a report that is given up resets its connection
    Given a usage API that stays silent
    When a report is sent and given up after 0.2 s
    Then its connection was reset
