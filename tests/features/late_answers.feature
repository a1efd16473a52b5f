Feature: Whoever is on call sees why an answer was late

  # The target is 400 ms to the first event. Times are in milliseconds; a prefill has its
  # time and after the slash that of its own tokens without a queue.
  Scenario Outline: A late first event is put down to the phase that took longest
    Given lateness: a stream that went through <phases>
    Then lateness: its cause is "<cause>", <over> ms over

    Examples:
      | phases                                                            | cause       | over |
      | held 350, prefill 60/60, transfer 20, first_event 20              | held        | 50   |
      | held 5, prefill 400/80, transfer 20, first_event 20               | queue       | 45   |
      | held 5, prefill 400/390, transfer 20, first_event 20              | prefill     | 45   |
      | held 5, prefill 60/60, transfer 350, first_event 20               | transfer    | 35   |
      | held 5, prefill 60/60, transfer 20, first_event 350               | first event | 35   |
      | held 5, peer 500                                                  | peer        | 105  |
      | held 5, prefill 300/50, failed, held 5, prefill 120/120           | retry       | 30   |
      | held 5, prefill 100/100, held 5, transfer 200, failed, prefill 150/150, transfer 40 | retry | 100 |

  # Guards against a resumed stream, or a client that reads slowly, being taken for a slow
  # engine.
  Scenario Outline: A stream that began in time is put down to its longest gap
    Given lateness: a stream that went through held 5, prefill 60/60
    When lateness: its events follow after <gaps>
    Then lateness: its cause is "<cause>", <over> ms over

    Examples:
      | gaps                     | cause      | over |
      | 90, 150, 90              | pause      | 50   |
      | 90, 150 failed, 90       | resumption | 50   |
      | 90, 150 written 140, 120 | client     | 50   |
      | 150 failed, 180          | pause      | 80   |

  Scenario: A stream that is late twice is put down to its first event
    Given lateness: a stream that went through held 5, prefill 500/50
    When lateness: its events follow after 900
    Then lateness: its cause is "queue", 105 ms over

  Scenario: An answer in time has no cause
    Given lateness: a stream that went through held 200, prefill 200/50
    When lateness: its events follow after 100, 100
    Then lateness: it is in time

  # Guards against a cause that the wiring between sockets and decisions gets wrong.
  Scenario Outline: An instance reports what made an answer late
    Given routes: a store with a configuration
    And routes: an engine "p1" that reads
    And routes: an engine "d1" that writes
    And routes: an instance
    And routes: a plain server "a1"
    And routes: a plain server "a2"
    When lateness: a client asks for "<route>" while <trouble>
    Then lateness: one answer on "<route>" is reported late for "<cause>", with its customer and servers

    Examples:
      | route  | trouble                          | cause       |
      | digest | the prefill engine is slow       | queue       |
      | digest | the transfer is slow             | transfer    |
      | digest | the first event is slow          | first event |
      | digest | the stream pauses                | pause       |
      | digest | no engine accepts requests       | held        |
      | notify | the plain server is slow         | server      |
      | notify | the first plain server is silent | retry       |

  Scenario: An answer in time is not reported
    Given routes: a store with a configuration
    And routes: an engine "p1" that reads
    And routes: an engine "d1" that writes
    And routes: an instance
    When lateness: a client asks for "digest" while nothing is slow
    Then lateness: no answer is reported late
