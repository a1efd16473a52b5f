# A server in trouble sends bytes without end, in the head or the body of an answer, as
# fast as they are taken or a few at a time, until its caller closes the connection.
Feature: Answers without end

  # Guards against an instance that takes bytes without end in place of an answer.
  Scenario Outline: An answer of a plain server with <flood> without end is broken off
    Given endless: a plain server that answers with <flood> without end
    When endless: "print" is asked for
    Then endless: the client is told the truth
    And endless: the client hears of it before its time is up
    And endless: the server got rid of no more than an answer may have
    And endless: the connection is closed

    Examples:
      | flood                                |
      | a header line                        |
      | header lines                         |
      | interim answers                      |
      | bytes that are no answer             |
      | blank lines                          |
      | a body                               |
      | a body of single bytes               |
      | a body of a stated length            |
      | a body that ends with its connection |
      | a chunk's extension                  |
      | trailer fields                       |
      | a refusal's body                     |
      | an extra answer's body               |
      | a failure's body                     |

  # Guards against streams that take up memory or processor time without end.
  Scenario Outline: A stream with <flood> without end is broken off
    Given endless: a running engine that answers with <flood> without end
    When endless: "draft" is asked for
    Then endless: the client gets no whole stream, nor more events than it may have
    And endless: the client hears of it before its time is up
    And endless: the server got rid of no more than an answer may have
    And endless: the connection is closed

    Examples:
      | flood                     |
      | header lines              |
      | interim answers           |
      | bytes that are no answer  |
      | a body                    |
      | a body of single bytes    |
      | a body of a stated length |
      | an event                  |
      | events without numbers    |
      | comments                  |
      | numbered events           |
      | a refusal's body          |
      | an extra answer's body    |
      | a failure's body          |

  # Guards against callers that wait for the rest of an answer that is known already.
  Scenario Outline: A server that sends <drip> bit by bit is left in time
    Given endless: a <kind> that answers with <drip> bit by bit
    When endless: "<route>" is asked for with 1 second left
    Then endless: the client is told the truth
    And endless: the connection is closed

    Examples:
      | kind         | route | drip             |
      | plain server | print | a header line    |
      | plain server | print | interim answers  |
      | plain server | print | a body           |
      | plain server | print | a refusal's body |
      | engine       | draft | a header line    |
      | engine       | draft | an event         |
      | engine       | draft | a refusal's body |

  # Guards against a request that is held by a server which never ends its first answer.
  Scenario Outline: A server that answers questions with <flood> without end holds no request
    Given endless: a plain server that answers with <flood> without end
    And endless: it answers questions whether it reads like that, too
    When endless: "print" is asked for with 1 second left
    Then endless: the client is told whether the server got the request
    And endless: the server got rid of no more than an answer may have
    And endless: the connection is closed

    Examples:
      | flood                                |
      | header lines                         |
      | interim answers                      |
      | a body                               |
      | a body of single bytes               |
      | a body that ends with its connection |

  # Guards against callers that get no answer although another server could give it.
  Scenario Outline: A request that may be repeated is served by another server
    Given endless: a plain server that answers with <flood> without end
    And endless: a sound plain server
    When endless: "notify" is asked for 8 times, one after the other
    Then endless: all are answered and the server in trouble got few requests

    Examples:
      | flood            |
      | header lines     |
      | interim answers  |
      | a body           |
      | a refusal's body |

  # Guards against calls to the store, to peers and to servers that never end.
  Scenario Outline: <call> that is answered with <flood> without end fails
    Given endless: a peer that answers with <flood> without end
    When endless: <call> is made
    Then endless: the call has failed
    And endless: the server got rid of no more than an answer may have
    And endless: the connection is closed

    Examples:
      | call              | flood                  |
      | a listing         | interim answers        |
      | a listing         | a body                 |
      | a listing         | a body of single bytes |
      | a watch           | a body                 |
      | a snapshot        | header lines           |
      | a snapshot        | a body                 |
      | a snapshot        | a body of single bytes |
      | a report          | a body                 |
      | a health check    | a body                 |
      | a usage report    | a body                 |
