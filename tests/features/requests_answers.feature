Feature: What an answer of a backend server is taken for

  # The caller of the second request received the answer to the first: the first ran
  # out of time, its connection went back to the pool still open, and its late answer
  # was the next thing to be read there.
  Scenario Outline: A late answer is never given to the next request, sent <when>
    Given requests meet a server that answers the second call late
    When requests make three repeatable calls, the second without time, the next <when>
    Then requests receive "one", a broken answer, and "three"

    Examples:
      | when                     |
      | before the late answer   |
      | after the late answer    |

  # Guards against a late answer that the next call gets from the HTTP library.
  Scenario Outline: A late handle is never given to the next transfer, sent <when>
    Given requests meet a server that gives the second handle late
    When requests make three transfers, the second without time, the next <when> the late
    Then requests receive "one", no handle, and "three"

    Examples:
      | when   |
      | before |
      | after  |

  # A badge is printed twice or not at all: the server closes a kept connection just as
  # the next request is written to it, and nobody knows whether it ran. Only the
  # first request on a connection is free of this.
  Scenario: A call that may not be repeated never shares a connection
    Given requests meet a server that answers three calls
    When requests make three non-repeatable calls
    Then requests used a connection for each call

  # The caller was told "not run" and sent the request again, which had run. Of all
  # that can go wrong only a connection that never stood proves that no byte left; and
  # the client library must not send a request twice by itself.
  Scenario Outline: A call is said not to have run only if that is certain
    Given requests meet a server that <trouble>
    When requests make a non-repeatable call
    Then requests see "<outcome>" and the server has seen <count> requests

    Examples:
      | trouble                                 | outcome       | count |
      | is not there                            | not run       | 0     |
      | accepts no connection                   | not run       | 0     |
      | says that it did not run the call       | not run       | 1     |
      | says nothing and closes                 | may have run  | 1     |
      | says nothing at all                     | may have run  | 1     |
      | cuts its answer inside the status line  | may have run  | 1     |
      | cuts its answer inside the headers      | may have run  | 1     |
      | cuts its answer inside the length       | may have run  | 1     |
      | cuts its answer inside the body         | may have run  | 1     |
      | cuts its answer inside a chunk          | may have run  | 1     |
      | answers something other than HTTP       | may have run  | 1     |
      | answers for another dispatch            | may have run  | 1     |
      | answers an error that says nothing      | answered      | 1     |

  # Guards against "not run" for a call that the server has read, if the caller's process
  # stood still while it connected and its time-out ended at the same moment.
  Scenario Outline: A caller that stands still hears "not run" of no <what> that was read
    When requests make a <what> and stand still at each step of connecting
    Then requests see "not run" for some, and the server has seen none of these

    Examples:
      | what   |
      | call   |
      | stream |

  # Guards against the same for streams, which are sent by the HTTP library.
  Scenario Outline: A stream is said not to have run only if that is certain
    Given requests meet a server that <trouble>
    When requests ask for a stream
    Then requests see "<outcome>" and the server has seen <count> requests

    Examples:
      | trouble                                 | outcome       | count |
      | is not there                            | not run       | 0     |
      | accepts no connection                   | not run       | 0     |
      | says that it did not run the call       | not run       | 1     |
      | says nothing and closes                 | may have run  | 1     |
      | cuts its answer inside the status line  | may have run  | 1     |
      | cuts its answer inside the headers      | may have run  | 1     |
      | answers something other than HTTP       | may have run  | 1     |
      | answers an error that says nothing      | may have run  | 1     |

  # The caller saw tokens of a stranger, or its own twice: answers cross and repeat on
  # the way. Every event names its dispatch and its place; what doesn't fit is dropped,
  # and what is missing breaks the stream, so that it is resumed there.
  Scenario Outline: A stream takes nothing but its own tokens in their order
    Given requests meet an engine whose stream <trouble>
    When requests read the stream
    Then requests have received <tokens> tokens and then "<end>"

    Examples:
      | trouble                         | tokens | end            |
      | is whole                        | 4      | finished       |
      | carries another dispatch's too  | 4      | finished       |
      | repeats each token              | 4      | finished       |
      | leaves one out                  | 2      | broken         |
      | ends without its marker         | 4      | broken         |
      | states another length           | 4      | broken         |
      | turns into nonsense             | 4      | broken         |
      | is refused by a busy engine     | 0      | not run        |
