Feature: the duty to report usage

  # Guards against two different reports of a window, a token used by two
  # holders, an older token after a newer one, and holders that alternate.
  Scenario: no course of pauses, lost responses and clock steps breaks a rule
    Given three processes that contend for the duty
    Then no course of events breaks a rule of the reports

  # Shows that the check above finds the fault that the conditional write
  # prevents.
  Scenario: without the conditional write a rule is broken
    Given three processes that contend for the duty
    And a store that ignores the revision of a write
    Then a course of events breaks a rule of the reports

  # The same for a holder that only trusts the clock that stands still while
  # its VM is suspended.
  Scenario: without the clock that goes on in suspension a rule is broken
    Given three processes that contend for the duty
    And processes that measure their lease by the steady clock alone
    Then a course of events breaks a rule of the reports

  Scenario Outline: a malformed record is refused, <record>
    Then the record <record> is refused

    Examples:
      | record |
      | null   |
      | []     |
      | {}     |
      | {"holder": "n", "incarnation": 1, "token": "1", "sequence": 1, "recorded": 1, "pending": []} |
      | {"holder": "n", "incarnation": 1, "token": 1, "sequence": 1, "recorded": 1, "pending": [{"window": 1}]} |
      | {"holder": "n", "incarnation": 1, "token": 1, "sequence": 1, "recorded": 1, "pending": [{"window": 1, "counts": {"a": -1}}]} |
      | {"holder": "n", "incarnation": 1, "token": 1, "sequence": 1, "recorded": 1, "pending": [], "more": 1} |
