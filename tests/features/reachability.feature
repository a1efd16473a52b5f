Feature: What an instance concludes about its path to servers

  # Guards against an instance that takes servers under load for servers out of reach.
  Scenario Outline: A probe that is only silent counts if nothing else is heard
    Given path: an instance that has just probed a server
    When path: the server <answers> another request meanwhile
    And path: the probe is <result>
    Then path: the instance <verdict>

    Examples:
      | answers         | result      | verdict       |
      | does not answer | answered    | has a path    |
      | does not answer | silent      | has lost it   |
      | answers         | silent      | has a path    |
      | answers         | not reached | has lost it   |

  # Guards against probes that all go to the one failure domain that is out of reach.
  Scenario: Servers of the own failure domain and of others are probed
    When path: 6 servers here and 6 elsewhere may be probed
    Then path: 2 of those here and 2 elsewhere are

  # Guards against an overloaded peer, and against one that has just failed.
  Scenario: Requests are spread over peers that can serve them
    Given path: peers "a", "b" and "c" here, and "d" elsewhere
    When path: 40 requests are forwarded and "b" fails
    Then path: "a" and "c" get 13 or 14, "d" gets 12 or 13
    When path: a second passes
    Then path: the next request goes to "b"

  # Guards against answers by a configuration older than one a client has seen at work.
  Scenario: A peer with an older configuration than one used before is passed over
    Given path: peers "a", "b" and "c" here, and "d" elsewhere
    When path: a request is forwarded to "a", which has version 9
    Then path: only "a" is used for the next ones
