Feature: Streams are started only where they are likely to end within their time limit

  # Guards against predictions that rest on a few streams.
  Scenario: The length of streams is not predicted from 19 of them
    Given lengths: 19 streams of about 30 events, with expectations that are accurate
    Then lengths: nothing is predicted
    Given lengths: 1 streams of about 30 events, with expectations that are accurate
    Then lengths: 270 expected tokens need time for 27 to 33 events

  # Guards against expectations of clients taken at face value.
  Scenario Outline: Predictions follow expectations that are <kind>
    Given lengths: 400 streams of about 30 events, with expectations that are <kind>
    Then lengths: 90 expected tokens need time for <short> events
    And lengths: 900 expected tokens need time for <long> events

    Examples:
      | kind                | short    | long      |
      | accurate            | 9 to 11  | 90 to 110 |
      | often off           | 9 to 20  | 45 to 110 |
      | the same for all    | 18 to 29 | 18 to 29  |
      | of no relation      | 17 to 32 | 17 to 32  |

  # Guards against requests that fail since what clients or engines send is out of bounds.
  Scenario: Absurd expectations and lengths give a prediction that can be used
    Given lengths: streams whose expectations and lengths are absurd
    Then lengths: the time for the stream can be computed for any expectation

  # Guards against long streams that look short since most of them are cut.
  Scenario: Streams that are cut at 40 events do not count as short
    Given lengths: 400 streams of about 30 events, cut at 40, with expectations that are accurate
    Then lengths: 900 expected tokens need time for 60 to 130 events
    And lengths: 90 expected tokens need time for 8 to 13 events

  # Guards against streams that start on an engine too slow to end them in time.
  Scenario: A long stream goes to the engine at whose pace it ends in time
    Given lengths: a near engine with 150 ms between events and a far one with 50 ms
    When lengths: a stream of 60 events is placed that is due in 5000 ms
    Then lengths: it goes to the far engine
    When lengths: a stream of 10 events is placed that is due in 5000 ms
    Then lengths: it goes to the near engine

  # Guards against a slow engine that gets the prompt which another one has prefilled.
  Scenario: A prefilled prompt goes to the engine at whose pace its stream ends in time
    Given lengths: a near engine with 150 ms between events and a far one with 50 ms
    When lengths: an engine is chosen for 60 events that are due in 5000 ms
    Then lengths: it is the far engine
    When lengths: an engine is chosen for 10 events that are due in 5000 ms
    Then lengths: it is the near engine
    When lengths: an engine is chosen for 200 events that are due in 5000 ms
    Then lengths: it is the near engine

  # Guards against callers that wait for a part of an answer that cannot be whole.
  Scenario: A stream that ends in time at no engine is refused
    Given lengths: a near engine with 150 ms between events and a far one with 100 ms
    When lengths: a stream of 60 events is placed that is due in 5000 ms
    Then lengths: it is refused, with a time to come back

  # Guards against refusals that go on after the engines have become fast again.
  Scenario: An engine whose pace has not been seen for a while is used
    Given lengths: a near engine with 150 ms between events and a far one with 100 ms
    When lengths: 2 seconds pass
    And lengths: a stream of 60 events is placed that is due in 5000 ms
    Then lengths: it goes to the near engine

  # Guards against a lowered limit under which long streams are started to be cut.
  Scenario: Under a lowered limit long streams are refused at once and short ones served
    Given lengths: an instance with an engine that sends an event every 50 ms
    And lengths: it has served 24 streams of 4 to 40 events, as expected
    When lengths: the limit of their route is lowered to 1000 ms
    And lengths: clients ask for 6 streams of 60 events and for 6 of 5 events
    Then lengths: the short ones are answered whole
    And lengths: the long ones are refused, and no engine got them

  # Guards against refusals by the pace of the cheapest engine while another is in time.
  Scenario: A prompt for a prefill engine is decoded where its stream ends in time
    Given lengths: a near engine with 150 ms between events and a far one with 50 ms
    And lengths: a prefill engine
    When lengths: a stream of 60 events with a prompt of 6000 tokens is due in 5000 ms
    Then lengths: its stream goes to the far engine

  # Guards against lines through clouds of points that lead to numbers without bound.
  Scenario: An expectation far off from all others fails no request
    Given lengths: an instance with an engine that sends an event every 10 ms
    And lengths: it has served streams of 5 to 20 events whose clients expected 1000 to 1003
    When lengths: clients that expect 1200, 2000, 1000000000 and 1 ask for 10 events
    Then lengths: each is answered whole, or refused as not run

  # Guards against parts of streams that look like short ones.
  Scenario: Streams whose clients leave teach nothing
    Given lengths: an instance with an engine that sends an event every 50 ms
    When lengths: a client leaves within a stream of 40 events
    Then lengths: no length was learned

  # Guards against engines that look slow since several events arrive at a time.
  Scenario: The pace of an engine is that of its events, however many arrive at a time
    Given lengths: an instance with an engine that sends an event every 250 ms
    And lengths: it sends 5 events at a time
    When lengths: a stream is read to its end
    Then lengths: its pace is known as 40 to 60 ms
