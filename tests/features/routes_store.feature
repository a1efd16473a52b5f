Feature: What instances keep in the store and learn from it

  Scenario: One instance holds the lease and the next one gets a higher fence
    Given lease: instances "one" and "two" on one store
    When lease: "one" asks for the lease
    Then lease: "one" holds it with fence 1
    When lease: "two" asks for the lease again and again for 5 seconds
    Then lease: "two" does not hold it
    When lease: "two" asks for the lease again and again for 4 seconds
    Then lease: "two" holds it with fence 2

  Scenario: A holder that goes on keeps its fence
    Given lease: instances "one" and "two" on one store
    When lease: "one" asks for the lease again and again for 20 seconds
    Then lease: "one" holds it with fence 1
    When lease: "two" asks for the lease
    Then lease: "two" does not hold it

  # The holder checks its lease, is frozen for six seconds and wakes. Another instance
  # has taken over meanwhile. The frozen one must not order, though nobody told it.
  Scenario: A holder that was frozen has no authority when it wakes
    Given lease: instances "one" and "two" on one store
    When lease: "one" asks for the lease
    And lease: "one" is frozen for 6 seconds
    Then lease: "one" does not hold it

  # The write took effect and its answer was lost. To the holder the lease is not held;
  # the next instance finds it standing and waits for it like for any other.
  Scenario: A lease whose answer was lost is not held
    Given lease: instances "one" and "two" on one store
    And lease: the answer to the next write is lost
    When lease: "one" asks for the lease
    Then lease: "one" does not hold it
    When lease: "two" asks for the lease
    Then lease: "two" does not hold it

  # Guards against a fence that rises each time two duties of one holder renew at once.
  Scenario: Two tasks of a holder that renew at once keep its fence
    Given lease: instances "one" and "two" on one store
    When lease: "one" asks for the lease
    And lease: two tasks of "one" ask at once when it has run out
    Then lease: "one" holds it with fence 1

  # Two free instances ask at one moment. The conditional write decides.
  Scenario: Of two instances that ask at once one gets the lease
    Given lease: instances "one" and "two" on one store
    When lease: both ask at once
    Then lease: exactly one holds it

  # The store was away for five seconds and the entries of its servers expired. Taken at
  # its word, every instance would have nowhere to send to for two seconds.
  Scenario: Servers whose entries expired while the store was away are used until they return
    Given watch: a store with servers "a1" and "a2"
    And watch: an instance that follows it
    When watch: the store is away for 5 seconds and comes back without "a1"
    Then watch: the instance uses "a1" and "a2"
    When watch: "a1" returns within 1 second
    And watch: 4 seconds pass
    Then watch: the instance uses "a1" and "a2"

  # Guards against a log that does not tell a listed server from one that is only kept.
  Scenario: The log tells for how long a server is used whose entry is missing
    Given watch: a store with servers "a1" and "a2"
    And watch: an instance that follows it
    When watch: the store is away for 5 seconds and comes back without "a1"
    Then watch: a request at "a1" is logged as sent to a kept server
    And watch: a request at "a2" is logged as sent to a listed server

  # The configuration is listed first when the store is back. That says nothing of how
  # long the servers were not heard of.
  Scenario: An answer about the configuration does not end the wait for expired entries
    Given watch: a store with servers "a1" and "a2"
    And watch: an instance that follows it and the configuration
    When watch: the store is away for 5 seconds and comes back without "a1"
    Then watch: the instance uses "a1" and "a2"

  Scenario: A server that does not come back is dropped
    Given watch: a store with servers "a1" and "a2"
    And watch: an instance that follows it
    When watch: the store is away for 5 seconds and comes back without "a1"
    And watch: 4 seconds pass
    Then watch: the instance uses "a2" only

  Scenario: A server that is removed while the store answers is dropped at once
    Given watch: a store with servers "a1" and "a2"
    And watch: an instance that follows it
    When watch: "a1" is removed
    Then watch: the instance uses "a2" only

  # A fleet's servers register one by one. Asked for one at a time, each of them costs a
  # call of every instance that follows the store, and calls are what the store counts.
  Scenario: Servers that register one after another come with few answers
    Given watch: a store with servers "a1" and "a2"
    And watch: an instance that follows it
    When watch: 80 servers register within 2 seconds
    Then watch: the instance has asked at most 8 times and uses all 82

  # A peer's snapshot and the store's own answers arrive in any order. A route that was
  # moved must not move back.
  Scenario: An older configuration never replaces a newer one
    Given watch: a store with servers "a1" and "a2"
    And watch: an instance that follows it
    When watch: version 5 is heard of and then version 4
    Then watch: version 5 is in force

  # A page of entries that one bad entry spoils would leave the instance without servers.
  Scenario: An entry that is not understood does not hide the others
    Given watch: a store with servers "a1" and "a2"
    And watch: an entry that is no server
    And watch: an instance that follows it
    Then watch: the instance uses "a1" and "a2"

  # The last engine of a service leaves. Kept among the engines to choose from, it would
  # get every request of that service although it is gone.
  Scenario: The last engine of a service is forgotten with its entry
    Given watch: a store with servers "a1" and "a2"
    And watch: an engine "e1" is the only one of its service
    And watch: an instance that follows it
    When watch: "e1" is removed
    Then watch: no engine is left to choose from

  # Guards against a watch that waits for an answer on a connection that fell silent.
  Scenario: A change is known in time although the watch of the servers fell silent
    Given watch: a store with servers "a1" and "a2"
    And watch: an instance that follows it
    When watch: the open connections to the store fall silent
    And watch: "a1" reports that it drains
    And watch: 2 seconds pass
    Then watch: the instance uses "a2" only

  # Guards against a configuration that is late since its watch fell silent.
  Scenario: A version is in force in time although the watch of it fell silent
    Given watch: a store with servers "a1" and "a2"
    And watch: an instance that follows it and the configuration
    When watch: the open connections to the store fall silent
    And watch: version 5 is written
    And watch: 2 seconds pass
    Then watch: version 5 is in force

  # Two fifths of the time remain to list anew and to tell peers; two kinds are watched.
  Scenario Outline: A silent watch is noticed early at a bounded number of calls
    Then watch: for changes in <within> s, silence is noticed after <noticed> s
    And watch: <readers> instances make at most <calls> calls a second for it

    Examples:
      | within | noticed | readers | calls |
      | 2.0    | 1.2     | 7       | 18    |
      | 3.0    | 1.8     | 12      | 20    |
      | 3.0    | 1.8     | 27      | 45    |
      | 11.0   | 6.6     | 27      | 13    |

  # Guards against a silent watch that is believed in since a listing took long on a link.
  Scenario: A listing that took 6 s lets no watch be silent for longer than a change may be
    Then watch: after it a watch may be silent for 2 s, if a change is to be in force in 2 s

  # Guards against a slow store that gets a listing in place of each watch.
  Scenario: A store that has become slow does not count as silent again and again
    Given watch: a store with servers "a1" and "a2"
    And watch: an instance that follows it
    When watch: the store takes 0.6 seconds to answer
    And watch: 20 seconds pass
    Then watch: the servers have been listed at most 3 times

  # A server is behind a partition when it is sent a request. The request is given up and
  # served elsewhere; the partition heals. Closed in order, the connection would deliver
  # the request then, to a server that has left meanwhile.
  Scenario: A request that was given up is not delivered by a connection that was closed
    Then channel: a connection that is closed under a request is reset

  # A server ends a kept connection while a request on it is held up by a partition. The
  # request is served elsewhere. Ended in order by this side too, the connection would go
  # on delivering it: it reached a server 6 s later, which had left 3 s before.
  Scenario: A request on a connection that its server ends is not delivered later
    Then channel: a connection that the server ends under a request is reset
