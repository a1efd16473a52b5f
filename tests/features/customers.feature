Feature: Requests bear a customer's key

  Background:
    Given customers: a store with customers "north" and "south"
    And routes: an engine "d1" that writes
    And routes: an instance
    And routes: a plain server "a1"

  # Guards against a server that takes a request for another customer's, and against keys
  # that leave the system.
  Scenario Outline: A server hears the customer's name and never the key
    When customers: "north" asks for "<route>" and claims to be "south"
    Then customers: the server was told "<told>" and no key

    Examples:
      | route  | told    |
      | notify | north   |
      | print  | north   |
      | digest | north   |
      | open   | nobody  |

  # Guards against a client that has the customer's name dropped on the way.
  Scenario: A client can't have its customer's name removed
    When customers: "north" asks for "notify" and names the customer a connection field
    Then customers: the server was told "north" and no key

  # Guards against requests that run for nobody, or for somebody by guess.
  Scenario: A request without exactly one known key is refused at once
    When customers: a client asks for "notify" with each of
      | keys                  |
      | no key                |
      | an empty key          |
      | an unknown key        |
      | the key in other case |
      | the same key twice    |
      | two keys              |
    Then customers: each is refused with 401, not run, and no server got one

  # Guards against a key that is refused for the white space around a header's value.
  Scenario: White space around a key is not part of it
    When customers: a client asks for "notify" with spaces around the key
    Then routes: the status is 200

  # Guards against a rotation of keys that cuts a customer off.
  Scenario: A customer's second key goes on when the first is taken away
    When customers: the first key of "north" is taken away
    Then customers: the first key of "north" is refused and the second is served

  Scenario: A key that is added is served
    When customers: a third key of "north" is added
    Then customers: the third key of "north" is served

  # Guards against keys that one instance alone goes on serving, or refuses.
  Scenario: An instance that hears of keys from a peer alone follows them
    When routes: a second instance starts while it can't reach the store
    And customers: the first instance alone hears that keys of "north" have changed
    Then customers: the second instance serves the new key and refuses the old one

  # Guards against a request that outlives its key in a queue.
  Scenario: A request that waits while its key goes is refused and never runs
    When customers: the key goes while its request waits for an engine
    Then customers: it is refused with 401, not run, and no server got it

  # Guards against "overloaded, come back" for a client whose key is not known any more.
  Scenario: A request that waits for a permit while its key goes is told so
    When customers: the key goes while its request waits for a permit
    Then customers: it is refused with 401, not run, and no server got it

  # Guards against a second run for a customer that has been shut out meanwhile.
  Scenario: A stream that breaks after its key went is not resumed
    Given routes: an engine "d2" that writes
    When customers: the key goes before the stream of its request breaks
    Then customers: one engine ran it and the answer does not look whole

  # Guards against a key that is refused for good because an instance lost the store.
  Scenario: An unknown key is asked to come back while the store is away
    When customers: the store goes away and an unknown key is tried
    Then customers: it may come back later

  # Guards against an unknown key that comes back for ever at one instance.
  Scenario: An unknown key is refused for good by an instance that only its peers keep current
    When customers: the store goes away, a peer goes on reading it and an unknown key is tried
    Then customers: it is refused for good

  # Guards against a route or key that is refused for good by an instance which knows that
  # its peers have a newer configuration.
  Scenario Outline: What a newer configuration may allow is not refused for good
    When customers: a peer announces a newer configuration and <what> is tried
    Then customers: it may come back later

    Examples:
      | what             |
      | an unknown key   |
      | an unknown route |

  # Guards against a customer's order in the queues that only some places know of.
  Scenario Outline: A customer's rank goes before its route's
    When customers: "<customer>" asks for "digest"
    Then customers: the engine is asked with an urgency from <least> to <most>

    Examples:
      | customer | least | most |
      | north    | 0     | 2    |
      | south    | 3     | 5    |

  # Guards against one customer that is taken for two when servers end under a request.
  Scenario: A request has one digest whichever key of its customer it bears
    When customers: "north" asks for the same with both of its keys
    And customers: "south" asks for the same
    Then customers: the log names the first two alike and the third otherwise

  # Guards against keys in clear where many people read.
  Scenario: No key stands in what a run writes
    When customers: all kinds of requests are made and servers fail
    Then customers: no log line, metric or datagram holds a key

  # Guards against a storm of versions that leaves old keys in force.
  Scenario: Of many versions in a row the newest keys are in force
    When customers: twenty versions follow each other, each with another key
    Then customers: the last key is served and the one before is refused

  # Guards against one wrong entry that shuts everybody out, or lets everybody in.
  Scenario: A configuration with a wrong customer leaves the last one in force
    When customers: versions come in which "north" has
      | mistake             | named |
      | no list of keys     | north |
      | a number as its key | north |
      | an empty key        | north |
      | the key of "south"  | south |
      | a word as priority  | north |
    Then customers: each error names the customer and no key
    And customers: the keys of before are in force

  # Guards against requests with a level that engines don't know, rejected one by one.
  Scenario: A configuration with a rank below 0 leaves the last one in force
    When customers: a version comes in which "digest" has the priority -1
    Then customers: each error names the customer and no key
    And customers: the keys of before are in force

  Scenario: Fields of a customer that are not known are passed over
    When customers: a version comes in which "north" has an unknown field
    Then customers: the new version is in force
