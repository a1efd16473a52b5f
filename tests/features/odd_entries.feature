# Another writer puts an entry among the servers' that no reader can represent: nested a
# hundred thousand levels deep, or with a number of as many digits.
Feature: An unreadable object in the store costs only itself

  # Guards against instances that stop following the list of servers, or never get one.
  Scenario Outline: An entry <oddity> hides no server
    Given routes: a store with a configuration
    And odd: instances "one" and "two"
    When odd: another writer adds an entry <oddity> to the servers
    And odd: a plain server "a1" starts
    Then odd: "one" and "two" use "a1"
    And odd: each of them logs once that it passes over the entry
    When odd: an instance "three" starts
    Then odd: "three" uses "a1"
    And odd: "three" uses what is written after 3 s of this

    Examples:
      | oddity                           |
      | nested 100000 levels deep        |
      | with a number of 100000 digits   |
      | with the port 99999              |
      | with an unpaired surrogate       |

  # Guards against any content of one object that hides others, from whatever reads them.
  Scenario: Generated objects hide nothing from lists, watches and reads
    Then odd: beside 150 generated objects a sound one is listed, watched and read

  # Guards against a fleet without a leader for as long as another writer's lease stays.
  Scenario Outline: A lease that is <oddity> is taken over
    Given lease: instances "one" and "two" on one store
    When lease: "one" asks for the lease
    And odd: another writer makes the lease <oddity>
    And lease: "two" asks for the lease again and again for 5 seconds
    Then lease: "two" does not hold it
    When lease: "two" asks for the lease again and again for 4 seconds
    Then odd: "two" holds the lease with a higher fence, which peers can read
    And lease: "one" does not hold it

    Examples:
      | oddity           |
      | unreadable       |
      | a list           |
      | without a holder |
      | with a huge fence |

  # Guards against a service whose stored number ends the orders for all services.
  Scenario: A stored number of servers that is no number ends nothing
    Given capacity: a keeper before 8 dear servers of a service
    When capacity: it holds the duties until the cheap ones stand
    And odd: another writer makes the stored number of servers a list
    And capacity: another keeper holds them for 20 seconds
    Then capacity: the same numbers are ordered

  # Guards against a record that ends the reports of usage for good.
  Scenario Outline: A usage record that is <oddity> ends no reports
    Then odd: usage is reported on after its record is <oddity>

    Examples:
      | oddity                   |
      | unreadable               |
      | without readable windows |

  # Guards against an instance that forgets its configuration for one it can't read, and
  # against one that is ready without any.
  Scenario: An unreadable configuration keeps the last one
    Given routes: a store with a configuration
    And odd: instances "one" and "two"
    And odd: a plain server "a1" starts
    And odd: "one" and "two" use "a1"
    When odd: the configuration becomes unreadable
    Then odd: "one" still serves with version 1
    When odd: an instance "three" starts
    Then odd: "three" still serves with version 1

  Scenario: An instance that knows an unreadable configuration only waits for another one
    Given routes: a store with a configuration
    And odd: the configuration becomes unreadable
    When odd: an instance "one" starts without a configuration
    Then odd: "one" is not ready and refuses requests as not run
    When odd: a configuration of version 2 is written
    Then odd: "one" becomes ready with version 2

  # Guards against a peer's view that ends the link it came over.
  Scenario: A nested view from a peer is malformed
    Then odd: a peer's view nested 100000 levels deep is malformed
