Feature: what a node tells about its memory

  # Guards against a node that is killed for its memory without a line on why.
  Scenario: growth of the memory is logged with what the node holds
    Given a node that may use 300 MB and holds 90 MB of answers
    When its memory is 40, 149, 151, 160, 170, 290 MB
    Then it is logged at 151, 170, 290 MB with the answers

  Scenario: memory that shrinks and grows again is logged again
    Given a node that may use 300 MB and holds 90 MB of answers
    When its memory is 200, 60, 149, 160 MB
    Then it is logged at 200, 160 MB with the answers

  Scenario: a node that does not know its limit reports as well
    Given a node that may use 0 MB and holds 90 MB of answers
    When its memory is 40, 63, 65 MB
    Then it is logged at 65 MB with the answers

  Scenario: the memory of a process is what the kernel tells
    When a process takes 50 MB more
    Then its memory has grown by 45 to 60 MB
