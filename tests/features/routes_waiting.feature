Feature: Requests wait for an engine when none takes requests

  # Both engines that write crash within a second and one is back four seconds later.
  # Refused at once, every request of these seconds comes back too early and is lost.
  Scenario: A request waits for the engine that comes back
    Given routes: a store with a configuration
    And routes: an engine "p1" that reads
    And routes: an engine "d1" that writes
    And routes: an instance
    When waiting: "d1" leaves and "d2" comes while a client asks for "digest" as "r1"
    Then routes: the answer is whole with 6 pieces
    And routes: "r1" ran 1 time

  # Nothing comes back. Silence until the client leaves would tell it nothing: whoever
  # may not repeat a request needs the promise that it has not run.
  Scenario: A request that waited in vain is refused with a time to come back
    Given routes: a store with a configuration
    And routes: an engine "p1" that reads
    And routes: an engine "d1" that writes
    And routes: an instance
    When waiting: "d1" leaves while a client asks for "digest" as "r1"
    Then routes: the status is 503
    And waiting: it may come back after 0.3 to 1.0 seconds

  # The client gets nothing for as long as it waits for a first event, gives up and asks
  # again, or does not. Its prompt was sent to an engine's queue, where more urgent ones
  # that came later went first; nobody looked at it again. On a day of load 2,669 of
  # 18,827 tries ended so, 1,243 requests for good. The engine says that it has the
  # request queued, so it stays there; nothing runs, and nobody tells the client.
  Scenario: A prompt that waits in an engine's queue is refused before its client leaves
    Given routes: a store with a configuration
    And routes: an engine "p1" that reads
    And routes: an engine "d1" that writes
    And routes: an instance
    And routes: the next prompt of "p1" ends by "stuck"
    When routes: a client asks for "digest" as "r1"
    Then routes: the status is 503
    And waiting: it may come back after 0.3 to 1.0 seconds
    And routes: "r1" ran 0 times
    And routes: a reader sees the connection of "r1" closed

  Scenario: A request is refused at once when its service has no engine at all
    Given routes: a store with a configuration
    And routes: an instance
    When waiting: a client asks for "digest" as "r1" and the pauses are counted
    Then routes: the status is 503
    And waiting: it did not wait

  # All that read prompts for others are gone. A prompt that is too long to be read beside
  # streams otherwise is read there all the same.
  Scenario: A long prompt is read in place when no engine reads for others
    Given routes: a store with a configuration
    And routes: an engine "d1" that writes
    And routes: an instance
    When waiting: a client asks for "digest" as "r1" with a prompt of 9000 tokens
    Then routes: the answer is whole with 6 pieces

  # The prompt was read and the answer began after more than the two seconds that a client
  # waits for a first event. Then the engine breaks off. The client waits two seconds from
  # its last event on, so there is time for another engine.
  Scenario: A stream that breaks long after its request arrived goes on
    Given routes: a store with a configuration
    And routes: an engine "p1" that reads
    And routes: an engine "d1" that writes
    And routes: an engine "d2" that writes
    And routes: an instance
    And routes: the next prompt of "p1" ends by "late"
    And waiting: the next stream of each writer ends by "late cut"
    When routes: a client asks for "digest" as "r1" while writers are reading
    Then routes: the answer is whole with 6 pieces

  Scenario: Requests of a higher rank look for a returning engine more often
    Then waiting: rank 0 looks again sooner than rank 1 and rank 1 sooner than rank 2

  # Guards against refusals after their clients have left, since the pause before them is
  # longer than what is left for them.
  Scenario Outline: A request looks again before it has to be refused
    Then waiting: a request of rank <rank> whose client waits for <wait> ms looks again within <most> ms

    Examples:
      | rank | wait | most |
      | 0    | 201  | 1    |
      | 3    | 201  | 1    |
      | 3    | 300  | 100  |
      | 3    | 1000 | 225  |

  # More wait than an engine can serve when it is back: all of them would be late.
  Scenario: Only so many requests wait in one instance
    Then waiting: with 48 requests waiting one more is refused
    And waiting: a request whose client is about to leave is refused

  # Guards against a refusal because of requests that wait for other servers.
  Scenario: Only requests for the same service are ahead of another one
    Then waiting: of 3 requests for "lm" and 2 for "app" 2 are ahead of one for "app"

  # All engines of a stage fail. Asked by every request at once they would get hundreds of
  # connections a second; not asked at all, their return would go unnoticed.
  Scenario: Engines that fail are tried again while no other is sound
    Then waiting: a failed engine is left alone for 0.2 seconds and tried after 0.4
    And waiting: it is passed over for longer while another one is sound
