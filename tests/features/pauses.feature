# A gateway is stopped and goes on (SIGSTOP, SIGCONT). Its sockets receive requests
# meanwhile, and it answers them at once when it goes on.
Feature: Instances that stood still

  # Guards against requests of a pause that are sent by what was known before it.
  Scenario Outline: A gateway that stood still asks before it sends what came meanwhile
    Given silence: <count> gateways and clients that go on asking
    When silence: a gateway stands still, two servers <leave> and requests come
    Then silence: all are answered
    And silence: the servers that left got none of these requests

    Examples:
      | count | leave                      |
      | 1     | report that they drain     |
      | 3     | have their entries removed |

  # Guards against an instance that asks only the store, which may be out of its reach.
  Scenario: A gateway that stood still asks its peers if the store does not answer
    Given silence: 3 gateways and clients that go on asking
    When silence: the store gets out of reach of a gateway that stands still, two servers leave and requests come
    Then silence: all are answered
    And silence: the servers that left got none of these requests

  # Guards against a silent peer that uses up the time in which another would answer.
  Scenario Outline: A gateway that stood still learns from a peer although <count> are silent
    Given pauses: an instance that the store does not answer, and 3 peers it has heard
    When pauses: it catches up while the <count> peers it heard last are silent
    Then pauses: it has the list of the peer that answers

    Examples:
      | count |
      | 0     |
      | 1     |
      | 2     |

  # Guards against an instance that waits for an answer that nobody can give it.
  Scenario: A gateway that stood still serves by what it knows if nobody answers
    Given silence: 1 gateways and clients that go on asking
    When silence: the store gets out of reach of a gateway that stands still, two servers leave and requests come
    Then silence: all are answered

  # Guards against a server that was chosen before a pause and is used after it.
  Scenario Outline: A request is not sent to a server that <does> since it was chosen
    Given pauses: a client of servers and a server that is listed
    When pauses: a request is sent to it and it <does> before the connection is open
    Then pauses: the request is withheld and the server got nothing

    Examples:
      | does                       |
      | is listed as draining      |
      | is listed no more          |
      | is listed as started again |

  # Guards against a peer's list that passes for current since it is read after a pause.
  Scenario: A peer's list that is read after a pause counts from when it was asked for
    Given pauses: an instance that the store does not answer, and 1 peers it has heard
    When pauses: it fetches the list of the peer, and stands still before it reads it
    Then pauses: the list counts as confirmed before the pause

  # Guards against lists that pass for current since an answer from before a pause is
  # read after it.
  Scenario Outline: A watch that is answered <when> counts from its <moment>
    Given pauses: a watch of the servers, which the store answers
    When pauses: the instance reads the answer <ms> ms after the watch began
    Then pauses: the list counts as confirmed at the watch's <moment>

    Examples:
      | when              | ms   | moment |
      | at once           | 50   | answer |
      | before a pause    | 2000 | begin  |

  # Guards against requests that end with an error since a second pause comes while
  # they wait to learn what the first one hid.
  Scenario Outline: Requests that wait as a <nth> pause comes go on after it
    Given pauses: an instance that learns what it missed in a pause
    When pauses: requests wait for that and <count> more pauses come
    Then pauses: all requests go on, once it was learnt after the last pause

    Examples:
      | nth    | count |
      | second | 1     |
      | third  | 2     |

  # Guards against errors for all requests of a pause that another one follows.
  Scenario: A gateway that stands still twice answers what came meanwhile
    Given silence: 1 gateways and clients that go on asking
    When silence: the store gets out of reach of a gateway that stands still twice and requests come
    Then silence: all are answered
