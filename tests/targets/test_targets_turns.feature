Feature: input of many connections is parsed in turns

  # Guards against connections whose input of very many small parts takes the
  # loop, while other callers wait.
  Scenario: others come in between the turns of inputs of many small parts
    Given 20 connections that receive 250000 bytes of 1-byte parts each
    Then others come in after at most 4096 parts
    And all bytes are parsed in their order

  Scenario: an input of few parts is parsed at once
    Given 1 connections that receive 250000 bytes of 65536-byte parts each
    Then all bytes are parsed in their order, without a round of the loop

  Scenario: an input that waits is parsed at the end of its connection
    Given 1 connections that receive 250000 bytes of 1-byte parts each
    When the connections end
    Then all bytes are parsed in their order, without a round of the loop

  Scenario: an input that is dropped does not hold up the others
    Given 20 connections that receive 250000 bytes of 1-byte parts each
    When half of the connections drop their input
    Then the others are parsed in their order

  # Guards against idle connections that keep the last block that they read.
  Scenario Outline: an input of <what> is not held once it is parsed
    Given 20 connections that receive 250000 bytes of <each>-byte parts each
    Then their input is not held once it is parsed

    Examples:
      | what            | each  |
      | few parts       | 65536 |
      | many small ones | 1     |

  # Guards against a few connections with large blocks that take the loop.
  Scenario: others come in between the reads of large blocks
    Given 20 connections that receive 250000 bytes of 65536-byte parts each
    Then others come in after at most 512 KiB
    And nothing of them is lost

  Scenario: little input is parsed at once beside large blocks
    Given 20 connections that receive 250000 bytes of 65536-byte parts each
    When another one receives 4096 bytes after them
    Then its input is parsed before theirs
