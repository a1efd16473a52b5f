# An engine that falls silent for a second, or loses its connections at once, breaks off
# all exchanges with it. They have one cause, and say no more than a single one.
Feature: Engines that break off several exchanges at once

  # Guards against sound engines that are avoided for eight seconds after a silent one.
  Scenario: An engine that broke off ten exchanges at once is tried again after a second
    Given failed: two engines that decode
    When failed: the first breaks off 10 exchanges within 0.2 seconds
    Then failed: the first is left out 0.5 seconds later
    And failed: the first is used 1.3 seconds later

  # Guards against prefill engines that are ordered to decode while decode engines pause.
  Scenario: Exchanges that broke off at once don't make a stage empty
    Given 3 engine that reads and 2 that write with 5 streams each
    And 2 of those that write have broken off 10 exchanges at once
    When 50000 tokens a second are to be read for 2 seconds
    Then nothing is planned

  # Guards against an empty stage that is not refilled, as its failures count only once.
  Scenario: Engines that fail whenever they are tried make a stage empty
    Given 3 engine that reads and 2 that write with 5 streams each
    And 2 of those that write have broken off 10 exchanges at once
    And 2 of those that write have broken off another one 0.4 seconds later
    When 50000 tokens a second are to be read for 2 seconds
    Then the first is planned to write within 2 seconds

  # Guards against all prompts going to an engine that may still be out of reach.
  Scenario: One request at a time tries an engine that has failed
    Given failed: two engines that decode
    When failed: the first breaks off 1 exchanges within 0.0 seconds
    And failed: a request is sent to the first 1.1 seconds later
    Then failed: the first is left out 1.2 seconds later
    When failed: the first sends two events
    Then failed: the first is used 1.3 seconds later

  # Guards against failures that are forgotten, so that a failing engine is tried again
  # and again.
  Scenario: An engine that fails when it is tried is left out for longer
    Given failed: two engines that decode
    When failed: the first breaks off 10 exchanges within 0.2 seconds
    And failed: the first breaks off 10 exchanges from 1.5 to 1.7 seconds later
    Then failed: the first is left out 3.3 seconds later
    And failed: the first is used 3.8 seconds later
