Feature: A server that starts again under its id

  # An engine that kept a shared part starts again within a second. Remembered by its id,
  # the part would still be looked for there: every prompt with it would be sent to an
  # engine that has to read it anew, past one that keeps it.
  Scenario: What an engine kept and had under way ends with its life
    Given incarnations: engine "e1" born 1000 keeps a part, has work and has failed
    When incarnations: it is listed again as born 2000
    Then incarnations: it keeps nothing, has no work and is not avoided
    When incarnations: it is listed again as born 2000
    Then incarnations: nothing more is forgotten

  # A beacon that was on its way when the engine started again tells of the life before.
  Scenario: What peers tell of a former life does not count for the new one
    Given incarnations: an instance that knows engine "e1" born 2000
    When incarnations: a peer tells of work and a part at "e1" born 1000
    Then incarnations: "e1" has no work and keeps nothing
    When incarnations: a peer tells of work and a part at "e1" born 2000
    Then incarnations: "e1" has that work and keeps that part

  Scenario: A plain server that started again is not passed over for its former failures
    Given incarnations: plain servers "a1" and "a2" born 1000
    When incarnations: "a1" fails 5 times and "a2" has 1 call
    And incarnations: "a1" is born again
    Then incarnations: "a1" is chosen

  # The engine is silent, starts again and is busy with others at once. By its report
  # alone the request would look as if it were in its queue.
  Scenario: A request is not looked for in the queue of a new life
    Then incarnations: a request sent to the life of 1000 is lost when 2000 reports a queue
    And incarnations: it is in the queue when 1000 reports it

  # The keeper of stages asks an engine for its count of orders: none. The engine starts
  # again before the order is sent; its new life counts none either, and would carry out
  # what was planned for the former one.
  Scenario: An order for a former life does not reach the new one
    Given incarnations: a store, a reading engine "p1" and a keeper of stages
    And incarnations: "p1" starts again once it has given its report
    When incarnations: the keeper orders "p1" to write
    Then incarnations: "p1" has received no order
    When incarnations: the new life is listed and the keeper orders it to write
    Then incarnations: "p1" has received 1 order

  # The reader starts again after it read a prompt and before a writer took it. Handles
  # are numbered anew: the old one may name another request's prompt.
  Scenario: A handle of a former life is neither used nor freed
    Given routes: a store with a configuration
    And routes: an engine "p1" that reads
    And routes: an engine "d1" that writes
    And routes: an instance
    When incarnations: "p1" starts again after it has read "r1"
    Then routes: the answer is whole with 6 pieces
    And incarnations: no handle of the former life was sent or freed

  # One instance of 84 orders an engine to change. Until the change is over the engine
  # declines everything. Each of the others would find that out by a request of its own.
  Scenario: An engine that changes its stage is passed over by all who hear of it
    Given incarnations: an instance that knows engine "e1" born 2000
    When incarnations: a peer tells that "e1" born 2000 is changing for 5 seconds
    Then incarnations: "e1" is passed over, and its change is told on
    When incarnations: the list shows the change of "e1"
    And incarnations: a peer tells that "e1" born 2000 is changing for 5 seconds
    Then incarnations: "e1" is used and no change is told

  Scenario: A change that the list never shows is not waited for for ever
    Given incarnations: an instance that knows engine "e1" born 2000
    When incarnations: a peer tells that "e1" born 2000 is changing for 5 seconds
    And incarnations: 6 seconds pass
    Then incarnations: "e1" is used and no change is told

  Scenario: A change in a former life says nothing of the new one
    Given incarnations: an instance that knows engine "e1" born 2000
    When incarnations: a peer tells that "e1" born 1000 is changing for 5 seconds
    Then incarnations: "e1" is used and no change is told

  # The planner that ordered the change has ended. Whoever takes over must not order the
  # same engine, or another one for the same need.
  Scenario: A planner that takes over counts the changes that others have ordered
    Given 2 engine that reads and 3 that write with 5 streams each
    And incarnations: another planner has ordered one of those that write to read
    When 250000 tokens a second are to be read for 4 seconds
    Then nothing is planned
