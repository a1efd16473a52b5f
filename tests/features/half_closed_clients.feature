# A client may close its sending side behind its last request and wait for the answer.
Feature: Clients that close their sending side

  # Guards against requests that end without an answer as their clients send no more.
  Scenario Outline: A request of "<route>" whose client sends no more is answered <statuses>
    Given half: a server that <fault>
    When half: a client sends <requests> to "<route>" and closes its sending side, <when>
    Then half: it gets statuses <statuses>

    Examples: Right behind the request
      | route  | fault            | requests   | when        | statuses |
      | notify | answers          | 1 requests | at once     | 200      |
      | notify | answers          | 2 requests | at once     | 200, 200 |
      | print  | answers          | 1 requests | at once     | 200      |
      | print  | answers slowly   | 1 requests | at once     | 200      |
      | notify | answers slowly   | 1 requests | at once     | 502      |
      | draft  | is stuck         | 1 requests | after 0.05 s | 502      |

    Examples: As a client that leaves does
      | route  | fault            | requests   | when        | statuses |
      | notify | is stuck         | 1 requests | after 0.3 s | 502      |
      | print  | is stuck         | 1 requests | after 0.3 s | 502      |

  # Guards against servers that work on for clients that have left.
  Scenario Outline: A server soon stops work on "<route>" for a client that closed <when>
    Given half: a server that is stuck
    When half: a client sends 1 requests to "<route>" and closes its connection, <when>
    Then half: the server is told that the request is cancelled

    Examples:
      | route  | when        |
      | notify | at once     |
      | notify | after 0.3 s |
      | print  | after 0.3 s |
      | draft  | at once     |
      | draft  | after 0.3 s |

  # Guards against requests that are passed on although their clients have given up.
  Scenario: A request that is read long after its client closed reaches no server
    Given half: a server that answers
    When half: a client sends a request and closes its side while the instance is blocked
    Then half: it gets statuses 503
    And half: no server has run the request

  # Guards against requests that reach a server long after their client has left.
  Scenario: A declined request goes to no other server once its client sends no more
    Given half: a server that declines slowly
    When half: a client sends 1 requests to "print" and closes its sending side, at once
    Then half: it gets statuses 503
    And half: no server has run the request
