Feature: teams and their keys

  # Guards against a key that finds another team, or one that is removed.
  Scenario: each key finds its own team, and no other text does
    Then each key of any set of teams finds its team, and other texts find none

  # Guards against keys in dumps of the memory and in the text of objects.
  Scenario: a directory holds no key
    Then no key is in a directory, in its text or in the text of its teams

  Scenario Outline: a request <what> has <result>
    Given a directory with the key th5m of the team pulo780
    When a request <what> comes on a route that is <kind>
    Then it has <result>

    Examples:
      | what                           | kind       | result                    |
      | with Bearer th5m               | not public | the team pulo780          |
      | with bearer  th5m              | not public | the team pulo780          |
      | with Bearer th5m               | public     | the team pulo780          |
      | without a key                  | not public | a missing key rejected    |
      | with Bearer                    | not public | a malformed key rejected  |
      | with Basic th5m                | not public | a malformed key rejected  |
      | with Bearer th5m th5m          | not public | a malformed key rejected  |
      | with Bearer th5m twice         | not public | a malformed key rejected  |
      | with Bearer th5                | not public | an unknown key rejected   |
      | with Bearer th5mm              | not public | an unknown key rejected   |
      | with Bearer TH5M               | not public | an unknown key rejected   |
      | without a key                  | public     | no team                   |
      | with Basic th5m                | public     | no team                   |
      | with Bearer th5                | public     | no team                   |

  # Guards against metrics that grow with the number of teams.
  Scenario: at most 100 teams have a label of their own
    Given an access with 250 teams that have calls
    Then 100 of them have labels, and the calls of the others count together
    And labels of teams that a configuration removes are dropped
