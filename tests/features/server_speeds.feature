Feature: Engines of different speed get work by their speed

  # A third of the engines is 2.4 times as fast. Counted alike, slow engines hold as many
  # streams as fast ones and events come late there. Before 45 engines each domain has
  # engines of one speed, so that none sees a difference by itself. Of four engines a slow one alone
  # reads, so most of the late first events remain there.
  Scenario Outline: <instances> instances before <engines> engines learn which are fast
    Given speeds: <instances> instances in <domains> domains before <engines> engines, <reading> of which read
    When speeds: sessions ask for <seconds> seconds, drawn by <seed>, with speeds on and off
    Then speeds: at most <share> times as many answers are late with speeds on, and none is refused for it

    Examples:
      | instances | domains | engines | reading | seconds | seed | share |
      | 1         | 1       | 4       | 1       | 60      | 1    | 0.6   |
      | 16        | 2       | 12      | 4       | 24      | 1    | 0.5   |
      | 16        | 2       | 12      | 4       | 24      | 2    | 0.5   |
      | 60        | 3       | 45      | 15      | 24      | 1    | 0.5   |

  # Deployments whose engines are equal are served as if nothing were learned.
  Scenario Outline: Equal engines with slow spells are placed as before
    Given speeds: <instances> instances in <domains> domains before <engines> engines, <reading> of which read
    And speeds: all engines are equally fast
    When speeds: sessions ask for 12 seconds, drawn by <seed>, with speeds on and off
    Then speeds: every answer is the same with speeds on and off

    Examples:
      | instances | domains | engines | reading | seed |
      | 1         | 1       | 4       | 1       | 1    |
      | 16        | 2       | 12      | 4       | 2    |
      | 60        | 3       | 45      | 15      | 1    |

  # One peer reports that slow engines are the fastest: believed, they get all streams.
  Scenario: An instance with false figures doesn't mislead the others
    Given speeds: 16 instances in 2 domains before 12 engines, 4 of which read
    And speeds: one instance reports all engines the wrong way round
    When speeds: sessions ask for 24 seconds, drawn by 1, with speeds on and off
    Then speeds: at most 0.6 times as many answers are late with speeds on, and none is refused for it

  # Taken for a speed, a slow spell would move streams away from a sound engine.
  Scenario: A slow spell isn't a speed
    Given speeds: an engine whose events come every 40 ms
    When speeds: its events come every 100 ms for 600 ms
    Then speeds: its event gap is from 38 to 44 ms

  # Prompts that waited for others the instance doesn't know of make an engine look slow.
  Scenario: Prompts that waited don't make an engine slow
    Given speeds: an engine that reads 50 tokens a ms
    When speeds: 8 prompts are read there, two of three after a wait of 100 ms
    Then speeds: its rate is from 45 to 51 tokens a ms

  # Of equal engines those with the longest queues look slow: an elder deployment would
  # be placed by its queues.
  Scenario: Engines whose prompts wait are not uneven for that
    Given speeds: 9 engines that read 46 tokens a ms, a third of them after waits
    Then speeds: their speeds don't count and two are reported in a second

  # The next process on the machine may have other hardware behind it.
  Scenario: What was learned of an engine ends with its lifetime
    Given speeds: an engine that reads 50 tokens a ms
    When speeds: 8 prompts are read there, two of three after a wait of 100 ms
    And speeds: the engine starts anew
    Then speeds: nothing is known of its speed

  # What was seen minutes ago may hold no longer.
  Scenario: Evidence that is not renewed ages
    Given speeds: an engine that reads 50 tokens a ms
    When speeds: 8 prompts are read there, two of three after a wait of 100 ms
    And speeds: 5 minutes pass
    Then speeds: nothing is known of its speed

  # An engine not tried must not draw all work by the figure of the best.
  Scenario: An engine not tried is taken for a typical one
    Given speeds: 9 engines that read 46, 46 and 112 tokens a ms in turn, and one not tried
    Then speeds: the one not tried is taken to read 46 tokens a ms

  # A broken peer must not move other engines, nor what is typical.
  Scenario Outline: A peer that reports a rate of <rate> for one engine changes nothing
    Given speeds: 9 engines that read 46, 46 and 112 tokens a ms in turn, and one not tried
    When speeds: a peer reports a rate of <rate> tokens a ms for the first of them
    Then speeds: the rates of all are as before

    Examples:
      | rate       |
      | 0          |
      | 0.001      |
      | 46000000   |

  # Three peers agree on an engine of which a fourth says that it is five times as fast.
  Scenario: A plausible false figure is outweighed
    Given speeds: 9 engines that read 46, 46 and 112 tokens a ms in turn, and one not tried
    When speeds: 3 peers report a rate of 46 tokens a ms for the one not tried
    And speeds: a peer reports a rate of 230 tokens a ms for the one not tried
    Then speeds: the one not tried is taken to read 46 tokens a ms

  # Passed on and received again, evidence would count for ever.
  Scenario: What a domain hears from another one is not passed on
    Given speeds: 9 engines that read 46, 46 and 112 tokens a ms in turn, and one not tried
    When speeds: another domain reports a rate of 46 tokens a ms for the one not tried
    Then speeds: neither its own beacons nor those of its domain report the one not tried

  # At ten receivers, 120 bytes more in a second are 1.2 KB/s.
  Scenario: Reports take at most 120 bytes of a beacon and name all engines in turn
    Given speeds: 9 engines that read 46, 46 and 112 tokens a ms in turn, and one not tried
    When speeds: 10 beacons are sent that name 6 of the engines
    Then speeds: each has at most 8 rows and is at most 120 bytes longer for them
    And speeds: each engine that was tried is reported

  # A home engine at half the speed has a queue of twice the length.
  Scenario: Fast engines are home to more sessions
    Given speeds: 9 engines that read 46, 46 and 112 tokens a ms in turn, and one not tried
    When speeds: 2000 sessions are ranked
    Then speeds: a fast engine is home to 1.8 to 3 times as many sessions as a slow one

  # An urgent prompt goes to an engine that has just begun a long one, which it can't
  # interrupt, and is late. Where engines are equal nothing changes.
  Scenario Outline: Long prompts under way count for an urgent one if engines <differ>
    Given speeds: two engines read, and engines <differ>
    When speeds: the first has 20000 less urgent tokens to read and the second 2000 as urgent ones
    Then speeds: an urgent prompt goes to the <chosen>

    Examples:
      | differ       | chosen |
      | differ       | second |
      | do not differ | first |

  Scenario Outline: A ratio of <ratio> in the settings is <verdict>
    When speeds: the settings have a ratio of <ratio>
    Then speeds: they are <verdict>

    Examples:
      | ratio | verdict  |
      | null  | accepted |
      | 1.5   | accepted |
      | 1     | refused  |
      | 0.5   | refused  |
      | true  | refused  |
