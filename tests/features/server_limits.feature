Feature: Servers that name a limit get no more than that

  # Guards against a belief about a server that no log line and no metric shows.
  Scenario: What is believed of a server's limit is logged and counted
    Given routes: a store with a configuration
    And routes: an engine "p1" that reads
    And routes: an engine "d1" that writes
    And routes: an instance
    And limits: the log is recorded
    When limits: "d1" names a limit of "2.5"
    And routes: a client asks for "digest" as "r1"
    Then limits: 1 limited server is counted
    And limits: the log tells of "d1" "limit" "2.5" in an answer to a check

  # Guards against a limited server that gets the load of an unlimited one, from one
  # instance or from several that each take the whole limit.
  Scenario Outline: Servers that name a limit get no more than it from all instances
    Given limits: <count> instances before 2 readers, 3 writers and 3 plain servers
    When limits: a reader, a writer and a plain server name a limit of 2 a second
    And limits: clients ask for 40 answers a second for 8 seconds
    Then limits: none of these gets over 17 requests in 4 s
    And limits: at least 95 in 100 are served

    Examples:
      | count |
      | 1     |
      | 3     |

  # Guards against instances that learn of a limit, or of its end, only by sending to the
  # server themselves: most are not among its senders.
  Scenario: Peers are told of a limit and of its end
    Given limits: 2 instances before 1 readers, 1 writers and 1 plain servers
    When limits: "a1" names a limit of "4"
    And limits: a client asks "i1" for "notify"
    Then limits: "i2" knows that "a1" accepts 4.0 a second
    When limits: "a1" names no limit
    And limits: clients ask "i1" for "notify" until it knows
    Then limits: "i2" knows that "a1" has no limit

  # Guards against a refusal long before the deadline: each time that another request took
  # the permit first counted as an attempt, though no server got anything.
  Scenario Outline: A request that loses its permit to others keeps all its attempts
    Given limits: 1 instances before 1 readers, 2 writers and 2 plain servers
    When limits: a client asks for "<route>" and others take its permit 7 times
    Then limits: it was served, and no server got it in vain

    Examples:
      | route  |
      | digest |
      | notify |

  # Guards against "no server" for a request that finds no permit at one look and one at
  # the next, which was to tell whether to wait.
  Scenario: A permit that comes just after it was missed is used
    Given limits: 1 instances before 1 readers, 1 writers and 1 plain servers
    When limits: a client asks for "notify" and a permit comes just after its first look
    Then limits: it was served, and no server got it in vain

  # Guards against an innocent request that is taken for the cause of a crash, because the
  # server seemed to run it while it still waited.
  Scenario: The wait for a permit does not count as time at a server that crashes
    Given limits: 1 instances before 1 readers, 1 writers and 1 plain servers
    And limits: "a1" has named a limit of "1"
    And limits: "a1" crashes when it is asked
    When limits: a client asks for "notify" and waits for a permit
    Then limits: the crash is told from after the wait on

  # Guards against less urgent requests that get the permits for which more urgent ones
  # wait, only because they look at the right moment.
  Scenario: The most urgent requests get the permits of a limited server first
    Given limits: 1 instances before 1 readers, 1 writers and 1 plain servers
    And limits: "notify" is more urgent than "print"
    And limits: "a1" has named a limit of "4"
    When limits: clients ask for 12 of each a second for 6 seconds
    Then limits: at most 1 permit of "a1" went past a more urgent one

  # Guards against "no server" for a request that may not have the permits there are,
  # because more urgent ones wait for them.
  Scenario: A request that waits in vain behind more urgent ones is told when to return
    Given limits: 1 instances before 1 readers, 1 writers and 1 plain servers
    When limits: a client asks for "notify" and all permits of 9 seconds go to others
    Then limits: it was refused as overloaded for at least 9 seconds

  # Guards against a retry budget that is spent on dispatches that were never sent.
  Scenario Outline: A retry that loses its permit to others is charged once
    Given limits: 1 instances before 1 readers, 2 writers and 2 plain servers
    And limits: the first writer or plain server that is asked declines once
    When limits: a client asks for "<route>" and others take its permit 7 times
    Then limits: it was served, and 1 repeat was charged

    Examples:
      | route  |
      | digest |
      | notify |

  # Guards against a limit that changes with its source, because beacons tell it rounded:
  # each change would be logged, and the rate be divided anew.
  Scenario: A limit of many digits is the same whoever tells it
    Given limits: two instances that tell each other what they know
    When limits: both hear of limits of "2.33333", "1.0019" and "0.0004" by turns
    Then limits: both believed the same and logged each limit once

  # Guards against evidence that looks newer whenever an instance passes it on: a limit
  # that no server names any more would be told for ever.
  Scenario: A limit that no answer confirms is not told for ever
    Given limits: two instances that tell each other what they know
    When limits: one of them hears of a limit and no answer follows for 30 seconds
    Then limits: neither tells of it any more

  # Guards against a sum over all instances that exceeds the limit: by permits saved in a
  # quiet time, by instances that have just started, and by ones that hear of no others.
  Scenario Outline: All instances together keep a limit without a shared state
    Then limits: <count> instances keep limits of 0, 0.5, 2.3, 3 and 8 through <what>

    Examples:
      | count | what            |
      | 8     | a steady load   |
      | 8     | a quiet time    |
      | 8     | starts          |
      | 84    | a steady load   |
      | 84    | a quiet time    |
      | 84    | starts          |
      | 195   | a steady load   |
      | 195   | a quiet time    |
      | 195   | starts          |

  # Guards against a limited server that is treated like one that failed.
  Scenario Outline: A limited server gets at least half of what it accepts
    Then limits: <count> instances send at least half of limits of 2.3, 3 and 8

    Examples:
      | count |
      | 1     |
      | 8     |
      | 84    |
      | 195   |

  # Guards against values that are no decimal number: none may raise or set a limit.
  Scenario Outline: A limit that is not a decimal number sets none
    Then limits: the header fields "<fields>" name <limit>

    Examples:
      | fields                           | limit      |
      | Server-Limit: 2.5                | 2.5        |
      | server-limit: 3                  | 3.0        |
      | SERVER-LIMIT: 0                  | 0.0        |
      | Server-Limit: 3, Server-Limit: 2 | 2.0        |
      | x-other: 3                       | none       |
      | Server-Limit:                    | unreadable |
      | Server-Limit: -1                 | unreadable |
      | Server-Limit: nan                | unreadable |
      | Server-Limit: inf                | unreadable |
      | Server-Limit: 1e3                | unreadable |
      | Server-Limit: 3;q=1              | unreadable |
      | Server-Limit: 400 digits         | unreadable |
      | Server-Limit: ٣                  | unreadable |
      | Server-Limit: 3, Server-Limit: x | unreadable |

  # Guards against answers that overtake each other: an older one must not lift a limit,
  # nor bring one back.
  Scenario Outline: Of answers that cross the newer one counts
    Given limits: a server that was sent "<first>" at 0 s, answered with <one> at <t1> s
    When limits: it was sent "<second>" at <sent> s, answered with <two> at <t2> s
    Then limits: it is under <limit>

    Examples:
      | first | one  | t1  | second | sent | two  | t2  | limit |
      | a     | 3    | 1.0 | b      | 0.5  | none | 1.1 | 3     |
      | a     | 3    | 1.0 | b      | 1.0  | none | 1.1 | none  |
      | a     | 3    | 1.0 | b      | 0.5  | 2    | 1.1 | 2     |
      | a     | none | 1.0 | b      | 0.5  | 2    | 1.1 | 2     |

  # Guards against an answer that names a limit and arrives after its end.
  Scenario: An answer that was under way does not bring a limit back
    Given limits: a server that was sent "a" at 0 s, answered with 3 at 1.0 s
    And limits: it was sent "b" at 1.1 s, answered with none at 1.2 s
    When limits: it was sent "c" at 0.9 s, answered with 3 at 1.3 s
    Then limits: it is under none
    When limits: it was sent "d" at 1.4 s, answered with 3 at 1.5 s
    Then limits: it is under 3

  # Guards against a limit that a restarted server never named.
  Scenario: A new incarnation begins without a limit
    Given limits: a server that was sent "a" at 0 s, answered with 3 at 1.0 s
    When limits: it starts again
    Then limits: it is under none
