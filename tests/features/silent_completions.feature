# The first daemon: an engine falls silent for longer than a token may take and goes on.
Feature: Completions whose engine falls silent

  # Guards against completions that are broken off while no other engine can go on.
  Scenario: A completion is whole although its only engine falls silent
    Given completion: 1 engine, of which the first pauses after two tokens
    When completion: a caller reads a completion of four tokens
    Then completion: it is whole, and 1 engine was asked

  # Guards against callers that wait for a silent engine while another one can go on.
  Scenario: A completion goes on at another engine while its own is silent
    Given completion: 2 engines, of which the first pauses after two tokens
    When completion: a caller reads a completion of four tokens
    Then completion: it is whole, and 2 engines were asked
