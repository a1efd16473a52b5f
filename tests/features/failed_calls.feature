# A plain server that falls silent for a second, or loses its connections at once, fails
# all calls with it. They have one cause, and say no more than a single one.
Feature: Plain servers that fail several calls at once

  # Guards against sound servers that are avoided for five seconds after a silent one.
  Scenario: A server that failed ten calls at once is used again as after one call
    Given calls: two plain servers
    When calls: the first fails 10 calls from 0.0 to 0.1 seconds
    Then calls: the first is left out after 0.2 seconds
    And calls: the first is used after 0.4 seconds

  # Guards against failures that are forgotten, so that a failing server is used again
  # and again.
  Scenario: A server that fails when it is used again is left out for longer
    Given calls: two plain servers
    When calls: the first fails 10 calls from 0.0 to 0.1 seconds
    And calls: the first fails 10 calls from 0.5 to 0.6 seconds
    Then calls: the first is left out after 1.0 seconds
    And calls: the first is used after 1.2 seconds
