Feature: statuses that HTTP does not have, through the mesh

  # Guards against callers that wait for their time limit, or get a status that
  # they do not understand, although another target answers.
  Scenario Outline: lookups beside a target that answers <what> are answered
    Given a mesh with two targets of a service in each of two domains
    When the target of most lookups answers its calls <what>, and lookups come
    Then it has run some, and all lookups are answered with 200

    Examples:
      | what                        |
      | with status 000             |
      | with status 042             |
      | with status 600             |
      | with status 101             |
      | with informational ones     |

  # Guards against a call that runs again, or is reported as not run.
  Scenario Outline: a booking whose target answers <what> gets 502 and runs once
    Given a mesh with two targets of a service in each of two domains
    When all targets of bookings answer <what>, and a booking comes
    Then the booking has run once and is answered with 502

    Examples:
      | what                        |
      | with status 042             |
      | with status 999             |
