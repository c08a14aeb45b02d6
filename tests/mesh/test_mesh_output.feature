Feature: nodes whose output is not read

  # Guards against a node that ends, or stands still, with its output.
  Scenario Outline: a node serves and stops with its output <output>
    Given a mesh with two targets of a service in each of two domains
    When a node starts again with its output <output>
    And 900 calls that it logs are sent to it
    Then the calls were answered
    And its standard descriptors are no sockets
    And its metrics count the lost lines
    And at SIGTERM the node ends with 0 after the answer of its last call

    Examples:
      | output                      |
      | not read                    |
      | left by its reader          |
      | on a device that is full    |
      | closed                      |

  # Guards against a node that stands still since its first error.
  Scenario: a node that was out of descriptors serves again with its output not read
    Given a mesh with two targets of a service in each of two domains
    When a node with at most 100 descriptors starts again with its output not read
    And 150 connections to its address for nodes are opened, held for 2.0 s and closed
    Then calls through it are answered again

  # Guards against an error that is printed to a pipe that nobody reads.
  Scenario: errors of libraries don't wait for a reader
    When a program with the logs of a node reports 3000 errors of a library, which nobody reads
    Then the program ends with 0

  # Guards against a node that can't start and waits for a reader.
  Scenario Outline: a node without settings ends with its output <output>
    When a node without settings starts with its output <output>
    Then the program ends with 2

    Examples:
      | output   |
      | not read |
      | closed   |

  # Guards against a line that is continued by the next one.
  Scenario: the line after one that was cut begins on a line of its own
    When a line of 100000 bytes and a short one are logged to a pipe that is read in between
    Then the short line is read whole
    And one lost write is counted
