Feature: Requests on the operator's routes

  Background:
    Given routes: a store with a configuration
    And routes: an engine "p1" that reads
    And routes: an engine "d1" that writes
    And routes: an engine "d2" that writes
    And routes: an instance

  Scenario: A prompt is read apart and its memory handed over
    When routes: a client asks for "digest" as "r1" while writers are reading
    Then routes: the answer is whole with 6 pieces
    And routes: "p1" read "r1" once and a writer ran it with its memory

  # The engine that was to write has been told to change its stage and declines. The
  # prompt stays where it was read; reading it once more would take as long again.
  Scenario: A prompt that a writer declines is offered to another one
    Given routes: the next stream of each writer ends by "decline"
    When routes: a client asks for "digest" as "r1" while writers are reading
    Then routes: the answer is whole with 6 pieces
    And routes: "p1" read "r1" once and a writer ran it with its memory

  # Both decline. The prompt is read again, since its memory may be what is missing.
  Scenario: A prompt that two writers decline is freed and read again
    Given routes: an engine "d3" that writes
    And routes: two streams in a row end by "decline"
    When routes: a client asks for "digest" as "r1" while writers are reading
    Then routes: the answer is whole with 6 pieces
    And routes: "p1" freed the prompt of "r1" and read it twice

  # The caller sees one whole answer with the proof of the first engine. The engine dies
  # in the middle of its third event: half of it has arrived. The half is dropped and
  # the second engine goes on after the second event.
  Scenario: A stream that breaks in the middle of an event goes on without a seam
    Given routes: the next stream of each writer ends by "cut"
    When routes: a client asks for "digest" as "r1"
    Then routes: the answer is whole with 6 pieces
    And routes: each writer ran "r1" once

  # The engine that goes on begins anew instead of after the last event. What the client
  # has already must not come twice.
  Scenario: Events that the client has already are not passed on again
    Given routes: the next stream of each writer ends by "cut, then from the start"
    When routes: a client asks for "digest" as "r1"
    Then routes: the answer is whole with 6 pieces

  # The route does not allow a second run. Ending the body properly would make half an
  # answer look whole; so the connection closes without the body's end.
  Scenario: A stream that may not be resumed ends so that it does not look whole
    Given routes: the next stream of each writer ends by "cut"
    When routes: a client asks for "draft" as "r1"
    Then routes: the answer is not whole and has 2 pieces
    And routes: "r1" ran 1 time

  # The engine has taken the request and answers nothing until the client's deadline. It
  # may have written half an answer by then; "not run" would be a guess.
  Scenario: A request that an engine holds at its deadline is not said to be not run
    Given routes: the next stream of each writer ends by "silent"
    When routes: a client asks for "draft" as "r1" with 600 ms left
    Then routes: the status promises nothing

  # The server takes the request and the connection is reset. Nobody knows whether the
  # badge was printed: the caller must hear that, and no second server may get it.
  Scenario: An unsafe call whose answer is lost is not sent again
    Given routes: a plain server "a1"
    And routes: a plain server "a2"
    And routes: the next call of each plain server ends by "reset"
    When routes: a client asks for "print" as "r1"
    Then routes: the status is 502
    And routes: "r1" ran 1 time

  # 503 with the server's own statement that it did not run the request: another server
  # may have it, and the caller sees only the success.
  Scenario: An unsafe call that a server declines runs on another one
    Given routes: a plain server "a1"
    And routes: a plain server "a2"
    And routes: the next call of one plain server ends by "decline"
    When routes: a client asks for "print" as "r1"
    Then routes: the status is 200
    And routes: "r1" ran 1 time

  Scenario: A safe call that fails is answered by another server
    Given routes: a plain server "a1"
    And routes: a plain server "a2"
    And routes: the next call of one plain server ends by "fail"
    When routes: a client asks for "notify" as "r1"
    Then routes: the status is 200
    And routes: "r1" ran 2 times

  # A server answers an earlier request once more where the answer to this one is due.
  # Passed on, a guest would get somebody else's badge.
  Scenario: An answer to another request is never passed on
    Given routes: a plain server "a1"
    And routes: the next call of each plain server ends by "other first"
    When routes: a client asks for "notify" as "r1"
    Then routes: the status is 200
    And routes: the body is the answer to this request

  # Bytes without the server's proof may be anybody's.
  Scenario: A success without the server's proof is not passed on
    Given routes: a plain server "a1"
    And routes: the next call of each plain server ends by "no proof"
    When routes: a client asks for "print" as "r1"
    Then routes: the status is 502

  # The client closes its connection while the prompt is being read. Without a word to
  # the engine it would read on for nobody and keep the memory.
  Scenario: Reading ends when the client leaves
    Given routes: an engine "p2" that reads
    And routes: the next prompt of each reader ends by "silent"
    When routes: a client asks for "digest" as "r1" while writers are reading and leaves
    Then routes: a reader sees the connection of "r1" closed
    And routes: no other server gets "r1"

  # An engine with a queue answers others while one prompt waits longer than expected.
  # Sent to a second engine, the prompt would start at the end of a queue again.
  Scenario: A prompt is left at an engine that goes on answering others
    Given routes: an engine "p2" that reads
    And routes: engine "p1" is the one with the shorter queue
    And routes: the next prompt of "p1" ends by "late"
    When routes: clients ask for "digest" as "r1" and half a second later as "r2"
    Then routes: both answers are whole
    And routes: "p1" read 2 prompts and "p2" read 0

  # The engine that writes has no memory left and lets the request wait for longer than
  # expected; this instance hears nothing else of it. It says that requests wait there.
  # Given up, the request would cost a repeat and start again at the end of a queue.
  Scenario: A request is left in the queue of an engine that says that it has one
    Given routes: the next stream of each writer ends by "late"
    When routes: a client asks for "digest" as "r1"
    Then routes: the answer is whole with 6 pieces
    And routes: "r1" ran 1 time

  # The engine has stopped: it does not answer when it is asked whether it reads.
  Scenario: A prompt goes to another engine when its engine does not even report
    Given routes: an engine "p2" that reads
    And routes: engine "p1" is a little less busy
    And routes: "p1" reports nothing
    When routes: a client asks for "digest" as "r1" while writers are reading
    Then routes: the answer is whole with 6 pieces
    And routes: "p1" read 0 prompts and "p2" read 1

  # The engine takes the prompt and answers nobody any more.
  Scenario: A prompt goes to another engine when its engine answers nobody
    Given routes: an engine "p2" that reads
    And routes: engine "p1" is the one with the shorter queue
    And routes: the next prompt of "p1" ends by "silent"
    When routes: a client asks for "digest" as "r1" while writers are reading
    Then routes: the answer is whole with 6 pieces
    And routes: "p1" read 1 prompts and "p2" read 1

  # The writing engine was chosen before the prompt was read; while it is read, the
  # engine says that it leaves. Sent there all the same, the request would reach it when
  # it should get nothing new.
  Scenario: A request goes to no engine that began to leave while its prompt was read
    Given routes: the next prompt of "p1" ends by "slow"
    When routes: a client asks for "digest" as "r1" and writer "d1" leaves meanwhile
    Then routes: the answer is whole with 6 pieces
    And routes: "d1" never got "r1"

  # A client sets headers with which engines are told whose memory to use or which stage
  # to take. Passed on, it would read another request's prompt.
  Scenario: What only the system may tell a server is dropped from clients
    Given routes: a plain server "a1"
    When routes: a client asks for "notify" with headers that are the system's
    Then routes: the status is 200
    And routes: no server got a header that the client had no right to set

  Scenario: A path without a route is not found
    When routes: a client asks for "nowhere" as "r1"
    Then routes: the status is 404

  # The store forgets its history and cuts its watches while the configuration changes.
  # A watch that went on from its old revision would wait for ever.
  Scenario: A configuration that changed while the watch was cut is in force soon
    When routes: the store restarts, forgets its history and has a new route
    Then routes: the new route is served

  # The store turns one instance away. It hears from its peer that there is a newer
  # configuration and takes it from there.
  Scenario: An instance without the store learns from its peer
    When routes: a second instance starts while it can't reach the store
    Then routes: the second instance serves the routes

  # On call there are only logs and metrics. A stream that was resumed, one that nobody
  # could serve and a call that a server failed are told apart by the counters.
  Scenario: Metrics tell what became of requests
    Given routes: the next stream of each writer ends by "cut"
    And routes: a plain server "a1"
    And routes: the next call of each plain server ends by "fail"
    When routes: a client asks for "digest" as "r1"
    And routes: a client asks for "print" as "r2"
    Then routes: the metric "answers" with "2xx" of "server" is 1
    And routes: the metric "answers" with "5xx" of "server" is 1
    And routes: the metric "sendings" with "failed" of "stream" is 1
    And routes: 1 first event and 5 pauses were timed
    And routes: the gauges tell version 1 and 4 servers

  # Readiness ends at once; new requests are served until the balancer has noticed, and
  # each answer asks its client to leave the connection.
  Scenario: A planned stop cuts no request
    Given routes: a plain server "a1"
    When routes: the instance is told to stop
    Then routes: it is not ready any more and still serves

  # Nothing is in flight when the balancer's notice is over, so the instance ends. At that
  # moment a request arrives on a kept connection. It was passed on to a server and its
  # connection cut: the client had no answer, the badge was printed.
  Scenario: A request that arrives as a planned stop ends is answered
    Given routes: a plain server "a1"
    And routes: the next call of each plain server ends by "slow"
    And routes: a client with an idle connection to an instance that is stopping
    When routes: it asks for "print" as the time for the balancer is over
    Then routes: the status is 200
    And routes: "r1" ran 1 time

  # Guards against clients that are sent to a new instance before it listens for them,
  # and are refused.
  Scenario: An instance that does not listen for clients does not say it is ready
    When routes: an instance knows all it needs while its clients' port refuses them
    Then routes: its readiness check does not succeed
