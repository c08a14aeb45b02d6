Feature: what a soak judges

  Scenario Outline: own 5xx after SIGTERM in place of a target at work
    Given a soak in which <trouble> was done beside the SIGTERM of a node
    When the node answers a <method> that runs at another VM with <status>
    Then the soak finds <problems> problems

    Examples:
      | trouble | method | status | problems |
      | nothing | GET    | 502    | 1        |
      | busy    | GET    | 502    | 1        |
      | busy    | POST   | 504    | 1        |
      | nothing | GET    | 503    | 1        |
      | nothing | POST   | 503    | 1        |
      | pause   | GET    | 502    | 0        |
      | crash   | GET    | 502    | 0        |
      | endless at its target | GET | 502 | 0 |
      | endless | GET    | 502    | 1        |
      | endless | POST   | 504    | 1        |
      | short-of-time | GET | 502 | 1        |
      | short-of-time | POST | 504 | 1       |

  Scenario Outline: only a limit that is reached excuses own answers of a stop
    Given a soak in which <trouble> was done to caller-vm beside requests
    When a request with <limit> of <allowed> s ends <how> after <end> s
    Then the soak finds <problems> problems

    Examples:
      | trouble | limit      | allowed | how         | end    | problems |
      | term    | a deadline | 1.0     | with a 504  | 0.95   | 1        |
      | term    | a deadline | 1.0     | with a 502  | 0.95   | 1        |
      | term    | a deadline | 1.0     | with a 503  | 0.99   | 1        |
      | term    | a deadline | 1.0     | with a 504  | 0.998  | 1        |
      | term    | a deadline | 1.0     | with a 504  | 0.9995 | 0        |
      | term    | a deadline | 1.0     | with a 504  | 1.0    | 0        |
      | term    | a limit    | 1.0     | with a 504  | 0.95   | 1        |
      | term    | a limit    | 1.0     | with a 504  | 1.01   | 0        |
      | term    | a deadline | 1.0     | unanswered  | 0.95   | 1        |
      | hup     | a deadline | 1.0     | unanswered  | 0.95   | 1        |
      | hup     | a deadline | 1.0     | with a 504  | 0.95   | 0        |

  Scenario Outline: a caller that gets no answer by its deadline
    Given a soak in which <trouble> was done to <vm> beside requests
    When a caller leaves the node of caller-vm at its deadline
    Then the soak finds <problems> problems

    Examples:
      | trouble       | vm        | problems |
      | busy          | *         | 1        |
      | store         | *         | 1        |
      | crash         | target-vm | 1        |
      | slow          | target-vm | 1        |
      | endless       | target-vm | 1        |
      | endless       | caller-vm | 1        |
      | pause         | target-vm | 1        |
      | short-of-time | target-vm | 1        |
      | pause         | caller-vm | 0        |
      | kill          | caller-vm | 0        |
      | short-of-time | caller-vm | 0        |

  Scenario Outline: a node that uses more memory than it may
    Given a soak with a node that <stops>
    When a node may use <memory> MB and its memory is watched
    Then it was <ended> and <started>, and the soak finds <problems> problems

    Examples:
      | stops         | memory | ended      | started     | problems |
      | does not stop | 1      | killed     | started     | 1        |
      | stops         | 1      | killed     | not started | 1        |
      | does not stop | 1000   | not killed | not started | 0        |

  Scenario Outline: a caller that leaves at its deadline beside a stop
    Given a soak in which <trouble> was done to <vm> <before> s before a request
    When a caller leaves at its deadline and a target <ran> it
    Then the soak finds <problems> problems

    Examples:
      | trouble | vm        | before | ran                        | problems |
      | term    | caller-vm | 1.0    | was at work at the end on  | 0        |
      | term    | caller-vm | 3.9    | was at work at the end on  | 0        |
      | term    | caller-vm | 4.1    | was at work at the end on  | 1        |
      | term    | target-vm | 1.0    | was at work at the end on  | 1        |
      | hup     | caller-vm | 1.0    | was at work at the end on  | 1        |
      | term    | caller-vm | 1.0    | had ended                  | 1        |
      | term    | caller-vm | 1.0    | has never got              | 1        |

  Scenario Outline: a caller that leaves while the soak may miss the answer
    Given a soak that was held up for 0.05 s, <offset> s after the request
    When a caller leaves the node of caller-vm at its deadline
    Then the soak finds <problems> problems

    Examples:
      | offset | problems |
      | 0.02   | 0        |
      | 2.96   | 0        |
      | 1.00   | 1        |

  Scenario Outline: a strict count takes no lateness of the soak off
    Given a soak that was held up for 0.05 s, <offset> s after the request
    When a caller leaves the node of caller-vm with <received> bytes of an answer
    Then the soak counts <count> requests without an answer strictly

    Examples:
      | offset | received | count |
      | 0.02   | 0        | 1     |
      | 2.96   | 0        | 1     |
      | 1.00   | 0        | 1     |
      | 1.00   | 90       | 0     |

  Scenario: a strict count leaves out nothing that was done to a node
    Given a soak in which pause was done to caller-vm beside requests
    When a caller leaves the node of caller-vm with 0 bytes of an answer
    Then the soak counts 1 requests without an answer strictly

  Scenario: a strict count of late closes takes no lateness of the soak off
    Given a soak that was held up for 0.4 s
    Then the soak counts a close after 0.5 s strictly as late

  Scenario Outline: closes are told whatever excuses them
    When requests end with <ends>
    Then <count> closes are told

    Examples:
      | ends                                 | count |
      | IncompleteReadError, BrokenPipeError | 2     |
      | no answer, not read in time          | 0     |
      | not connected: TimeoutError          | 0     |

  Scenario Outline: requests that are sent while a node is disturbed
    Given a soak in which <done> was done to <vm> beside requests
    Then <count> of the requests after 1 and 2 s are sent during start

    Examples:
      | done  | vm        | count |
      | start | caller-vm | 1     |
      | start | other-vm  | 0     |
      | term  | caller-vm | 0     |

  Scenario Outline: the time that replies of nodes leave
    When a node replies <status> with <left> s left
    Then <count> replies at a deadline are counted

    Examples:
      | status | left | count |
      | 504    | 0.03 | 1     |
      | 504    | 0.3  | 0     |
      | 503    | 0.03 | 0     |
      | 504    | -0.1 | 1     |

  Scenario Outline: a close that comes late without a run
    Given a soak in which <trouble> was done to <vm> beside requests
    When the node of caller-vm closes a connection late, without a run
    Then the soak finds <problems> problems

    Examples:
      | trouble       | vm        | problems |
      | term          | caller-vm | 1        |
      | config        | *         | 1        |
      | busy          | *         | 1        |
      | short-of-time | caller-vm | 0        |
      | pause         | caller-vm | 0        |

  Scenario Outline: requests that may run once
    Given a soak in which busy was done to * beside requests
    When a <method> that has run <runs> times is answered with <status>
    Then the soak finds <problems> problems

    Examples:
      | method | runs | status | problems |
      | DELETE | 2    | 502    | 1        |
      | DELETE | 1    | 503    | 1        |
      | POST   | 2    | 502    | 1        |
      | POST   | 1    | 503    | 1        |
      | GET    | 2    | 503    | 0        |

  Scenario Outline: closes of kept connections by a node in touch
    Given a soak in which <trouble> was done to <vm> beside requests
    When the node of caller-vm closes <count> <kind> connections after a run
    Then the soak counts <counted> closes by nodes in touch
    And a rule on them is <result>

    Examples:
      | trouble | vm        | count | kind | counted | result |
      | kill    | other-vm  | 4     | kept | 4       | broken |
      | kill    | other-vm  | 3     | kept | 3       | kept   |
      | pause   | target-vm | 4     | kept | 4       | broken |
      | busy    | *         | 4     | kept | 4       | broken |
      | short-of-time | caller-vm | 4 | kept | 4     | broken |
      | store   | *         | 4     | kept | 4       | broken |
      | kill    | other-vm  | 4     | new  | 0       | kept   |
      | pause   | caller-vm | 4     | kept | 0       | kept   |
      | crash   | target-vm | 4     | kept | 0       | kept   |

  Scenario: a close that the soak has seen late is no late close
    Given a soak that was held up for 0.4 s
    Then requests that ended after 0.5 s without an answer are not late
    And requests that ended after 0.7 s without an answer are late

  Scenario Outline: SIGHUP goes to a node that is left alone
    Given a soak of two VMs of which <held> are held
    When SIGHUP is sent to a node that is left alone
    Then <count> nodes have got it

    Examples:
      | held | count |
      | 0    | 1     |
      | 1    | 1     |
      | 2    | 0     |

  Scenario: a client learns whether a node has read its request
    When a client sends bytes that the other end does not read
    Then they are unread until it reads them

  Scenario: the answer that has come by the deadline is read by a late soak
    When a caller is held up past its deadline, beside an answer that has come
    Then it has the answer

  Scenario: a caller leaves at its deadline
    When a caller waits 0.3 s for an answer that does not come
    Then it has left within 0.2 s of its deadline

  Scenario Outline: clients that stay with a node that stops
    Given a caller of two VMs, of which one <state>, that stays at <share>
    When it chooses 1000 times, with open connections to <open>
    Then <low> to <high> choices are the one that <state>

    Examples:
      | state        | share | open | low | high |
      | stops        | 0.7   | both | 800 | 900  |
      | stops        | 0.7   | none | 400 | 600  |
      | stops        | 0     | both | 400 | 600  |
      | is not ready | 0.7   | both | 400 | 600  |
      | is not ready | 0.7   | none | 0   | 0    |
      | is not ready | 0     | both | 0   | 0    |

  Scenario Outline: clients that go to nodes that start
    Given a caller of two VMs, of which one <state>, that tries at 0.2
    When it chooses 1000 times, with open connections to none
    Then <low> to <high> choices are the one that <state>

    Examples:
      | state        | low | high |
      | is not ready | 60  | 140  |
      | starts       | 550 | 650  |

  Scenario: a few requests of deployments with open connections take long
    When a kind of work of 0.1 s with a tail of 10 is drawn 10000 times
    Then 60 to 140 times are longer than 0.8 s

  Scenario: clients of deployments with open connections
    Then all requests of clients there keep their connections

  Scenario Outline: services of the VMs of a deployment
    Then <count> VMs with longer deadlines have <drawings>, <wages>, <pitches>, <trucks> of the four services
    And each service of <count> VMs has two domains at least

    Examples:
      | count | drawings | wages | pitches | trucks |
      | 15    | 5        | 3     | 4       | 3      |
      | 12    | 4        | 3     | 3       | 2      |

  Scenario Outline: services of VMs with short deadlines and open connections
    Then each service of <count> VMs with short deadlines has <domains> domains

    Examples:
      | count | domains |
      | 8     | 2       |
      | 16    | 4       |

  Scenario Outline: a target is at work in the last sixth of a stop, or not
    Given a soak in which a node took 6 s after SIGTERM
    When a request of 1 s after it ends <how> after 5.6 s, its run after <run> s
    Then the soak finds <problems> problems

    Examples:
      | how                | run | problems |
      | without an answer  | 5.3 | 0        |
      | without an answer  | 0   | 0        |
      | without an answer  | 4.9 | 1        |
      | with a 504         | 5.3 | 0        |
      | with a 504         | 4.9 | 1        |

  # Guards against callers that rely on an idle limit which is not in force.
  Scenario: callers know the idle limit of configurations that overlap
    Given a soak whose idle limit is 1000 ms
    When configurations with a limit of 4000 ms, and without one, are sent
    And the first of them is applied
    Then callers rely on 1000 ms
    When the last of them is applied
    Then callers rely on 4000 ms

  Scenario Outline: a soak that was late counts as not run
    When a soak that was late by <late> s has found <problem>
    Then it ends with <code>

    Examples:
      | late | problem            | code |
      | 0.1  | nothing            | 0    |
      | 0.1  | no answer in time  | 1    |
      | 0.11 | nothing            | 2    |
      | 0.11 | no answer in time  | 2    |
      | 0.11 | closed late, not run | 2  |
      | 0.11 | own 502/504 after SIGTERM, target at work | 2 |
      | 0.11 | 4 closed after its run, node in touch and target sound | 2 |
      | 0.11 | ran twice          | 1    |
      | 0.11 | refused, but ran   | 1    |
      | 0.11 | answer of another request | 1 |
      | 0.11 | vik-1 ended with -9 | 1   |

  Scenario Outline: the report of a soak begins with how late it was
    Then the report of a soak that was late by <late> s begins with <words>

    Examples:
      | late | words                       |
      | 0.03 | late by 0.03 s              |
      | 0.34 | NOT RUN: late by 0.34 s     |

  Scenario Outline: a late soak is played again with fewer callers
    When soaks with 7 callers and fewer end with <codes>
    Then <callers> callers have been used

    Examples:
      | codes   | callers |
      | 0       | 7       |
      | 1       | 7       |
      | 2, 0    | 7, 3    |
      | 2, 1    | 7, 3    |
      | 2, 2, 2 | 7, 3, 1 |

  Scenario Outline: many nodes have fewer callers each
    Then <count> nodes have <callers> callers each with the mix <mix>

    Examples:
      | count | callers | mix     |
      | 6     | 7       | short   |
      | 8     | 7       | short   |
      | 16    | 3       | short   |
      | 100   | 1       | short   |
      | 16    | 10      | planned |

  Scenario Outline: what callers got from nodes soon after their start
    Given a soak that started the node of <vm> <offset> s before a request
    When the request ends with <end>
    Then the soak tells that callers got <outcome> there

    Examples:
      | vm        | offset | end                                  | outcome |
      | caller-vm | 1.9    | a signed 200                         | answer of a target |
      | caller-vm | 1.9    | a signed 504                         | answer of a target |
      | caller-vm | 0.1    | a 503                                | own 503            |
      | caller-vm | 0.1    | a 504                                | own 502/504        |
      | caller-vm | 0.1    | no answer                            | nothing            |
      | caller-vm | 0.1    | not connected: ConnectionRefusedError | connection refused |
      | caller-vm | 2.1    | a 503                                | no outcome         |
      | caller-vm | -0.1   | a 503                                | no outcome         |
      | other-vm  | 0.1    | a 503                                | no outcome         |

  Scenario Outline: all nodes are stopped in turn
    Given a soak of <count> nodes that take <seconds> s for a stop and start
    When all are stopped in turn with a gap of <gap> s
    Then each has got SIGTERM once, and <most> at a time

    Examples:
      | count | seconds | gap  | most |
      | 12    | 0.3     | 0.01 | 4    |
      | 6     | 0.3     | 0.01 | 4    |
      | 3     | 0.3     | 0.01 | 2    |
      | 6     | 0.01    | 0.1  | 1    |

  Scenario: the nodes of a service of two VMs are stopped in turn as well
    Given a soak of 14 nodes that take 0.1 s for a stop and start
    And two of them have a service of their own
    When all are stopped in turn with a gap of 0.01 s
    Then each has got SIGTERM once, and 4 at a time

  Scenario Outline: services without a VM
    Then <count> VMs with the mix <mix> leave <services> without a VM

    Examples:
      | count | mix            | services |
      | 12    | shortage-short | ledger   |
      | 16    | shortage-short | none     |
      | 12    | turn-short     | none     |
      | 12    | longer         | none     |
      | 6     | planned        | none     |

  Scenario: a soak with too few VMs for its services ends at once
    When a soak of 12 nodes with the mix shortage-short is started
    Then it says that ledger has no VM
