Feature: A fleet of hundreds of instances decides well although none sees the whole

  # 51 long prompts a second, 81 short ones and 74 between, at 198 instances before 39
  # engines. A session's prompts arrive anywhere; whoever has not heard of the engine that
  # keeps its shared part has it read again, and queues grow by that.
  Scenario Outline: Sessions find the engine that keeps their shared part
    Given replay: 198 instances in 6 domains before 39 engines, 18 of which read
    When replay: sessions ask for 8 seconds, drawn by <seed>
    Then replay: at most a tenth of the tokens that were read had been read before
    And replay: no engine that reads works more than half as much again as the mean
    And replay: every prompt is answered and nine of ten are on time

    Examples:
      | seed |
      | 1    |
      | 2    |

  # All clients reconnect at one moment, and each instance gets a prompt that shares
  # nothing. All engines look idle to all instances, so whatever order they prefer is the
  # same everywhere: one engine in each domain would get everything.
  Scenario: Instances that know the same don't choose the same engine
    Given replay: 198 instances in 6 domains before 39 engines, 18 of which read
    When replay: each instance is asked for one prompt at the same moment
    Then replay: no engine that reads gets more than twice the mean

  # One instance has had a session's part read. If others don't know, they take the
  # session for new: they forecast waits that are too long and ask for engines in vain.
  # Passed on by all for ever, it would fill every datagram.
  Scenario: What one instance knows of an engine's cache reaches the fleet once
    Given replay: 198 instances in 6 domains before 39 engines, 18 of which read
    When replay: one instance knows of a part that an engine keeps
    And replay: 3 seconds pass
    Then replay: nineteen of twenty instances know it
    And replay: nobody has it to pass on
