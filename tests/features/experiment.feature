Feature: The experiment tool compares variants of the code on the same loads

  Scenario Outline: A variant that can't be applied is refused
    Then the variant "<text>" is refused

    Examples:
      | text                                           |
      | fast=prefill                                   |
      | fast=decisions.disaggregation._STREAM_DELAY    |
      | fast=decisions.disaggregation._NO_SUCH=1       |
      | fast=decisions.disaggregation._STREAM_DELAY=;x |

  # Days differ by far more than a change is worth. Compared pair by pair, what is left
  # is the change.
  Scenario: Differences are taken pair by pair
    Given a variant that earns 0.01 more than the base on days of 0.2, 0.5 and 0.9
    Then its difference is 0.010 with an error of 0.000
    And its worst day is the one of 0.2

  Scenario: What the users' bench reports becomes a result
    Then a report of a day is read with its worth, orders, losses and broken rules

  Scenario: A small experiment on the emulator shows what a mechanism is worth
    When an experiment plays "shift" on three engines with a worse variant
    Then the base comes out as it did before
    And the variant differs from it
