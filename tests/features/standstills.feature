# A gateway process stands still (SIGSTOP, SIGCONT) for longer than a limit in force.
Feature: Limits that fall due while a gateway stands still

  # Guards against closing connections that hold a request which came in time.
  Scenario: Requests that came while idle limits fell due are answered
    Given standstill: a gateway with an "idle_timeout_ms" of 1000
    When standstill: whole requests come 400 ms into a standstill of 2000 ms
    Then standstill: all are answered with 200

  # Guards against refusing requests whose head was complete in time.
  Scenario: Requests that were completed while head limits fell due are answered
    Given standstill: a gateway with an "header_timeout_ms" of 500
    When standstill: the rest of requests comes 200 ms into a standstill of 2000 ms
    Then standstill: all are answered with 200

  # Guards against limits that end nothing any more.
  Scenario: A connection without a request is closed after a standstill
    Given standstill: a gateway with an "idle_timeout_ms" of 1000
    When standstill: no request comes in a standstill of 2000 ms
    Then standstill: all connections are closed

  # Guards against limits that end nothing any more.
  Scenario: A head that is incomplete after a standstill is refused
    Given standstill: a gateway with an "header_timeout_ms" of 500
    When standstill: a part of the rest of requests comes 200 ms into a standstill of 2000 ms
    Then standstill: all are answered with 408
