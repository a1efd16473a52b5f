Feature: Instances know which software version began a stream

  # Guards against a table that grows with the traffic.
  Scenario: Beyond its capacity a table evicts the oldest records
    Given origins: a table of 100 records
    When origins: 250 streams are recorded
    Then origins: the table holds 100 records
    And origins: stream 149 is unknown
    And origins: stream 150 is known

  Scenario: Records expire and are removed
    Given origins: a table of 100 records
    When origins: 50 streams are recorded for 10 seconds
    And origins: 9 seconds pass
    Then origins: stream 49 is known
    When origins: 1 second passes
    Then origins: stream 49 is unknown
    And origins: the table holds 0 records

  Scenario: A record that is repeated counts for longer
    Given origins: a table of 100 records
    When origins: build 1 is recorded for stream 7 for 10 seconds
    And origins: 8 seconds pass
    And origins: build 1 is recorded for stream 7 for 10 seconds
    And origins: 8 seconds pass
    Then origins: stream 7 was begun by build 1

  # Guards against a stream that goes on at a version that did not begin it.
  Scenario: A stream recorded with two builds is unknown until both have expired
    Given origins: a table of 100 records
    When origins: build 1 is recorded for stream 7 for 20 seconds
    And origins: build 2 is recorded for stream 7 for 10 seconds
    And origins: build 1 is recorded for stream 7 for 10 seconds
    Then origins: stream 7 is ambiguous
    When origins: 19 seconds pass
    Then origins: stream 7 is ambiguous
    When origins: 1 second passes
    And origins: build 2 is recorded for stream 7 for 10 seconds
    Then origins: stream 7 was begun by build 2

  Scenario: Keys of builds differ however service and version are divided
    Then origins: the builds of these services and versions have different keys
      | service | version |
      | a       | bc      |
      | ab      | c       |
      | abc     |         |
      | a/b     | c       |
      | a       | b/c     |
      | 1/a     | bc      |

  # Guards against records that a failure domain takes with it.
  Scenario: Records are kept in three failure domains
    Given origins: 40 instances in 9 failure domains
    Then origins: each of 500 streams is kept by 3 hosts in 3 failure domains
    And origins: each host keeps between half and twice its share of 4000 streams

  Scenario Outline: Records are kept by three hosts in fewer failure domains
    Given origins: <instances> instances in <domains> failure domains
    Then origins: each of 500 streams is kept by <hosts> hosts in <domains> failure domains

    Examples:
      | instances | domains | hosts |
      | 20        | 2       | 3     |
      | 20        | 1       | 3     |
      | 2         | 2       | 2     |
      | 0         | 0       | 0     |

  # Guards against queries that miss the record since two instances know the fleet
  # differently.
  Scenario Outline: Whoever lacks one instance still queries two that keep the record
    Given origins: <instances> instances in <domains> failure domains
    Then origins: for 50 streams the order in which instances are known makes no difference
    And origins: for 50 streams a query that misses any one instance reaches 2 that keep it
    And origins: for 50 streams a query reaches 2 if any one instance is unknown to the recorder

    Examples:
      | instances | domains |
      | 40        | 9       |
      | 40        | 3       |
      | 40        | 2       |
      | 40        | 1       |

  Scenario: In a small fleet all instances are queried
    Given origins: 16 instances in 3 failure domains
    Then origins: 16 hosts are queried
    Given origins: 17 instances in 3 failure domains
    Then origins: 6 hosts are queried

  # Guards against a stream that goes on at the new version after the old one has left.
  Scenario Outline: A version is the sole one if no other can have begun a stream
    When origins: versions are listed as "<listed>"
    Then origins: after <seconds> seconds the sole version is "<sole>"

    Examples:
      | listed                  | seconds | sole    |
      | 0=v1                    | 59      | none    |
      | 0=v1                    | 60      | v1      |
      | 0=v1,v2                 | 100     | none    |
      | 0=v1 70=v2              | 71      | none    |
      | 0=v1 50=v1,v2 60=v2     | 119     | none    |
      | 0=v1 50=v1,v2 60=v2     | 120     | v2      |
      | 0=v1 70=v2 80=v1        | 139     | none    |
      | 0=v1 70=v2 80=v1        | 140     | v1      |
      | 0=unknown               | 100     | none    |
      | 0=v1 10=v1,unknown 20=v1 | 79     | none    |
      | 0=v1 10=v1,unknown 20=v1 | 80     | v1      |
      | 0=v1 100=nothing        | 159     | v1      |
      | 0=v1 100=nothing        | 160     | none    |
      | 0=nothing 30=v1         | 60      | v1      |
      | 0=nothing               | 100     | none    |

  Scenario: Nothing is the sole version before the list was seen
    Then origins: a history without observations has no sole version

  Scenario: A bounded history agrees with a complete one
    Then origins: 300 drawn histories agree with one that forgets nothing

  # Guards against a version that an instance doesn't know since it left before its start.
  Scenario: An instance that recalls the record knows the versions from before its start
    Then origins: 300 drawn histories that begin late agree with one that forgets nothing

  # Guards against a record that others have written and that ends the process or grows.
  Scenario Outline: A record of <value> counts as <record>
    When origins: the store's record is <value>
    Then origins: it is recalled as <record>

    Examples:
      | value                                   | record               |
      | null                                    | {}                   |
      | [1]                                     | {}                   |
      | {"services": 7}                         | {}                   |
      | {"services": {"lm": 7, "ml": ["v1"]}}   | {"ml": ["v1"]}       |
      | {"services": {"lm": [7, "v1"]}}         | {}                   |
      | {"services": {"lm": ["v2", "v1"]}}      | {"lm": ["v1", "v2"]} |

  Scenario: Messages between instances are decoded as they were encoded
    Then origins: 200 drawn messages are decoded as they were encoded
    And origins: the longest announcement fits into 1200 bytes
    And origins: a longer announcement is not encoded

  # Guards against a receiver that fails at bytes from elsewhere.
  Scenario: Malformed datagrams are dropped with the reason
    Then origins: each of these datagrams is malformed
      | datagram                          |
      | nothing                           |
      | text                              |
      | no list                           |
      | an empty list                     |
      | a version alone                   |
      | a later version                   |
      | an unknown kind                   |
      | a question without origin         |
      | a question with a negative number |
      | a question with a key of 65 bits  |
      | a question with a text as key     |
      | an answer with a field too many   |
      | an answer with a text as build    |
      | origins that are no list          |
      | an origin that is a number        |
      | an origin that counts too long    |
      | 51 origins                        |
    And origins: 300 drawn datagrams are decoded or malformed
    And origins: 300 damaged messages are decoded or malformed
    And origins: an instance logs a malformed datagram with its sender

  # Guards against a record that is lost with the instance that made it.
  Scenario Outline: A stream's build is found after its recorder has terminated
    Given origins: <instances> running instances in 3 failure domains
    When origins: the first one records a stream and terminates
    Then origins: every other instance finds the build

    Examples:
      | instances |
      | 5         |
      | 20        |

  Scenario: A stream that nobody recorded is not found
    Given origins: 5 running instances in 3 failure domains
    Then origins: a stream that nobody recorded is not found, before any timeout

  Scenario: An instance without peers knows what it has recorded
    Given origins: 1 running instance in 1 failure domain
    Then origins: it finds what it has recorded and nothing else

  # Guards against a record that no peer has since one datagram was lost.
  Scenario: A record whose first datagrams are lost is sent again
    Given origins: 5 running instances that lose the first datagram they receive
    When origins: the first one records a stream, repeats it and terminates
    Then origins: every other instance finds the build

  Scenario: Without records to repeat an instance waits without waking
    Given origins: 1 running instance in 1 failure domain
    Then origins: it never sleeps on its clock until a record is to be repeated

  # Guards against a lookup that waits for an instance that has crashed.
  Scenario: A host that doesn't answer is asked twice and then given up
    Given origins: a peer that answers and one that is silent
    When origins: a stream that nobody recorded is looked up
    Then origins: the silent peer is asked again and the other one is not
    And origins: the lookup ends with nothing when its time is over

  Scenario: A host that doesn't answer delays nothing that another one knows
    Given origins: a peer that answers and one that is silent
    When origins: a stream that the answering peer knows is looked up
    Then origins: the lookup ends with the build, before any timeout

  # Guards against answers to other questions, such as those of a former process.
  Scenario: Answers from elsewhere or to no question are dropped
    Given origins: a peer that answers and one that is silent
    When origins: a stream that nobody recorded is looked up
    And origins: answers arrive from a host that was not asked and to no question
    Then origins: the lookup ends with nothing when its time is over

  Scenario: A contradicted record is not looked up elsewhere
    Then origins: a stream recorded with two builds is not looked up at peers

  Scenario: A cancelled lookup leaves nothing behind
    Given origins: a peer that answers and one that is silent
    When origins: a stream that nobody recorded is looked up
    Then origins: when the lookup is cancelled, no question and no task is left

  # Guards against versions of which a list shows nothing, before and after.
  Scenario Outline: Between lists that are far apart servers may come and go unseen
    When origins: servers are listed as "<listed>"
    Then origins: there is <gap>

    Examples:
      | listed                  | gap                            |
      | 0.0=a,b 2.5=a,b         | no gap                         |
      | 0.0=a,b 2.6=a,b         | a gap after 0.0 until 2.6      |
      | 0.0=a 2.6=a 4.0=b       | a gap after 0.0 until 2.6      |
      | 0.0=a 2.6=a 9.0=b       | a gap after 0.0 until 9.0      |
      | 0.0=a 1.0=b 4.0=c       | a gap after 1.0 until 4.0      |
      | 9.0=a                   | no gap                         |

  Scenario Outline: The changes since tell whether servers came and went in a gap
    When origins: servers are listed as "<listed>"
    And origins: since the gap the entries of "<removed>" were removed
    Then origins: servers were <seen>
    And origins: there is no gap

    Examples:
      | listed              | removed | seen   |
      | 0.0=a,b 3.0=a       | nothing | seen   |
      | 0.0=a,b 3.0=a       | b       | seen   |
      | 0.0=a,b 3.0=a,c     | c       | seen   |
      | 0.0=a 3.0=b 4.0=c   | a,b     | seen   |
      | 0.0=a,b 3.0=a       | b,c     | unseen |
      | 0.0=a 1.0=b 4.0=b   | a       | unseen |

  Scenario: Versions before a gap count as unknown until its end is long ago
    When origins: versions are listed as "0=v1"
    And origins: servers may have been listed unseen until 70
    Then origins: after 129 seconds the sole version is "none"
    And origins: after 130 seconds the sole version is "v1"

  # Guards against streams that join another version as their server starts again.
  Scenario: A server that starts again soon after a stream began there does not change its record
    Given resumptions: an instance that records streams, and an engine of version "v1"
    When resumptions: the engine proves that it began a stream
    And resumptions: the instance learns that it started again at "v2" 100 ms later
    Then resumptions: the stream is recorded once, as one of "v1"
