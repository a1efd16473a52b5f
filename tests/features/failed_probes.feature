# The first daemon sends a server that keeps failing nothing but a probe from time to time.
Feature: Servers that are sent probes only

  # Guards against sound servers that get nothing for minutes after a silent second.
  Scenario: What was sent before a server was ejected doesn't postpone its probe
    Given probes: four servers of which one has failed and is ejected
    When probes: 10 of its earlier calls fail too
    Then probes: it may be probed after 6 seconds

  # Guards against probes that come as often as before although they fail.
  Scenario: A probe that fails postpones the next one
    Given probes: four servers of which one has failed and is ejected
    When probes: a probe is sent after 6 seconds and fails
    Then probes: it may not be probed after 14 seconds
    And probes: it may be probed after 17 seconds
