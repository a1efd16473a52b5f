# A server is asked whether it reads before a request is written to it, so that nothing of
# a request lies unread at one that stands still.
Feature: Servers that show that they read

  # Guards against requests that are lost or late at servers that answer differently.
  Scenario Outline: A server that <manner> gets whole requests
    Given liveness: a server that <manner>
    When liveness: 3 requests are sent to it, one after the other
    Then liveness: all are answered, and the server got each body once
    And liveness: none of its heads announced a body, and they came over <connections> connections

    Examples:
      | manner                 | connections |
      | answers                | 1           |
      | hints and answers      | 1           |
      | closes after questions | 3           |
      | is full                | 1           |

  # Guards against requests to a server that has stopped since it was last heard.
  Scenario: A server is asked before each request
    Given liveness: a server that answers
    When liveness: 3 requests are sent to it, one after the other
    Then liveness: it was asked 3 times

  # Guards against an answer that came before this process stood still.
  Scenario: A server is asked anew if this process stood still since its answer
    Given liveness: a server that answers
    When liveness: this process stands still once before it sends a request
    Then liveness: it was asked 2 times

  # Guards against connections that are lost with each request that is declined.
  Scenario: A server that declines requests keeps its connection
    Given liveness: a server that declines
    When liveness: 3 requests are sent to it, one after the other
    Then liveness: all are declined, over 1 connection

  # Guards against connections whose ids take up memory without end.
  Scenario: A connection is closed after 256 requests
    Given liveness: a server that declines
    When liveness: 600 requests are sent to it, one after the other
    Then liveness: all are declined, over 3 connections

  # Guards against answers that are lost since the server has not read the body.
  Scenario: A server that answers before the body and closes is heard to the end
    Given liveness: a server that answers at length and closes
    When liveness: 2 requests are sent to it, one after the other
    Then liveness: both get the whole answer

  # Guards against requests that a server reads when it goes on after they were given up.
  Scenario: A request that is given up at a server that stands still never reaches it
    Given liveness: a server that answers
    And liveness: it has answered a request
    When liveness: it stands still, and a request is given up 0.5 s later
    Then liveness: it gets no other request when it goes on

  # Guards against unread calls of our own that no log tells from clients' requests.
  Scenario: Questions that are given up are reported
    Given liveness: a server that answers
    When liveness: it stands still, and a request is given up 0.5 s later
    Then liveness: 2 questions are reported that its machine had acknowledged

  # Guards against errors that are logged for answers which are no reports.
  Scenario: The health check of a plain server with a start time is not read as a report
    Given liveness: a server that answers
    And liveness: its entry tells when it started
    When liveness: 2 requests are sent to it, one after the other
    Then liveness: no error is logged

  # Guards against requests that lie at servers which an instance does not know yet.
  Scenario: A request for a server that stands still and has never answered is not sent
    Given liveness: a server that answers
    When liveness: it stands still, and a request is given up 0.5 s later
    Then liveness: it gets no other request when it goes on

  # Guards against questions that pile up at a server that stands still.
  Scenario: A server that stands still is asked for one request at a time
    Given liveness: a server that answers
    And liveness: it has answered a request
    When liveness: it stands still, and 6 requests are given up, of which 5 came 0.3 s later
    Then liveness: it finds 2 questions when it goes on
    And liveness: 1 question was answered and 2 were not

  # Guards against requests that wait for an answer to one which has left.
  Scenario: A request asks anew if the one that asked before it leaves
    Given liveness: a server that answers
    And liveness: it has answered a request
    When liveness: it stands still, the request that asks leaves, and another one waits
    Then liveness: it is answered

  # Guards against requests that leave an engine which goes on and is about to read them.
  Scenario Outline: A request that an engine's report lacks may be on its way there
    Then liveness: a request that was sent <sent> ms ago, which a report asked for <reported> ms ago lacks, <state>

    Examples:
      | sent | reported | state            |
      | no   | 20       | is under way     |
      | no   | 150      | is not under way |
      | 30   | 20       | is under way     |
      | 90   | 20       | is under way     |
      | 190  | 20       | is not under way |

  # Guards against answers that are lost since a server stood still for a while.
  Scenario: A request that waits at a server that stands still is answered when it goes on
    Given liveness: a server that answers
    And liveness: it has answered a request
    When liveness: it stands still for 0.5 s, and a request is sent
    Then liveness: it is answered

  # Guards against servers that work on a request when its client has left.
  Scenario: A server is told the time that is left once it has shown that it reads
    Given liveness: a server that answers
    When liveness: it stands still for 0.5 s of the 5 s that a request has
    Then liveness: it is told that 4.5 s are left

  # Guards against requests that are sent to a server which left before it went on.
  Scenario Outline: A server that <leaves> before it goes on gets no request
    Given liveness: a server that answers
    And liveness: it has answered a request
    When liveness: it stands still, <leaves> and goes on while a request waits
    Then liveness: the request is withheld, and the server gets no other request

    Examples:
      | leaves            |
      | drains            |
      | is listed no more |

  # Guards against a call that is lost on a silent connection.
  Scenario Outline: A <kind> request does without a kept connection that fell silent
    Given liveness: a server that ignores kept connections
    And liveness: it has answered a request
    When liveness: 200 ms later another <kind> request is sent
    Then liveness: it is answered

    Examples:
      | kind         |
      | repeatable   |
      | unrepeatable |

  # Guards against the answer to a question that is taken for the answer to a request.
  Scenario: A late answer to an earlier request is no answer to a question
    Given liveness: a server that answers an earlier request first
    And liveness: it has answered a request
    When liveness: 200 ms later another unrepeatable request is sent
    Then liveness: it is answered

  # Guards against a call that may not be repeated and counts as not run without proof.
  Scenario: A server that closes the connection after a head may have run a request
    Given liveness: a server that closes
    When liveness: 1 requests are sent to it, one after the other
    Then liveness: their outcome is unknown

  # Guards against an instance that keeps reading interim responses without end.
  Scenario: A server that sends interim responses without end is given up
    Given liveness: a server that sends hints without end
    When liveness: 1 requests are sent to it, one after the other
    Then liveness: their outcome is unknown
