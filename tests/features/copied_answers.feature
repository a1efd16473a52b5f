# Servers send copies of their refusals where a later answer is due, on the connection of
# the refusal. The copy bears what the refusal bore: its request's id, or none.
Feature: Copies of refusals are not taken for answers

  # Guards against a promise "not run" to a client whose request runs.
  Scenario Outline: A refused "<route>" that comes again is <status>, with a copy
    Given copied answers: a server of "<route>" that refuses a request with <status>
    When copied answers: "<route>" is asked for until it is not refused, under one id
    Then copied answers: it ran once, and its client has the whole answer

    Examples:
      | route  | status |
      | draft  | 503    |
      | draft  | 429    |
      | digest | 503    |
      | digest | 421    |
      | print  | 503    |
      | print  | 421    |
      | notify | 503    |

  # Guards against a request that runs and whose client is told that its outcome is
  # unknown, since copies of all earlier refusals come before its answer.
  Scenario: Forty requests are refused, and the copies of all come at once
    Given copied answers: a server that refuses 40 requests of "print"
    When copied answers: "print" is asked for until one is not refused
    Then copied answers: that one ran once, and its client has the whole answer

  # Guards against the refusal of a question, which bears no id, being taken for one of
  # the request that follows on the connection.
  Scenario Outline: A question before "<route>" is refused, with a copy
    Given copied answers: a server of "<route>" that refuses questions with 503
    When copied answers: "<route>" is asked for until it is not refused, under one id
    Then copied answers: it ran once, and its client has the whole answer

    Examples:
      | route  |
      | draft  |
      | digest |
      | print  |
      | notify |

  # Guards against a sound engine that loses a stream, since an answer to another request
  # came where its report was due.
  Scenario: A report is due where a copy comes
    When copied answers: a report is asked for after a refused request
    Then copied answers: the report is the engine's own

  # Guards against a sound engine that loses a stream, since the copy bears no id: it is
  # of the refusal of a call, which bears none either.
  Scenario: A report on which a stream depends is due where a copy of a call's comes
    When copied answers: a stream waits at an engine that refused a call
    Then copied answers: the stream stays there

  # Guards against a stream that runs twice, since a report of before it was sent counts
  # as the engine's present one.
  Scenario: A report on which a stream depends is due where an older one comes again
    When copied answers: a stream waits at an engine that repeats an older report
    Then copied answers: the stream stays there

  # Guards against a leader that takes the refusal of an earlier order for the next one's
  # and gives up its lease, or goes on using an engine that changes its stage.
  Scenario Outline: An order is refused with <status>, with a copy before the next one's
    When copied answers: an engine that refuses an order with <status> gets two
    Then copied answers: the second order counts as accepted

    Examples:
      | status |
      | 409    |
      | 412    |

  # Guards against a refusal of an earlier dispatch, which names none, being taken for the
  # answer to a later one that runs.
  Scenario Outline: An engine of the first daemon refuses <how>, and repeats that
    When copied answers: an engine that refuses <how>, with a copy later, gets two dispatches
    Then copied answers: the dispatch is not refused

    Examples:
      | how         |
      | in one part |
      | in chunks   |

  # Guards against the same by the refusal of a call to cancel.
  Scenario: An engine of the first daemon repeats that it cancels nothing
    When copied answers: an engine that refuses to cancel, with a copy later, gets a dispatch
    Then copied answers: the dispatch is not refused

  # Guards against the same at servers that do not repeat the name of a call.
  Scenario: A plain server of the first daemon repeats a refusal that names no call
    When copied answers: a plain server that refuses, with a copy later, gets two calls
    Then copied answers: only the first call is refused
