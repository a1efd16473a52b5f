Feature: What an instance of a large fleet knows and asks

  Scenario Outline: An engine that is silent is asked what has become of a request
    Then a request is judged "<verdict>" when its engine reports <report>

    Examples:
      | report                     | verdict                   |
      | nothing                    | the engine answers nobody |
      | that it runs the request   | the engine has it         |
      | a queue                    | the engine has it         |
      | that it reads prompts      | the engine has it         |
      | only others' runs          | the engine has lost it    |
      | no work at all             | the engine has lost it    |

  Scenario: In a fleet of today everybody tells everybody
    Given a fleet of 8 instances in 4 domains
    Then each instance tells 7 others

  # Guards against an instance that was replaced at another address and counts for ever:
  # whoever hears it named names it again. Its parts of the shared bounds are lost.
  Scenario: An instance that is gone is forgotten though others have named it
    Given 3 peers of which the last one stops after its first beacon
    When the others exchange beacons for 30 minutes
    Then each of the others counts 2 instances

  # 85 instances: told to all, the beacons of a second would be 28,000. The own domain
  # comes first, and news still reach the other domains.
  Scenario: In a large fleet each instance tells a bounded number of others
    Given a fleet of 88 instances in 4 domains
    Then each instance tells 10 others of its own domain and 3 of other ones
    And news of one instance reach its domain in 3 steps

  # Instances of two domains send to one engine. Each hears of its own domain by its
  # neighbours, and of the other by the sums that any instance there tells; a sum that
  # came back to its domain would be counted twice. Sums grow old like all counts.
  Scenario: The queue of an engine is known by the sums of each domain
    Given an engine at which two near instances have 3000 and 4000 tokens to read
    And two instances of another domain have 500 and 600 tokens to read there
    Then an instance of either domain that hears of the other counts 8100 tokens
    And what each tells of its own domain stays 7000 and 1100 tokens
    And after 3 seconds of silence each counts its own 3000 and 500 tokens

  # 70 engines, more than one datagram holds. Those left out would look idle, and every
  # instance of another domain would choose the same ones.
  Scenario: The sums of a domain leave out no engine that has work
    Given 70 engines, 25 of which read, all with work from one domain
    When an instance of another domain hears its sums
    Then it counts the work of all 70
    When the first domain's work at half of the engines ends and sums are heard again
    Then it counts the work of the other 35

  # What is known of far engines is old, and bytes between domains are dear: a prompt
  # that shares little stays, unless the near queue is longer by more than 60 ms.
  Scenario: In a large fleet short prompts stay in their domain until its queue is longer
    Given a large fleet with engines here and there
    When the near engines have 2000 tokens to read
    Then a prompt that shares nothing is read and written here
    When the near engines have 20000 tokens to read
    Then a prompt that shares nothing is read there

  # A session's prompts arrive in every domain. Kept to each of these, its shared part
  # would be read once in each: with six domains and two prompts a session hardly any
  # second prompt found it.
  Scenario: A session has one home in the whole fleet
    Given a large fleet with engines here and there
    Then prompts of 40 sessions are read at the same engine from here and from there
    And homes stand in both domains
    When an engine that reads leaves
    Then only its own sessions have other homes

  # A session's home has a queue of a second and a half. Another engine reads the prompt
  # and fetches the part that is shared from the home, instead of reading it again.
  Scenario: A prompt that can't wait for its home is fetched from there
    Given a large fleet with engines here and there
    When the home of a session has 80000 tokens to read
    Then a prompt of the session is read elsewhere and fetched from its home

  # The home of a session that shares 60,000 tokens has a queue longer than the client
  # waits, and leaving it is charged more than that. All other engines are idle. Refused,
  # the client would come back to the same queue.
  Scenario: No prompt is refused for its home's queue while other engines are idle
    Given a large fleet with engines here and there
    When the home of a session of 60000 shared tokens has 165000 tokens to read
    Then a prompt of that session is read elsewhere

  # A small fleet has no peers in other domains to tell. Kept for them, what engines cache
  # would fill the process's memory within days.
  Scenario: What nobody is told of engines' caches does not pile up
    When 10000 cached parts are noted and told to near peers only
    Then far peers would be told the newest 60

  # 84 instances see room for a short prompt at an engine that writes, each by counts
  # that are half a second old, and send it ten times what its streams can bear: they
  # stop for seconds, and 544 clients had part of an answer when their time was up.
  Scenario: In a large fleet prompts are read in place only if nobody reads
    Given a large fleet with engines here and there
    When every engine that reads has 40000 tokens to read
    Then a short prompt of 300 tokens is read by another engine
    When no engine reads any more
    Then a short prompt of 300 tokens is read by the engine that answers

  Scenario: A neighbour stands for those of its domain that are not heard
    Given a fleet of 88 instances in 4 domains
    When 11 of the own domain are heard and 1 of another one
    Then each of the own domain counts twice
    And the one of the other domain counts no more than 3 times

  # Three of a domain's instances read the store. The first is frozen: its word grows
  # old, and the fourth one reads.
  Scenario: A reader that falls silent is replaced
    Given instances "a" to "e" of one domain
    When all hear that all would read
    Then "abc" read the store
    When "a" has not been heard for 2 seconds
    Then "bcd" read the store

  Scenario: A reader that loses the store is replaced at once
    Given instances "a" to "e" of one domain
    When all hear that all would read
    And "a" takes its name back
    Then "abcd" read the store

  # Whoever knows no reader reads: a domain that is cut off, an instance that is alone.
  Scenario: An instance that hears nobody reads the store
    Given instances "a" to "e" of one domain
    Then "abcde" read the store

  # Four instances of a domain on sockets. The last one leaves the store to the others and
  # still learns of a new route and of a server that leaves.
  Scenario: An instance that leaves the store to others learns all from them
    Given fleet: a store and instances "a" to "d" of one domain
    When fleet: the instances have settled
    Then fleet: "d" does not read the store and "a" does
    When fleet: the operator adds a route and server "a1" leaves
    Then fleet: "d" serves the new route
    And fleet: "d" knows that "a1" leaves

  Scenario: An instance whose readers have ended reads the store itself
    Given fleet: a store and instances "a" to "d" of one domain
    When fleet: the instances have settled
    And fleet: all others end without a word
    Then fleet: "d" reads the store soon
