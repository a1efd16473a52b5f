# A check-in that a server wrote before it left reaches the store after its leaving. The
# newest revision of the store then has older content than the one before.
Feature: Entries of servers that are older than what is known

  # Guards against a leaving that is undone by a check-in which was held up on its way.
  Scenario Outline: A server that drains is not used by an older check-in
    Given outage: 4 servers and 2 instances
    When outage: "s1" reports that it drains
    And outage: 1 seconds pass
    And outage: <check_in> of "s1" is written
    And outage: 1 seconds pass
    Then outage: no instance uses "s1"

    Examples:
      | check_in                       |
      | its first check-in             |
      | its check-in before the report |
      | a later check-in that is ready |

  # Guards against an older check-in that is the first thing an instance hears of a server.
  Scenario: A server that drains is not used by an instance that a peer has told
    Given outage: 4 servers and 2 instances
    When outage: "i0" is cut off from the store
    And outage: 2 seconds pass
    And outage: "s1" reports that it drains
    And outage: 1 seconds pass
    And outage: its first check-in of "s1" is written
    And outage: "i0" reaches the store again
    And outage: 2 seconds pass
    Then outage: no instance uses "s1"

  # Guards against an instance that has only the older check-in to go by.
  Scenario: An instance that starts later learns from its peers which servers leave
    Given outage: 4 servers and 2 instances
    When outage: "s1" reports that it drains
    And outage: 1 seconds pass
    And outage: its check-in before the report of "s1" is written
    And outage: 1 seconds pass
    And outage: "i2" starts
    Then outage: no instance uses "s1"

  # Guards against a leaving that each instance learns of by a request of its own.
  Scenario: What a server says in an answer to one instance is known to all
    Given outage: 4 servers and 3 instances
    When outage: "s1" says in an answer to "i0" that it leaves
    And outage: 1 seconds pass
    Then outage: no instance uses "s1"
    When outage: "s1" starts again with check-ins from 1 on
    And outage: 1 seconds pass
    Then outage: all instances use all servers

  # Guards against a removal that is undone by a check-in which was held up on its way.
  Scenario Outline: A server whose entry was removed is not used by an older check-in
    Given outage: 4 servers and 2 instances
    When outage: "s1" leaves
    And outage: "s1" says that it is not ready when it is asked
    And outage: 1 seconds pass
    And outage: <check_in> of "s1" is written
    And outage: 1 seconds pass
    Then outage: no instance uses "s1"

    Examples:
      | check_in                       |
      | its first check-in             |
      | a later check-in that is ready |

  # Guards against an instance that has missed both the leaving and that it was undone.
  Scenario Outline: A server that leaves unseen and is listed again as before is asked
    Given outage: 4 servers and 1 instances
    When outage: "i0" is cut off from the store
    And outage: 2 seconds pass
    And outage: "s1" <leaves>
    And outage: "s1" says that it is not ready when it is asked
    And outage: a later check-in that is ready of "s1" is written
    And outage: "i0" reaches the store again
    And outage: 2 seconds pass
    Then outage: no instance uses "s1"

    Examples:
      | leaves                 |
      | leaves                 |
      | reports that it drains |

  # Guards against questions to a whole fleet whose entries have expired.
  Scenario: Servers whose entries have all expired and are back are not asked
    Given outage: 4 servers and 1 instances
    When outage: "i0" is cut off from the store
    And outage: 2 seconds pass
    And outage: all entries are removed and written again, the last after 1.2 seconds
    And outage: no server answers when it is asked
    And outage: "i0" reaches the store again
    And outage: 2 seconds pass
    Then outage: all instances use all servers
    And outage: no server was asked

  # Guards against an instance that has not seen the removal.
  Scenario: An instance that starts later asks a server that its peers have not confirmed
    Given outage: 4 servers and 2 instances
    When outage: "s1" leaves
    And outage: "s1" says that it is not ready when it is asked
    And outage: 1 seconds pass
    And outage: a later check-in that is ready of "s1" is written
    And outage: 1 seconds pass
    And outage: "i2" starts
    Then outage: no instance uses "s1"
    When outage: "s1" says that it is ready when it is asked
    And outage: 2 seconds pass
    Then outage: all instances use all servers

  # Guards against servers that stay unused since their entries expired.
  Scenario: A server whose entry had expired is used once it says that it is ready
    Given outage: 4 servers and 2 instances
    When outage: "s1" leaves
    And outage: "s1" does not answer when it is asked
    And outage: 6 seconds pass
    And outage: a later check-in that is ready of "s1" is written
    And outage: 0.5 seconds pass
    Then outage: no instance uses "s1"
    When outage: "s1" says that it is ready when it is asked
    And outage: 2 seconds pass
    Then outage: all instances use all servers

  # Guards against a fleet without servers after the store has dropped all entries.
  Scenario: Servers are used unconfirmed while no other one of their service is listed
    Given outage: 4 servers and 2 instances
    When outage: no server answers when it is asked
    And outage: all entries are removed and written again, the last after 1.2 seconds
    Then outage: each instance uses a server
    When outage: all servers say that they are ready when they are asked
    And outage: 2 seconds pass
    Then outage: all instances use all servers

  # Guards against a server that answers that it is not ready and is used all the same.
  Scenario: A server that says that it is not ready is not used even if it is the only one
    Given outage: 1 servers and 2 instances
    When outage: "s0" leaves
    And outage: 1 seconds pass
    And outage: "s0" says that it is not ready when it is asked
    And outage: a later check-in that is ready of "s0" is written
    And outage: 2 seconds pass
    Then outage: no instance uses "s0"

  # Guards against a stage that is undone by a check-in which was held up on its way.
  Scenario: An older check-in changes nothing else of a server either
    Given outage: 4 servers and 2 instances
    When outage: "s1" moves to another address
    And outage: 1 seconds pass
    And outage: its first check-in of "s1" is written
    And outage: 1 seconds pass
    Then outage: all instances have the new address of "s1"

  # Guards against a restarted server that counts as the one that has left.
  Scenario: A server that has started again is used, and its former check-ins are not
    Given outage: 4 servers and 2 instances
    When outage: "s1" reports that it drains
    And outage: 1 seconds pass
    And outage: "s1" starts again with check-ins from 1 on
    And outage: 1 seconds pass
    Then outage: all instances use all servers
    When outage: its check-in before the report of "s1" is written
    And outage: 1 seconds pass
    Then outage: all instances have the start time of "s1"

  # Guards against an answer that was given before the server left.
  Scenario: A server that leaves again while it is asked is not confirmed by its answer
    Given outage: an instance that has seen 1 servers leave
    When outage: it is listed again, and leaves while its answer is on the way
    Then outage: it remembers at least 1 of them and at most 1

  # Guards against a memory of servers that have left which grows without a bound.
  Scenario: As many departures are remembered as a large fleet has servers
    Given outage: an instance that has seen 20000 servers leave
    Then outage: it remembers at least 3800 of them and at most 4096

  # Guards against gateways that send to a leaving server by its older entry.
  Scenario Outline: Gateways send nothing to servers that older entries list again
    Given silence: 3 gateways in two failure domains and clients that go on asking
    When silence: an engine and a plain server <leave>
    Then silence: all gateways know it after some seconds
    When silence: the entries are written as they were before
    Then silence: all gateways know it after some seconds
    And silence: the draining servers get no further request

    Examples:
      | leave                                |
      | report to the store that they drain  |
      | leave, and their entries are removed |

  # Guards against an instance that takes a server which left before it started for new:
  # the server's first check-in, which got no answer then, is carried out late.
  Scenario Outline: An instance that started since asks a server whose entry is written late
    Given outage: 4 servers and <instances> instances
    When outage: "s1" leaves
    And outage: "s1" says that it is not ready when it is asked
    And outage: 1 seconds pass
    And outage: all instances start again
    And outage: its first check-in of "s1" is written
    And outage: 1 seconds pass
    Then outage: no instance uses "s1"

    Examples:
      | instances |
      | 1         |
      | 7         |

  # Guards against the same where the entry is written before the instance starts.
  Scenario Outline: Instances ask the servers that they find listed when they start
    Given outage: 4 servers and <instances> instances
    When outage: "s1" leaves
    And outage: "s1" says that it is not ready when it is asked
    And outage: 1 seconds pass
    And outage: its first check-in of "s1" is written
    And outage: all instances start again
    And outage: 2 seconds pass
    Then outage: no instance uses "s1"
    And outage: "s0" was asked once

    Examples:
      | instances |
      | 1         |
      | 7         |

  # Guards against a health check that is wrong, or too busy, which would take all servers
  # of a service away from an instance that has just started.
  Scenario Outline: An instance that starts uses what is listed if no server <says> ready
    Given outage: 4 servers and 1 instances
    When outage: all servers <answer>
    And outage: all instances start again
    And outage: 1 seconds pass
    Then outage: all instances use all servers

    Examples:
      | says        | answer                                  |
      | says it is  | say that they are not ready             |
      | can say     | do not answer                           |

  # Guards against a server that does not answer, which may have left.
  Scenario: A new server that does not answer is not used while others are
    Given outage: 4 servers and 2 instances
    When outage: "s9" does not answer when it is asked
    And outage: its first check-in of "s9" is written
    And outage: 2 seconds pass
    Then outage: no instance uses "s9"
    When outage: "s9" says that it is ready when it is asked
    And outage: 1 seconds pass
    Then outage: each instance uses "s9"

  # Guards against new servers that idle: they are needed, and have to be in use as soon
  # as they were before they were asked.
  Scenario Outline: A server that is new is used at once
    Given outage: 4 servers and <instances> instances
    When outage: its first check-in of "s9" is written
    And outage: 0.4 seconds pass
    Then outage: each instance uses "s9"

    Examples:
      | instances |
      | 1         |
      | 7         |

  # Guards against a question to each server of a fleet that comes back as a whole.
  Scenario: Servers are not asked if more are new than known
    Given outage: 4 servers and 2 instances
    When outage: 6 new servers appear at once
    And outage: 0.4 seconds pass
    Then outage: no server was asked
    And outage: all instances use 10 servers
