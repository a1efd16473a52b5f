# Sound servers fall silent for a second and go on, beside planned changes only. A feature of
# its own, so that it is played beside the other runs of the soak.
Feature: A seeded run of the soak with silent servers

  # Guards against answers that are given up while a sound server is silent for a second.
  Scenario Outline: No answer is lost while servers fall silent for a second and go on
    When the soak plays seed <seed> for 8 seconds of pauses and changes
    Then no promise was broken and most requests were served

    Examples:
      | seed |
      | 4    |
      | 5    |
