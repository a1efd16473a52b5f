# Gateways run as processes behind relays. Connections that are open when the fault comes
# stay open and lose what is sent on them from then on, for good; new ones work.
Feature: Connections that fall silent

  # Guards against instances that route by an old list until a silent watch ends.
  Scenario Outline: Instances learn of leaving servers when their watches fall silent
    Given silence: <count> gateways and clients that go on asking
    When silence: the connections of all gateways to the store fall silent
    And silence: an engine and a plain server report to the store that they drain
    Then silence: all gateways know it after some seconds
    And silence: the draining servers get no further request

    Examples:
      | count |
      | 1     |
      | 4     |

  # Guards against instances that keep an old configuration until a silent watch ends.
  Scenario: Instances learn of a new route when their watches fall silent
    Given silence: 2 gateways and clients that go on asking
    When silence: the connections of all gateways to the store fall silent
    And silence: the operator adds a route
    Then silence: all gateways serve the route after some seconds

  # Guards against an instance that waits for a peer on a connection that fell silent.
  Scenario: An instance learns from a peer although its connection to it fell silent
    Given silence: an instance that has learned the servers of revision 1 from a peer
    When silence: the connections of the instance to its peer fall silent
    And silence: the peer has the servers of revision 2
    Then silence: the instance learns revision 2 without a failed attempt

  # Guards against an instance that asks a peer again and again which hangs.
  Scenario: An instance learns from another peer while the first one hangs
    Given silence: an instance with two peers, of which the first hangs
    When silence: both have told it of revision 1
    Then silence: the instance learns revision 1 after it asked the first one once

  # Guards against a live engine that counts as crashed since kept connections are silent.
  Scenario: An engine whose kept connections fell silent does not count as crashed
    Given silence: 1 gateways and clients that go on asking
    When silence: the kept connections to all servers fall silent
    And silence: 1 prompts and 0 calls are sent at once
    Then silence: it is answered, and no engine was doubted or counts as crashed

  # Guards against a request that is lost once more on each silent connection it gets.
  Scenario: A request that was lost on a silent connection is repeated over a new one
    Given silence: 1 gateways and clients that go on asking
    When silence: the kept connections to all servers fall silent
    And silence: 12 prompts and 12 calls are sent at once
    Then silence: all are answered
