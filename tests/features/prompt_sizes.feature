Feature: Whoever is on call sees which sizes of prompts are served

  # The prompts of one route have 3,000 to 100,000 tokens. What is large for one route is
  # small for another, so each is compared with its own.
  Scenario: A prompt is large among those of its route
    Given sizes: prompts of 1 to 100 thousand tokens on "histories" in any order
    Then sizes: on "histories" 95000 tokens are of the "largest tenth"
    And sizes: on "histories" 80000 tokens are of the "next fifth"
    And sizes: on "histories" 60000 tokens are of the "rest"

  Scenario: Prompts of one size are not large
    Given sizes: 50 prompts of 12000 tokens on "checks"
    Then sizes: on "checks" 12000 tokens are of the "rest"

  Scenario: The first prompts of a route are not large
    Then sizes: on "new" 50000 tokens are of the "rest"

  # A shift of the mix is followed: what was large is among the many a while later.
  Scenario: Only the latest prompts of a route are compared with
    Given sizes: prompts of 1 to 100 thousand tokens on "histories" in any order
    And sizes: 200 prompts of 95000 tokens on "histories"
    Then sizes: on "histories" 95000 tokens are of the "rest"

  Scenario: Routes that come and go don't fill the memory
    Given sizes: one prompt each on 1000 routes
    Then sizes: at most 256 routes are remembered

  Scenario: Log and metrics tell how large prompts ended
    Given routes: a store with a configuration
    And routes: an engine "p1" that reads
    And routes: an engine "d1" that writes
    And routes: an instance
    When routes: a client asks for "digest" as "r1"
    Then routes: the answer is whole with 6 pieces
    And sizes: one prompt of the "rest" was "served"

  Scenario: Log lines add up to what was served by size
    Then sizes: of logged requests the table shows "digest 10 4 3 2 1"
