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
