# A request's head announces that its body follows once the server asks for it, so that
# no whole request lies unread at a server that stands still.
Feature: Servers that ask for the bodies of requests

  # Guards against requests that are lost or late at servers that answer differently.
  Scenario Outline: A server that <manner> gets whole requests
    Given body: a server that <manner>
    When body: 3 requests are sent to it, one after the other
    Then body: all are answered, and the server got each body once
    And body: <announced> of its heads announced the body, over <connections> connections

    Examples:
      | manner         | announced | connections |
      | asks           | 3         | 1           |
      | hints and asks | 3         | 1           |
      | ignores        | 1         | 1           |
      | rejects        | 1         | 2           |

  # Guards against connections that are lost with each request that is declined.
  Scenario: A server that declines requests before their bodies keeps its connection
    Given body: a server that declines
    When body: 3 requests are sent to it, one after the other
    Then body: all are declined, over 1 connection

  # Guards against answers that are lost since the server resets a late body.
  Scenario: A server that answers before the body and closes is heard to the end
    Given body: a server that answers at length and closes
    When body: 2 requests are sent to it, one after the other
    Then body: both get the whole answer

  # Guards against servers that count as deaf since they declined their first request.
  Scenario: A server that declined its first request is still asked first
    Given body: a server that declines
    When body: 1 requests are sent to it, one after the other
    And body: it asks from now on, and 1 more request is sent
    Then body: 2 of its heads announced the body, over 1 connections

  # Guards against requests that a server reads when it goes on after they were given up.
  Scenario: A request that is given up at a server that stands still is never whole
    Given body: a server that asks
    And body: it has answered a request
    When body: it stands still, and a request is given up 0.5 s later
    Then body: it gets no other body when it goes on

  # Guards against requests that lie whole at servers which an instance does not know yet.
  Scenario: A request for a server that stands still and has never answered is not whole
    Given body: a server that asks
    When body: it stands still, and a request is given up 0.5 s later
    Then body: it gets no other body when it goes on

  # Guards against requests that leave an engine which goes on and is about to read them.
  Scenario Outline: A request that an engine's report lacks may be on its way there
    Then body: a request that was sent whole <sent> ms ago, which a report asked for <reported> ms ago lacks, <state>

    Examples:
      | sent | reported | state            |
      | no   | 20       | is under way     |
      | no   | 150      | is not under way |
      | 30   | 20       | is under way     |
      | 90   | 20       | is under way     |
      | 190  | 20       | is not under way |

  # Guards against answers that are lost since a server stood still for a while.
  Scenario: A request that waits at a server that stands still is answered when it goes on
    Given body: a server that asks
    And body: it has answered a request
    When body: it stands still for 0.5 s, and a request is sent
    Then body: it is answered

  # Guards against requests that are sent to a server which left before it asked.
  Scenario Outline: A server that <leaves> before it asks for a body does not get it
    Given body: a server that asks
    And body: it has answered a request
    When body: it stands still, <leaves> and goes on while a request waits
    Then body: the request is withheld, and the server gets no other body

    Examples:
      | leaves            |
      | drains            |
      | is listed no more |

  # Guards against a call that may not be repeated and counts as not run without proof.
  Scenario: A server that closes the connection before it asks may have run a request
    Given body: a server that closes
    When body: 1 requests are sent to it, one after the other
    Then body: their outcome is unknown

  # Guards against an instance that keeps reading interim responses without end.
  Scenario: A server that sends interim responses without end is given up
    Given body: a server that sends hints without end
    When body: 1 requests are sent to it, one after the other
    Then body: their outcome is unknown
