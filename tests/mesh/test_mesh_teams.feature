Feature: teams and their keys, with real processes

  # Guards against keys or teams of callers that reach targets, other nodes or
  # logs, and against callers without a key that are served.
  Scenario: callers are known by their keys
    Given a mesh of three nodes whose configuration has teams
    Then calls with a key run with the team of the key, whatever team they claim
    And calls without a known key get 401 with a challenge, and none of them runs
    And calls on a public route run, with a team only if the key is known
    And no key is in the logs, the metrics or what a target received
    And the metrics tell rejected keys by cause, and calls by team

  # Guards against keys that are in force too late or too long.
  Scenario: keys are added and removed by a configuration
    Given a mesh of three nodes whose configuration has teams
    When a configuration removes a key and adds another one
    Then within 2 s every node accepts the new key and rejects the removed one
    And a configuration with an invalid key is rejected, the former one stays and no key is logged
    And a configuration without teams lets all callers pass, with their headers

  # Guards against a refusal that waits for a body, and a body that is taken
  # for a request.
  Scenario: a large body without a key is refused by its head
    Given a mesh of three nodes whose configuration has teams
    When a caller without a key sends the head of a call with a body of 4 MiB
    Then it gets 401 before it has sent its body
    And a call with a key on the same connection is answered after that body

  # Guards against 401 where it is not known whether a key is needed, which
  # callers do not send again.
  Scenario: a node without a configuration never replies with 401
    Given a node that has no configuration
    When callers with and without keys send calls to it
    Then each of them gets 503

  # Guards against a change for deployments without teams.
  Scenario: a deployment without teams passes both headers through
    Given a mesh of three nodes whose configuration has no teams
    Then calls run with the headers Authorization and X-Tenant of their callers
    And no module of teams is loaded
