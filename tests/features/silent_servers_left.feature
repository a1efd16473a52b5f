# What follows from staying at a silent server: an instance has to notice all the same that
# its own path is lost, to answer in time, and not to leave a server for nobody.
Feature: Requests that stay at a silent server

  # Guards against an instance that doesn't notice a lost path while its requests wait.
  Scenario Outline: An instance cut off from its servers notices it while <what> waits
    Given left: 3 instances with <decode> decode and <plain> plain servers
    And left: <limit>
    When left: g0 loses all servers and a client asks it on the "<route>" route
    Then left: a request that is sent there 3 s later is served

    Examples:
      | what                                   | decode | plain | route  | limit                     |
      | a request for the only plain server    | 1      | 1     | notify | requests have 2 attempts  |
      | a request that no budget pays for      | 1      | 3     | notify | no retry budget is left   |
      | a stream whose only attempt is used up | 3      | 1     | digest | requests have 1 attempts  |

  # Guards against callers who are told of the time limit long after it.
  Scenario: A request at the only plain server is answered before its path is checked
    Given left: an instance with 0 decode and 1 plain servers, and 2 attempts
    And left: a check of the path that never ends once a client's time is up
    When left: a client asks the only server, which is silent for good
    Then left: the client is told that it has not run within the time limit

  # Guards against a report that an engine answers before it reads a request that waited.
  Scenario: A request that its engine reads just after its report is run by it
    Given left: an instance with 1 decode and 0 plain servers, and 1 attempts
    When left: the engine falls silent for 1.1 s and reads a request 50 ms later
    Then left: the client gets a whole answer, of one run

  # Guards against requests that leave a silent server although no attempt is left.
  Scenario: A request whose last attempt meets a silent server stays there
    Given left: an instance with 0 decode and 6 plain servers, and 2 attempts
    When left: three servers decline a request and the fourth is silent for 1.5 s
    Then left: the client gets a whole answer, of one run
