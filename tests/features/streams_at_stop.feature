# An instance that is told to stop serves on until the load balancer has left it, and
# exits at the end of its grace period.
Feature: Streams that begin while an instance stops

  # Guards against streams that are accepted though the process exits before their end.
  Scenario Outline: A stream that can't end before its instance exits, beside <others>
    Given streams at stop: an instance that has learned how long its streams last
    When streams at stop: it is told to stop beside <others>, and one comes too late
    Then streams at stop: that stream was refused as not run, and reached no engine
    And streams at stop: <others> and a late plain request were served

    Examples:
      | others     |
      | 1 stream   |
      | no streams |
