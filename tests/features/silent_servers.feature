# A server falls silent for a second or so and goes on: it keeps its connections, reads and
# writes nothing meanwhile, and loses nothing.
Feature: Servers that fall silent for a second

  # Guards against streams that are broken off while nobody can take the engine's place.
  Scenario Outline: A stream is whole although <who>
    Given pause: an instance with <decode> decode, <prefill> prefill and 0 plain servers
    When pause: a stream on the "<route>" route has begun
    And pause: the engine that decodes it falls silent, and <others> of the others
    Then pause: the client gets the whole stream

    Examples:
      | who                                   | decode | prefill | route  | others |
      | its only engine falls silent          | 1      | 1       | digest | none   |
      | all engines fall silent               | 3      | 1       | digest | all    |
      | its only engine does, without retries | 1      | 1       | draft  | none   |

  # Guards against requests that fail since the silent server was given up for nobody.
  Scenario Outline: A request that is sent to <kind> while all are silent is answered
    Given pause: an instance with <decode> decode, <prefill> prefill and <plain> plain servers
    When pause: all servers fall silent
    And pause: a client asks on the "<route>" route
    Then pause: the client gets the whole answer

    Examples:
      | kind                            | decode | prefill | plain | route  |
      | one decode engine               | 1      | 0       | 0     | digest |
      | prefill and decode engines      | 2      | 2       | 0     | digest |
      | one decode engine, not repeated | 1      | 0       | 0     | draft  |
      | one plain server                | 0      | 0       | 1     | notify |
      | two plain servers               | 0      | 0       | 2     | notify |
      | one plain server, not repeated  | 0      | 0       | 1     | print  |

  # Guards against streams that end although attempts are used up on one that is silent.
  Scenario: A stream is whole although its engine ends and the next one falls silent
    Given pause: an instance with 2 decode, 1 prefill and 0 plain servers
    When pause: a stream on the "digest" route has begun
    And pause: its engine breaks off and the next one falls silent
    Then pause: the client gets the whole stream

  # Guards against the same with an engine that was silent before.
  Scenario: A stream is whole although one engine after the other falls silent
    Given pause: an instance with 2 decode, 1 prefill and 0 plain servers
    When pause: a stream on the "digest" route has begun
    And pause: the engine that decodes it falls silent, and the next one after it
    Then pause: the client gets the whole stream

  # Guards against streams that are broken off and then lack the budget to be resumed.
  Scenario: A stream is whole although its engine falls silent and no retry is left
    Given pause: an instance with 2 decode, 1 prefill and 0 plain servers
    And pause: the retry budget of the instance is used up
    When pause: a stream on the "digest" route has begun
    And pause: the engine that decodes it falls silent, and none of the others
    Then pause: the client gets the whole stream

  # Guards against streams that are cut since their next place is silent for a moment.
  Scenario: A stream is whole although the engine that prefills it again is silent
    Given pause: an instance with 2 decode, 1 prefill and 0 plain servers
    And pause: decode engines that have much to prefill
    When pause: a stream on the "digest" route has begun
    And pause: the engine that decodes it falls silent for good, and prefill engines for 2.5 s
    Then pause: the client gets the whole stream

  # Guards against streams that wait for a silent engine where another one could go on.
  Scenario: A stream goes on at another engine while its own stays silent
    Given pause: an instance with 2 decode, 1 prefill and 0 plain servers
    When pause: a stream on the "digest" route has begun
    And pause: the engine that decodes it falls silent for good
    Then pause: the client gets the whole stream
    And pause: two engines ran it
