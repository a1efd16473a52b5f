Feature: Entries from another writer, and other input that is not what it should be

  Scenario Outline: An entry that is not wholly what the platform says names no server
    Then entries: one <changed> is unusable

    Examples:
      | changed                       |
      | without its service           |
      | without its address           |
      | without its state             |
      | without its slots             |
      | without its zone              |
      | with state "sleeping"         |
      | with state 7                  |
      | with service 7                |
      | with slots -5                 |
      | with slots true               |
      | with slots 1e400              |
      | with zone null                |
      | with address 8080             |
      | with address "here"           |
      | with address "10.0.0.1:0"     |
      | with address "10.0.0.1:65536" |
      | with address "10.0.0.1:+80"   |
      | with address "10.0.0.1:8_0"   |
      | with address "10.0.0.1:80 "   |
      | with address "10.0.0.1: 80"   |
      | with address "10.0.0.1:"      |
      | with address "10.0.0.1:٨٠"    |
      | with stage "sleep"            |
      | with stage ["decode"]         |
      | with born "1000"              |
      | with born 1.5                 |
      | with cold_remaining_ms "x"    |
      | with cold_remaining_ms NaN    |
      | that is a list                |
      | that is a text                |
      | that is null                  |

  Scenario: An entry without a birth is one of a server that never starts again
    Then entries: one without its born is usable

  # Guards against an entry whose numbers make all beacons of an instance unreadable.
  Scenario Outline: Peers can read what an entry with <field> <value> leads to
    Then entries: one with <field> <value> is unusable or can be told to peers

    Examples:
      | field             | value               |
      | born              | 9007199254740991    |
      | born              | 9007199254740992    |
      | born              | 9223372036854775808 |
      | slots             | 1000000             |
      | sequence          | 9007199254740992    |
      | cold_remaining_ms | 3600000             |

  # Guards against requests that fail since no header can name their server.
  Scenario Outline: A server named "<name>" is not used
    Then entries: the entry named "<name>" is unusable

    Examples:
      | name |
      | _e1  |
      | e1_  |

  # Guards against a version that makes all beacons of an instance unreadable.
  Scenario: A configuration with a version that no peer reads is not understood
    Then entries: a configuration of version 9007199254740991 is understood
    And entries: a configuration of version 9007199254740992 is not understood

  # A faulty writer replaces the entry of a server that is in use. Its old form must not
  # stay in force: nobody knows any more what it was worth.
  Scenario: An entry that can't be read any more names no server
    Given watch: a store with servers "a1" and "a2"
    And watch: an instance that follows it
    When entries: the entry of "a1" is replaced by a list
    Then watch: the instance uses "a2" only
    When entries: the entry of "a1" is written as it was
    Then watch: the instance uses "a1" and "a2"

  # The same entry changes ten times a second. One line says so; the log stays readable.
  Scenario: An entry that stays unusable is logged once
    Given watch: a store with servers "a1" and "a2"
    And watch: an instance that follows it
    When entries: the entry of "a1" is replaced by 20 lists in turn
    Then entries: one line tells of it
    And watch: the instance uses "a2" only

  # One object holds bytes that are no UTF-8. The whole page must not be lost with it.
  Scenario: Bytes that can't be read hide no other entry
    Then entries: a page with bytes that are no text gives the other server

  Scenario Outline: Fuzzed <what> raise nothing and end nothing
    Then entries: 300 fuzzed <what> give a value or a reason

    Examples:
      | what           |
      | entries        |
      | configurations |
      | reports        |
      | read prompts   |
      | beacons        |
      | snapshots      |

  # Guards against instances that can't read each other's lists while they are replaced.
  Scenario: A list of servers is read with and without their software versions
    Given entries: a server of software version "v2"
    Then entries: peers that ask for versions read "v2" in its list
    And entries: peers of an earlier release get rows of 10 fields, without a version

  # Guards against instances that stay behind since one row of a peer's list is odd.
  Scenario: A row that can't be read hides no other server of a peer's list
    Given entries: a server of software version "v2"
    Then entries: its list with any field of another row made odd has it
