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
