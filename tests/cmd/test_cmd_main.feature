Feature: cmd main

  Scenario Outline: commands end with documented exit codes
    Given a small deployment
    When the command <command> is run
    Then it exits with <code>

    Examples:
      | command                                     | code |
      | version                                     | 0    |
      | --help                                      | 0    |
      | status                                      | 0    |
      | get                                         | 0    |
      | get samlag                                  | 0    |
      | history                                     | 0    |
      | check examples/sudurland.jsonc              | 0    |
      | check tests/cmd/bad.jsonc                   | 3    |
      | apply examples/sudurland.jsonc              | 0    |
      | apply examples/sudurland.jsonc --dry-run    | 0    |
      | apply examples/sudurland.jsonc --expected 9 | 4    |
      | apply examples/norte.jsonc                  | 7    |
      | restore samlag 1                            | 0    |
      | restore samlag 1 --dry-run                  | 0    |
      | restore samlag 77 --expected 9              | 4    |
      | status --node 127.0.0.1:1                   | 5    |

  Scenario: output for machines is one JSON object
    Given a small deployment
    When the command status --output json is run
    Then its output is JSON with the node n1

  Scenario: a racing operator is told of the current version
    Given a small deployment
    When two operators put documents upon configuration 1 at the same time
    Then one is accepted and the other gets a conflict with the current version

  Scenario: a change can be looked at first and taken back afterwards
    Given a small deployment
    When a changed document is tried, accepted and taken back to 1
    Then the trial showed the difference and changed nothing
    And the content of 1 is accepted as configuration 3

  Scenario: a team without the right may not decide about failure domains
    Given a small deployment
    When a team without rights withdraws a failure domain
    Then the answer is 403 with PB601

  Scenario: a team that sends too many changes is held back
    Given a small deployment
    When one team sends 15 changes at once
    Then some are refused with PB602 and the rest are settled

  Scenario: an operator without a token is refused
    Given a small deployment
    When a document is put without a token
    Then the answer is 401 with PB600

  Scenario: pages that are written from the code agree with it
    Then docs/settings.md, docs/documents.md and docs/errors.md are up to date
    And docs/CAPACITY.md agrees with the recorded slopes
