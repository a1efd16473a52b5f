# An instance without a path to servers has peers serve its requests. Whatever can be lost
# on this second hop must not run twice, look whole when it is not, or go on for nobody.
Feature: Requests that an instance forwards to its peers

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
