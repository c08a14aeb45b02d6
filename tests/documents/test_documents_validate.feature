Feature: documents validate

  Scenario Outline: what breaks a rule across documents is refused at its place
    When documents are checked with <fault>
    Then the findings are <code> at <path>

    Examples:
      | fault                     | code  | path                |
      | a route to no service     | PF009 | /routes/0/service   |
      | a need of no service      | PF009 | /routes/0/needs/0   |
      | the same service twice    | PF008 | /services/0         |
      | the same route twice      | PF008 | /routes/0           |
      | a circle of needs         | PF011 | /routes/0/needs     |

  Scenario: documents that keep the rules are accepted
    When documents are checked with nothing wrong
    Then there are no findings
