Feature: Decisions about requests on routes

  Scenario Outline: The longest prefix of a host selects the route
    Given a configuration with the routes "/a/" to "short" and "/a/b/" to "long"
    Then "<path>" on "<host>" selects "<route>"

    Examples:
      | host         | path      | route |
      | site.example | /a/x      | short |
      | site.example | /a/b/x    | long  |
      | SITE.example | /a/b/     | long  |
      | site.example | /a        | none  |
      | site.example | /c/a/     | none  |
      | else.example | /a/x      | none  |

  Scenario: A split gives each service its share, the same on every instance
    Given a route that is split 90 to 10
    Then of 2000 requests the second service gets between 150 and 250
    And each request is given to the same service again

  # Burst of failures: a third of the servers fail for a minute, on eight instances that
  # can't hear each other. The bound holds over all of them in every window.
  Scenario: Repeats of all instances stay within the bound in every window
    Given 8 instances that share a ratio of 0.2 and a slack of 54 in 10 seconds
    When each gets 3 requests a second for 60 seconds and repeats all it may
    Then in no window the repeats exceed the bound
    And at least half of the bound is used

  # An instance that ended stays in the count: it may only be cut off, and spends its
  # part all the same.
  Scenario: The slack of an instance that is not heard any more is not spent by others
    Given 8 instances that share a ratio of 0.0 and a slack of 100 in 10 seconds
    When one hears 20 instances and then none
    Then it may repeat at most 5 times in a window

  Scenario: No rank is put behind what is late in a lower one
    Then the urgency of a late request of a rank comes before the next rank
    And routes keep their order within a customer's rank and ranks never mix
    And the least urgent fits what engines know

  # Three prompts of 20,000 tokens wait at the engine that keeps a shared part. Reading
  # the part again elsewhere would take as long as a new prompt; fetching it does not.
  Scenario: A shared part is fetched from an engine that has a queue
    Given engines "p1" and "p2" that read and "d1" that writes
    And "p1" keeps the shared part and has 60000 tokens to read
    When a prompt with the shared part is placed
    Then "p2" reads it and fetches the part from "p1"

  Scenario: A shared part comes back to the engine that keeps it
    Given engines "p1" and "p2" that read and "d1" that writes
    And "p2" keeps the shared part and has 0 tokens to read
    When a prompt with the shared part is placed
    Then "p2" reads it and fetches nothing

  # Thirty prompts of a lower rank wait. A prompt of the first rank will be read next, so
  # it must not be refused for their sake.
  Scenario: An urgent prompt does not wait for less urgent ones
    Given engines "p1" and "p2" that read and "d1" that writes
    And each reading engine has 400000 tokens of rank 2 to read
    When a prompt of rank 0 is placed
    Then it is expected within 500 milliseconds
    When a prompt of rank 2 is placed
    Then it is refused with a time to come back

  # Overload: as many prompts wait as can still be on time. The next one is put behind
  # all that are on time instead of making them late.
  Scenario: A late prompt waits behind those that are on time
    Given engines "p1" and "p2" that read and "d1" that writes
    And each reading engine has 40000 tokens of rank 2 to read
    When a prompt of rank 2 is placed
    Then its urgency is less than that of a prompt on time

  # The largest prompts are late behind any queue. By lot a share of them waits among
  # those on time, or they would never be served while the load lasts.
  Scenario: A share of the large late prompts waits among those on time
    Then of 1000 large late prompts between 250 and 450 are placed as on time
    And none of 1000 small late prompts is

  Scenario: Prompts are read in place only while few are read there
    Given engines "p1" and "p2" that read and "d1" that writes
    And each reading engine has 20000 tokens of rank 2 to read
    Then a prompt of 300 tokens is read in place
    And with 5000 tokens being read there it is read apart

  Scenario: A full engine writes nothing more while another one has room
    Given engines "p1" and "p2" that read and "d1" that writes
    And an engine "d2" that writes in another failure domain
    And "d1" writes 8 streams
    When a prompt of rank 0 is placed
    Then "d2" writes the answer

  Scenario: The reading rate is learned from prompts that waited for nobody
    Given engines that read 60 tokens in a millisecond and need 15 milliseconds for each
    When 200 prompts of 300 to 9000 tokens were read
    Then the learned rate is between 50 and 70 and the time between 10 and 20

  # At a busy fleet hardly any prompt waits for nobody. A rate learned from those alone
  # stays where it began, and everything looks more urgent than it is.
  Scenario: The reading rate is learned from prompts that waited
    Given engines that read 60 tokens in a millisecond and need 15 milliseconds for each
    When 400 prompts were read of which nine in ten waited for others
    Then the learned rate is between 50 and 70 and the time between 10 and 20

  # A peer that was cut off for three seconds: what it had under way has ended or ends by
  # itself, and must not keep everybody away from its engines for ever.
  Scenario: Work of a peer that is silent is not counted for ever
    Given engines "p1" and "p2" that read and "d1" that writes
    And a peer told of 50000 tokens at "p1"
    Then after 1 second they count
    And after 3 seconds they do not

  Scenario: A server that failed is passed over, and tried again after a pause
    Given two plain servers
    When the first fails
    Then the second is chosen for 0.2 seconds
    And the first is chosen again after 1 second

  Scenario: Half an event is held back
    When "id: 1\ndata: a\n\nid: 2\nda" arrives
    Then one event with number 1 is passed on and a part is held back
    When "ta: b\n\n" arrives
    Then one event with number 2 is passed on and nothing is held back

  Scenario Outline: A datagram that is no beacon is dropped
    Then the datagram <bytes> is malformed

    Examples:
      | bytes                |
      | empty                |
      | random               |
      | a list of nothing    |
      | a negative count     |
      | another version      |

  Scenario: A beacon comes back as it was sent
    Then a beacon with loads, cached parts and demands decodes as it was encoded
    And its demands keep the columns that the release before reads

  # Guards against one peer's bad figures that make an engine look infinitely fast.
  Scenario Outline: A beacon with a speed that is no count is dropped
    Then a beacon whose speed of an engine is <value> is malformed

    Examples:
      | value    |
      | missing  |
      | negative |
      | a text   |

  # Words of the platform outside the adapter would have to be changed in many places
  # when the platform changes one.
  Scenario: Only the adapter knows the platform's names
    Then no module outside the adapter holds a name of the platform's wire
