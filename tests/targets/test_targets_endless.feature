@uvloop
Feature: answers of a target that do not end

  # Guards against a faulty target whose endless bytes fill the memory of the
  # node, or take its processor time, until the caller leaves.
  Scenario Outline: an answer with <what> without end is broken off
    Given an answer with <what> without end
    When the target gets a call with a deadline of 20 s
    Then the call ends as lost, well before its deadline
    And the target has sent less than 64 MiB

    Examples:
      | what                      |
      | one header                |
      | one header name           |
      | headers                   |
      | a status text             |
      | informational answers     |
      | answers of another call   |
      | blank lines               |
      | a chunk extension         |
      | a trailer                 |
      | chunks                    |
      | a body until the close    |
      | chunks of 1 byte          |
      | chunks of 2 bytes         |
      | chunks of 9 bytes         |
      | headers of 1 byte         |
      | other answers in tiny chunks |

  # Guards against a limit that counts the text of parts, not their memory.
  Scenario Outline: an answer with <what> without end takes little memory
    Given an answer with <what> without end
    When the target gets 10 calls at a time whose memory is measured
    Then all of them end as lost
    And at most 24 MiB were held for them at a time

    Examples:
      | what                      |
      | chunks                    |
      | chunks of 1 byte          |
      | chunks of 2 bytes         |
      | chunks of 9 bytes         |
      | headers of 1 byte         |
      | a body until the close    |

  # Guards against parts of a body that was given up, which its error keeps
  # until the garbage collector comes by.
  Scenario Outline: <what> that were given up take no memory
    Given an answer with <what> without end
    When the target gets 30 calls in sequence without the garbage collector
    Then all of them end as lost
    And at most 24 MiB were held for them at a time

    Examples:
      | what                      |
      | chunks                    |
      | chunks of 9 bytes         |
      | a body until the close    |

  Scenario Outline: an answer of <size> bytes in chunks of <each> arrives whole
    Given an answer of <size> bytes in chunks of <each>
    When the target gets a call with a deadline of 20 s
    Then the body arrives whole

    Examples:
      | size    | each  |
      | 300000  | 1     |
      | 300000  | 2     |
      | 2000000 | 9     |
      | 4000000 | 65536 |

  # Guards against an answer that is cut as its connection ends while it waits
  # to be parsed.
  Scenario: an answer until the close arrives whole, though it came at once
    Given an answer of 3000000 bytes until the close
    When the target gets a call with a deadline of 20 s
    Then the body arrives whole

  Scenario: a length beyond the limit is refused without reading the body
    Given an announced body beyond the limit
    When the target gets a call with a deadline of 20 s
    Then the call ends as lost, well before its deadline

  # Guards against a length that is refused where no body follows.
  Scenario: an answer to a HEAD with a length beyond the limit is passed on
    Given an announced body beyond the limit
    When the target gets a HEAD call
    Then its answer has status 200

  # Guards against heads of failed connections, which their errors keep until
  # the garbage collector comes by.
  Scenario: heads that were broken off take no memory
    Given an answer with headers of 1 byte without end
    When the target gets 200 calls in sequence without the garbage collector
    Then all of them end as lost
    And at most 24 MiB were held for them at a time

  # Guards against ended connections that refer to themselves, and so keep the
  # heads of their answers until the garbage collector comes by.
  Scenario: heads whose bodies were broken off take no memory
    Given an answer with chunks after a large head without end
    When the target gets 200 calls in sequence without the garbage collector
    Then all of them end as lost
    And at most 24 MiB were held for them at a time

  Scenario: an answer up to the limit arrives whole
    Given an answer as large as the limit
    When the target gets a call with a deadline of 20 s
    Then the body arrives whole

  Scenario: a large late answer of another call is skipped
    Given 1 MiB of another call before an answer
    When the target gets a call with a deadline of 20 s
    Then the body arrives whole

  Scenario: answers beside one without end are delivered
    Given chunks without end for the first of 20 calls
    When the target gets 20 calls at a time
    Then all calls but the first are answered

  # Guards against a connection on which nothing is read any more, as reading
  # was paused when a large answer ended: the next call on it got no answer.
  Scenario: calls after large answers on kept connections are answered
    Given answers of 200 KiB to 2 MiB on kept connections
    When the target gets 60 calls in sequence
    Then each call has received its own answer

  Scenario: what is left of an answer is not taken for that of the next call
    Given answers of 200 KiB to 2 MiB on kept connections
    When a call is broken off after the head of its answer, and another follows
    Then the second call has received its own answer
