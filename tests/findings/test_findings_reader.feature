Feature: findings reader

  Scenario: all findings of a settings file are reported together
    When settings with several findings are read
    Then these findings are reported
      | code  | path               | line |
      | PF002 | /lisen             | 4    |
      | PF003 | /                  |      |
      | PF007 | /platform/address  | 5    |
      | PF005 | /peers/heartbeat   | 6    |
      | PF004 | /limits/calls      | 7    |
    And the finding at /lisen hints at 'listen'

  Scenario: text that is not JSON with comments is a finding with its line
    When a broken settings file is read
    Then these findings are reported
      | code  | path | line |
      | PF001 | /    | 3    |

  Scenario: any text gives settings or findings, never another error
    Then reading settings from any text ends in settings or findings

  Scenario: comments do not change what a document says
    Then a document with comments anywhere reads like one without

  Scenario: the samples have no findings
    Then every sample under examples has no findings
