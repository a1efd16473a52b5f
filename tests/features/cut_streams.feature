Feature: Streams that are ended at their time limit

  # Guards against a cut answer whose line leaves open which limit ended it.
  Scenario Outline: The line of a stream cut by the limit of its <source> names that limit
    Given cut streams: an engine that sends 20 events in two seconds
    And cut streams: a route with a limit of <route_ms> ms, lowered from 8000 ms
    When cut streams: a client that waits for <client_ms> ms asks for a stream
    Then cut streams: its answer is not whole
    And cut streams: the line names <limit_ms> ms of the <source> and version 2

    Examples:
      | source | route_ms | client_ms | limit_ms |
      | route  | 600      | 5000      | 600      |
      | client | 5000     | 700       | 700      |
