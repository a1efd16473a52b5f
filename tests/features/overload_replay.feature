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
