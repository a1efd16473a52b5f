# Dozens of instances fetch a configuration at the same time, over links of 10 Mbit/s.
Feature: Large snapshots between instances

  # Guards against a configuration of 1,400 routes that fills the links of the fleet.
  Scenario: A large configuration is compressed, and arrives as it is
    Given snapshots: an instance with a configuration of 1400 routes
    When snapshots: a peer fetches the configuration
    Then snapshots: the peer has that configuration
    And snapshots: less than a fifth of it was transferred

  # Guards against a release that peers of the one before can't read during an upgrade.
  Scenario: A peer that accepts no compression gets the configuration as it is
    Given snapshots: an instance with a configuration of 1400 routes
    When snapshots: a peer that accepts no compression fetches the configuration
    Then snapshots: the peer has that configuration

  # Guards against a newer configuration that is served under the bytes of an older one.
  Scenario: A peer gets the configuration that is in force
    Given snapshots: an instance with a configuration of 1400 routes
    When snapshots: a peer fetches the configuration
    And snapshots: the instance has a later one of 1500 routes
    And snapshots: a peer fetches the configuration
    Then snapshots: the peer has that configuration

  # Guards against a damaged body that counts as a configuration, and against one that
  # takes all memory.
  Scenario Outline: A compressed body that is <damage> is no snapshot
    When snapshots: a compressed body of 20000 bytes is <damage>
    Then snapshots: it can't be decompressed within 10000 bytes

    Examples:
      | damage             |
      | cut in the middle  |
      | changed            |
      | larger than may be |

  # Guards against a listing that a slow link can't carry within the limit of one call,
  # so that it is begun anew without an end.
  Scenario: A listing of the store that arrives slowly is read to its end
    When snapshots: the store sends a listing in 8 parts, 0.2 seconds apart
    Then snapshots: a reader that allows 1 second of silence has it

  # Guards against a reader that waits for a store that has fallen silent.
  Scenario: A listing of the store that stops in its midst ends the call
    When snapshots: the store sends a listing in 2 parts, 60 seconds apart
    Then snapshots: a reader that allows 1 second of silence goes without it
