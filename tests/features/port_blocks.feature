Feature: Ports of test runs on one machine

  # Guards against runs of the suite that take each other's ports.
  Scenario: Two processes whose ids choose the same block of ports get different ones
    When ports: two processes whose ids choose the same block list all their ports
    Then ports: no port is listed by both
