Feature: Large prompts are served too when engines are overloaded

  # Callers with long case histories are served a third as often as those with short
  # ones. 131 histories a second of 1,000 to 130,000 tokens, and more urgent prompts of
  # other routes, ask for twice what the engines can prefill. A prompt goes first while it
  # is expected on time or, by lot, if it is large: large was what takes long to prefill,
  # and with nothing kept that is nearly every history, so the lots fell on all alike. Of
  # the largest tenth 0.24, 0.22 and 0.15 were served, of all 0.55, 0.49 and 0.50; with
  # large prompts told by their route's own sizes 0.46, 0.37 and 0.40 of 0.61, 0.62, 0.57.
  Scenario: The largest prompts of a route are served half as often as all, or more
    When replay: 24 of 70 engines prefill what 84 instances get, drawn by 2, 3 and 5
    Then replay: of the largest tenth of each route half as many are served as of all

  # Customers' ranks stood in for their routes', and as good as all customers have the
  # same: digests due in 545 ms waited behind labels that have two seconds. Served on time
  # were 0.40, 0.52 and 0.42 of the digests and every label; ordered by routes within the
  # customers' rank, 0.78, 0.75 and 0.67 of the digests and 0.62, 0.58 and 0.57 of the
  # labels.
  Scenario: Digests that are soon due don't wait behind labels that have time to spare
    Given replay: 60 instances in 3 domains before 45 engines, 16 of which read
    And replay: 0 instances hear no peer
    When replay: an assistant's requests come twice as often for 5 seconds, drawn by 2, 3 and 5
    Then replay: no kind is served less often than a less urgent one by over 5 in 100, nor on time by over 15 in 100
    And replay: of the largest tenth of each route half as many are served as of all

  # Guards against an order that needs messages: the level goes with the request.
  Scenario: The order holds among instances that hear no peers
    Given replay: 60 instances in 3 domains before 45 engines, 16 of which read
    And replay: 6 instances hear no peer
    When replay: an assistant's requests come twice as often for 5 seconds, drawn by 2, 3 and 5
    Then replay: no kind is served less often than a less urgent one by over 5 in 100, nor on time by over 15 in 100
    And replay: of the largest tenth of each route half as many are served as of all
