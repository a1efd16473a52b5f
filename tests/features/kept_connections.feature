# Clients keep connections open and use them again within the idle time in force.
Feature: Kept connections of clients

  # Guards against whole requests that cross the close of a connection that closes early.
  Scenario Outline: A request on a connection that was idle for less than the limit is answered
    Given kept: an instance with an idle time of <limit> ms
    When kept: a client <begins> and is idle for 100 ms
    Then kept: its next request on the same connection is answered

    Examples:
      | limit | begins                |
      | 490   | has been answered     |
      | 490   | has opened connection |

  # Guards against a raised limit that connections which are idle already don't get.
  Scenario Outline: A connection that is idle while the limit is raised gets the new limit
    Given kept: an instance with an idle time of 1000 ms
    When kept: a client <begins> and is idle for 0 ms
    And kept: the idle time is raised to 15000 ms, and the client is idle for 1500 ms
    Then kept: its next request on the same connection is answered

    Examples:
      | begins                |
      | has been answered     |
      | has opened connection |

  # Guards against connections that stay open for good, as their limit was changed.
  Scenario Outline: A connection is closed once it has been idle for the limit
    Given kept: an instance with an idle time of 490 ms
    When kept: a client <begins> and is idle for 0 ms
    Then kept: the instance closes the connection

    Examples:
      | begins                 |
      | has been answered      |
      | has opened connection  |
      | has sent an empty line |

  # Guards against a head that gets the limit of idle connections, and no 408.
  Scenario Outline: A head that begins beside an earlier response has the head's limit
    Given kept: a server with limits of 0.2 s while idle and of 0.8 s for a head
    When kept: a client sends a request and a half, and the rest <when>
    Then kept: it gets statuses <statuses>

    Examples:
      | when        | statuses |
      | after 0.4 s | 200, 200 |
      | never       | 200, 408 |

  # Guards against refused connections that stay open for as long as their clients like.
  Scenario: A connection whose head was malformed is closed
    Given kept: a server with limits of 0.2 s while idle and of 0.8 s for a head
    When kept: a client sends a malformed head and goes on for 0.4 s
    Then kept: it gets statuses 400
    And kept: its connection is closed

  # Guards against requests on a connection whose close is still due in the event loop.
  Scenario: A client sees that its idle connection ends although the event loop is busy
    Given kept: a server with limits of 0.2 s while idle and of 0.8 s for a head
    When kept: the event loop has other work once an idle connection is to be closed
    Then kept: its client sees the end of the connection meanwhile

  # Guards against clients that are refused since they wait to be asked for bodies.
  Scenario: A client that announces the bodies of its requests is asked for them
    Given kept: an instance with an idle time of 15000 ms
    When kept: a client sends 2 requests, whose bodies follow once it is asked for them
    Then kept: it gets statuses 100, 200, 100, 200
