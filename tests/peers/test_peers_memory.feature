Feature: memory of the connections between nodes

  # Guards against a second copy of the rest of a body that is sent in parts.
  Scenario: a large body is sent in parts without a copy of it
    When a body of 32 MiB is split into parts and these are sent
    Then all of it is sent, with at most 1 MiB besides the body

  # Guards against unread messages that are limited by their number alone.
  @uvloop
  Scenario Outline: a node that is held up reads <what> only as it handles them
    Given a link whose other end does not handle its messages yet
    When <count> messages of <size> KiB are sent on it
    Then at most <most> MiB of them are queued at the other end
    And all of them are handled in their order once it goes on

    Examples:
      | what           | count | size | most |
      | large messages | 40    | 1024 | 5    |
      | small messages | 4000  | 1    | 5    |
