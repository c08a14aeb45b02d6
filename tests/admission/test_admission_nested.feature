Feature: admission of calls that running calls make

  # Guards against parents whose work is lost for the sake of new calls.
  Scenario: a nested call of low priority starts before all queued new calls
    Given a target with 1 slot that is busy for 0.3 s
    When new calls of priorities 0, 1 and 2 are queued, then a nested call of priority 2
    And all calls have ended
    Then the nested call started first of those queued

  # Guards against new calls that make a queued nested one late.
  Scenario: a new call does not make a queued nested call late
    Given a target with 1 slot that is busy for 0.3 s
    When a nested call with an objective of 0.5 s is queued, then a new one of priority 0 and as due
    And all calls have ended
    Then the nested call was answered in time

  # Guards against a nested call that is refused in favour of new ones.
  Scenario: a nested call is admitted although a queued new call is late then
    Given a target with 1 slot that is busy for 0.3 s
    When a new call of priority 0 with an objective of 0.5 s is queued, then a nested one as due
    And all calls have ended
    Then the nested call was answered in time

  # Guards against the protection of starved priorities at the cost of nested
  # calls, and against refused nested calls under overload.
  Scenario Outline: nested calls of priority <priority> at <load> times the capacity by new calls are served
    Given an overloaded target that is offered <load> times its capacity by one route
    And 10 nested calls of 0.07 s per second, of priority <priority>
    When calls on both routes arrive for 30 s
    Then at least 99 in 100 nested calls are answered

    Examples:
      | load | priority |
      | 1.6  | 0        |
      | 1.6  | 3        |
      | 4    | 0        |
      | 4    | 3        |

  # Guards against shares of the priorities that nested calls distort.
  Scenario: nested calls do not count for the shares of the priorities
    Given an overloaded target that is offered 1.6 times its capacity by one route
    And 10 nested calls of 0.07 s per second, of priority 7
    When calls on both routes arrive for 30 s
    Then only the priority of the new calls has a share

  # Guards against a chain of calls that waits for its own slots.
  Scenario: a nested call that needs the slot of its parent is refused before its deadline
    Given a target with 1 slot that is busy for 3.0 s
    When the running call waits for a nested call at the same target
    And all calls have ended
    Then the nested call was refused before its deadline
