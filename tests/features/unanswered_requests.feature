# A connection ends with an answer to each whole request, or leaves a line with a reason.
Feature: Requests are not lost with their connections

  # Guards against connections that a stop closes with the requests that wait in them.
  Scenario Outline: A stopping server answers <requests> that came <how>
    Given unanswered: an HTTP server
    When unanswered: it stops as <requests> came <how>
    Then unanswered: <requests> were answered and the server has stopped

    Examples:
      | requests      | how                                    |
      | 1 requests    | on a kept connection                   |
      | 2 requests    | on a kept connection                   |
      | 1 requests    | on a kept connection, in two parts     |
      | 1 requests    | on a new connection                    |
      | 1 requests    | on a connection that is being accepted |
      | 1 requests    | on a connection that has just opened   |
      | 2000 requests | on a kept connection                   |
      | 2000 requests | on a new connection                    |

  # Guards against requests that are mixed up or left where a part of a read ends.
  Scenario Outline: Requests sent ahead with bodies of up to <size> bytes get their own
    Given unanswered: an HTTP server that answers with the body
    When unanswered: 200 requests with bodies of up to <size> bytes come in pieces
    Then unanswered: each is answered with its own body, in order

    Examples:
      | size   |
      | 20     |
      | 9000   |
      | 200000 |

  # Guards against a second answer to a request, which its client takes for another one's.
  Scenario: Rubbish in the rest of an answered request's body gets no answer
    Given unanswered: an HTTP server
    When unanswered: rubbish comes in a body whose request has been answered
    Then unanswered: there was one answer, and the connection ends

  # Guards against refusals for want of memory that fail on a connection that is closing.
  Scenario: A refused request whose client stays does not keep others from being served
    Given unanswered: an HTTP server that answers with the body
    When unanswered: a client stays after rubbish in a body that fills half of the memory
    Then unanswered: another one's body of that size is answered

  # Guards against requests that are lost, and connections that stay for good, as a later
  # request on their connection is refused.
  Scenario Outline: Two requests ahead of <refused> are answered, and the connection ends
    Given unanswered: an HTTP server that answers late with the body
    When unanswered: a client sends two requests ahead of <refused>
    Then unanswered: both are answered in order, and the connection has ended

    Examples:
      | refused                                 |
      | rubbish                                 |
      | half a head and closes its sending side |
      | half a body and closes its sending side |
      | a body with a chunk of rubbish          |

  # Guards against limits of one request that count the bytes of those before it.
  Scenario: Requests whose heads come in two parts, one behind the other, are answered
    Given unanswered: an HTTP server that answers with the body
    When unanswered: 40 requests with heads of 2,000 bytes come, each body with the next head's begin
    Then unanswered: all 40 are answered with their bodies

  # Guards against a limit of a head that counts the end of the head before it.
  Scenario: A large head that begins in a read with the end of another one is answered
    Given unanswered: an HTTP server
    When unanswered: a head of 30,000 bytes begins behind the last 3,500 of another one
    Then unanswered: both get 200

  # Guards against a limit on a client's time that counts the time of its other requests.
  Scenario: A head whose rest is not read until others are answered is not late
    Given unanswered: an HTTP server that answers late with the body
    When unanswered: the head behind 9 requests comes in two parts, in time
    Then unanswered: all 10 requests are answered

  # Guards against requests that lie unread in a connection as its idle limit closes it.
  Scenario: A request that has arrived as an idle limit falls due is answered
    Given unanswered: an HTTP server
    When unanswered: the idle limit of a kept connection falls due with a request unread
    Then unanswered: the request is answered, and the connection ends once it is idle

  # Guards against pipelined requests that an announced stop drops after one response.
  Scenario: A response says that its connection closes only if no request is behind it
    Given unanswered: an instance that is about to stop
    When unanswered: a client pipelines two requests
    Then unanswered: both are answered, and only the last answer closes the connection

  # Guards against work for clients that left while further requests of theirs waited.
  Scenario: A client that leaves with pipelined requests ends the work on the first one
    Given unanswered: an instance with a server that does not answer
    When unanswered: a client pipelines two requests and leaves
    Then unanswered: the server is told that the first one is cancelled
    And unanswered: "the connection ended before its turn" is logged for the second one

  # Guards against connections that end within a request and leave no line.
  Scenario Outline: A connection that ends within a request is logged
    Given unanswered: an instance with a server that does not answer
    When unanswered: a client sends the <part> of a request and its connection is reset
    Then unanswered: "the connection ended within the request" is logged

    Examples:
      | part                      |
      | head without its end      |
      | head with half of a body  |

  # Guards against requests that a stop cuts off and that the log puts on their clients.
  Scenario: The log tells which requests the end of the grace period has cut off
    Given unanswered: an instance with a server that does not answer
    When unanswered: the instance aborts as a request runs
    Then unanswered: its outcome is logged as "cut off by the stop of this instance"

  # Guards against requests that get neither an answer nor a refusal, since the grace
  # period ends while they wait.
  Scenario Outline: A request from <since> the stop <waits> as the grace ends, and gets <answer>
    Given unanswered: an instance with a server that does not answer
    When unanswered: the grace period ends as a request from <since> the signal <waits>
    Then unanswered: it gets <answer>
    And unanswered: the stop has left no failure that nobody retrieved

    Examples:
      | since  | waits              | answer            |
      | before | waits for room     | 503, not run      |
      | before | waits for a server | 502, may have run |
      | after  | waits for room     | 503, not run      |
      | after  | waits for a server | 504, may have run |

  # Guards against failures of an instance that end in an answer of the HTTP library.
  Scenario: A request that an instance fails on before it forwards it is refused
    Given unanswered: an instance with a server that does not answer
    When unanswered: a request comes that the instance fails on
    Then unanswered: it is refused as not run, with a time to come back
    And unanswered: the reason and the answer are logged

  # Guards against answers that a reset drops, since their request's body still arrives.
  Scenario Outline: A last answer does not reset the connection of a client that <does>
    Given unanswered: an HTTP server
    When unanswered: a client <does> and sends a body on after the answer
    Then unanswered: it has the answer, and its connection was not reset

    Examples:
      | does                                  |
      | asks to close the connection          |
      | sends a request as the server stops   |

  # Guards against work that ends with what it waited for, and leaves its client waiting.
  Scenario: A request whose work is cancelled from within gets an answer and a true line
    Given unanswered: an instance with a server that does not answer
    When unanswered: a request comes whose work is cancelled from within
    Then unanswered: it is answered with 502, and so it is logged
