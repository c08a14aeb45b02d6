Feature: calls that a target makes while it runs a call

  # Guards against nested calls that are served as new ones, and the reverse.
  Scenario Outline: a request with the id <id> is <kind>
    Given a node whose target runs the calls job-1 of team amber and job-1.7 of team birch
    When its target sends a request with the id <id>
    Then the call is <kind> of team <team>

    Examples:
      | id        | kind     | team  |
      | job-1.3   | nested   | amber |
      | job-1.7.2 | nested   | birch |
      | job-1     | ordinary | none  |
      | job-1.    | ordinary | none  |
      | job-2.1   | ordinary | none  |
      | job-1.3.1 | ordinary | none  |
      | .1        | ordinary | none  |

  # Guards against entries that outlive their calls.
  Scenario Outline: a request that comes after the run of its parent has <ended> is ordinary
    Given a node whose target runs the calls job-1 of team amber and job-1.7 of team birch
    When the run of job-1 has <ended>
    And its target sends a request with the id job-1.3
    Then the call is ordinary of team none
    And one running call is remembered

    Examples:
      | ended         |
      | been answered |
      | been given up |
      | failed        |

  # Guards against an attempt that is forgotten when its duplicate ends.
  Scenario: of an attempt that was sent twice the second run goes on
    Given a node whose target runs the calls job-1 of team amber and job-1 of team amber
    When one run of job-1 has ended
    And its target sends a request with the id job-1.3
    Then the call is nested of team amber

  # Guards against work for a parent that can no longer use it.
  Scenario Outline: a nested call of <own_ms> ms whose parent has <parent_ms> ms left may take <least_ms> to <most_ms> ms
    Given a node whose target runs a call that has <parent_ms> ms left
    When its target sends a nested request with a deadline of <own_ms> ms
    Then its targets may work for <least_ms> to <most_ms> ms

    Examples:
      | own_ms | parent_ms | least_ms | most_ms |
      | 810    | 2000      | 735      | 745     |
      | 810    | 300       | 295      | 300     |
      | 5000   | 1000      | 995      | 1000    |

  Scenario: a nested call whose parent has no time left is refused unsent
    Given a node whose target runs a call that has 0 ms left
    When its target sends a nested request with a deadline of 810 ms
    Then it is refused with 503 and counted

  # Guards against parents that fail while further targets have not been asked.
  Scenario Outline: a <kind> call that <count> targets refuse after <after_ms> ms each has been sent to <sent>
    Given a node that knows <count> targets that refuse calls after <after_ms> ms
    When a <kind> call with 800 ms left is delivered
    Then it is refused after <sent> sends, before its deadline

    Examples:
      | kind     | count | after_ms | sent |
      | new      | 20    | 1        | 4    |
      | nested   | 20    | 1        | 8    |
      | nested   | 6     | 1        | 6    |
      | nested   | 20    | 300      | 3    |

  # Guards against nested calls that avoid targets for queues that they pass.
  Scenario: a nested call expects to wait less than a new one at a long queue
    Given a node that knows 1 targets that refuse calls after 1 ms
    When the target reports a wait of 0.4 s to a new call
    And the target reports a wait of 0.1 s to a nested call
    Then a nested call expects to wait 0.1 s and a new one 0.4 s

  # Guards against reports of another rank that are older and less true.
  Scenario Outline: a report to a <kind> call replaces an older one that contradicts it
    Given a node that knows 1 targets that refuse calls after 1 ms
    When the target reports a wait of <before_s> s to a <other> call
    And the target reports a wait of <wait_s> s to a <kind> call
    Then a nested call expects to wait <wait_s> s and a new one <wait_s> s

    Examples:
      | kind   | other  | before_s | wait_s |
      | new    | nested | 0.4      | 0.1    |
      | nested | new    | 0.1      | 0.4    |
