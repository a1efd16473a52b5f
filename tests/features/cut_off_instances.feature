# Some instances lose the path to all servers, for seconds. Clients, the store and their
# peers still reach them, so the load balancer goes on giving them requests. They try one
# server after the other until each request's time is up.
Feature: Instances without a path to servers

  # Guards against callers who are served worse where an instance has lost all servers.
  Scenario Outline: Instances cut off from all servers serve their callers like the others
    Given cut: 4 instances with servers, and clients at each
    When cut: g0 and g1 lose all servers, <how>, for <contact> s
    Then cut: first attempts there are served as often as the users demand
    And cut: nothing ran twice that must not
    And cut: no request was quarantined

    Examples:
      | how                         | contact |
      | silent                      | 3       |
      | reset                       | 3       |
      | refused                     | 3       |
      | accepted on the way         | 3       |
      | new connections are refused | 3       |
      | new connections hang        | 3       |

  # Guards against the same in processes whose partition delays what is sent.
  Scenario: Gateway processes cut off from all servers serve their callers like the others
    Given cut: 4 gateway processes behind relays, and clients at each
    When cut: nothing passes between g0, g1 and servers for 3 s
    Then cut: first attempts there are served as often as the users demand
    And cut: nothing ran twice that must not

  # Guards against requests that fail since only the engines of one stage are out of reach.
  Scenario Outline: An instance cut off from the engines of one stage serves its callers
    Given cut: 3 instances with servers, and clients at each
    When cut: g0 and g1 lose the <names>, silent, for 3 s
    Then cut: first attempts there are served as often as the users demand

    Examples:
      | names   |
      | readers |
      | writers |

  # Guards against requests passed around among instances that have all lost the servers.
  Scenario: Instances that have all lost the servers forward nothing
    Given cut: 3 instances with servers, and clients at each
    When cut: all instances lose all servers, refused, for 2 s
    And cut: clients go on asking
    Then cut: no request was forwarded meanwhile

  # Guards against an instance that goes on using peers after its own path is back.
  Scenario: An instance whose path is back serves its callers itself
    Given cut: 3 instances with servers, and clients at each
    When cut: g0 and g1 lose all servers, silent, for 2 s
    And cut: the path of g0 and g1 is back
    And cut: clients go on asking
    Then cut: no request was forwarded meanwhile
    And cut: nothing ran twice that must not

  # Guards against a second partition that finds the instance unprepared.
  Scenario: An instance that is cut off twice serves its callers like the others
    Given cut: 3 instances with servers, and clients at each
    When cut: g0 and g1 lose all servers, silent, for 2 s
    And cut: the path of g0 and g1 is back
    And cut: g0 and g1 lose all servers, silent, for 3 s
    Then cut: first attempts there are served as often as the users demand
    And cut: nothing ran twice that must not

  # Guards against answers that are lost with the peer that serves a forwarded request.
  Scenario: Requests survive the end of the peer that serves them
    Given cut: 4 instances with servers, and clients at each
    When cut: g0 and g1 lose all servers, reset, for 2 s
    And cut: a peer ends while it serves requests of g0
    Then cut: those that may be repeated are answered whole
    And cut: nothing ran twice that must not

  # Guards against servers that work on for a client that has left the first instance.
  Scenario: A client that leaves ends its forwarded request at the server
    Given cut: 3 instances with servers, and clients at each
    When cut: g0 and g1 lose all servers, refused, for 2 s
    And cut: a client of g0 leaves before its answer
    Then cut: the server sees its request end

  # Guards against a started stream that ends with the path of its instance.
  Scenario: A stream that its instance has lost goes on through a peer
    Given cut: 3 instances with servers, and clients at each
    When cut: g0 loses all servers, reset, within a stream
    Then cut: the client gets each event once

  # Guards against a peer that answers by an older configuration than the client has seen.
  Scenario: A peer with an older configuration refuses a forwarded request
    Given cut: 3 instances with servers, and clients at each
    When cut: a request that asks for a newer configuration is forwarded to g1
    Then cut: g1 refuses it as not run

  # Guards against instances of two releases that do not understand each other.
  Scenario: Fields that the release before lacks are sent only where needed
    When cut: beacons with and without these fields are encoded
    Then cut: the one without has the fields of the release before
    And cut: both are decoded to what they were
