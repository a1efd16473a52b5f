# The relays of tests pass on what the two sides of a connection do, and nothing else.
Feature: Relays between clients and servers

  # Guards against relays that end both directions when one side closes its own.
  Scenario Outline: The side that goes on is heard once the <first> sends no more
    Given relays: a connection through a relay
    When relays: the <first> sends "first" and closes its sending side
    Then relays: the <second> receives "first" and the end
    When relays: the <second> sends "second" and closes its sending side
    Then relays: the <first> receives "second" and the end

    Examples:
      | first  | second |
      | client | server |
      | server | client |

  # Guards against relays that turn a reset into the end of what a side sends.
  Scenario Outline: A reset by the <first> reaches the <second> as a reset
    Given relays: a connection through a relay
    When relays: the <first> resets the connection
    Then relays: the <second> sees a reset

    Examples:
      | first  | second |
      | client | server |
      | server | client |

  # Guards against servers that go on for clients that have left.
  Scenario Outline: A reset by the <first> that had closed its sending side is passed on
    Given relays: a connection through a relay
    When relays: the <first> sends "first" and closes its sending side
    Then relays: the <second> receives "first" and the end
    When relays: the <first> resets the connection
    Then relays: the <second> sees a reset when it writes

    Examples:
      | first  | second |
      | client | server |
      | server | client |

  Scenario: The relay's own reset is seen by both sides
    Given relays: a connection through a relay
    When relays: the relay resets its connections
    Then relays: the client sees a reset
    And relays: the server sees a reset

  # Guards against partitions that the end of a connection gets through.
  Scenario Outline: The <first> that <ends> during a cut is heard after it
    Given relays: a connection through a relay
    And relays: the way from the <first> is cut
    When relays: the <first> <ends>
    Then relays: the <second> receives nothing
    When relays: the cut ends
    Then relays: the <second> <sees>

    Examples:
      | first  | second | ends                                       | sees                            |
      | client | server | sends "first" and closes its sending side | receives "first" and the end |
      | server | client | sends "first" and closes its sending side | receives "first" and the end |
      | client | server | resets the connection                      | sees a reset                    |
      | server | client | resets the connection                      | sees a reset                    |

  # Guards against silenced connections that tell of the other side's end.
  Scenario Outline: A silenced connection stays open when the <first> <ends>
    Given relays: a connection through a relay
    And relays: the connection is silenced
    When relays: the <first> <ends>
    Then relays: the <second> receives nothing

    Examples:
      | first  | second | ends                                       |
      | client | server | sends "first" and closes its sending side |
      | server | client | sends "first" and closes its sending side |
      | client | server | resets the connection                      |
      | server | client | resets the connection                      |

  # Guards against requests that are late as the process of the test is busy.
  Scenario: Data passes while the process that started the relays stands still
    When relays: a process that has started a relay is stopped
    Then relays: what a client sends through it arrives

  # Guards against relays that go on when the test that started them was killed.
  Scenario: The relays end with the process that started them
    When relays: a process that has started a relay is killed
    Then relays: the relay's port refuses connections
