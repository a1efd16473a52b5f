Feature: What customers' requests began is reported once a window

  # Guards against two contents of one window, two holders with one fence, and holders
  # that call by turns: while they are frozen, cut off and killed, and the store and the
  # receiver lose answers and carry calls out late.
  Scenario: In drawn schedules no window is reported in two ways
    When usage: 60 schedules are played
    Then usage: no window has two contents
    And usage: no fence is shared and none is followed by a lower one
    And usage: no holder calls, is followed by another and calls again within a lease
    And usage: most of what was due was reported

  Scenario: Without fixing what is sent, some window is reported in two ways
    When usage: 20 schedules are played in which nothing is fixed before it is sent
    Then usage: some window has two contents

  Scenario: With nothing failing every window is right
    When usage: a schedule without faults is played
    Then usage: every window has the true counts

  # Guards against sums that grow or shrink with repeated, late or missing messages.
  Scenario: Rows that come twice, late and in parts are counted once
    Given usage: an instance that began 120 requests of as many customers
    When usage: its rows come twice, the older ones last
    Then usage: the window's total is complete with 120 requests

  Scenario: A row whose parts are not all there is not complete
    Given usage: an instance that began 120 requests of as many customers
    When usage: one part of its rows is lost
    Then usage: the window is not complete before its longest wait
    And usage: after that the instance is named as missing

  # Guards against the loss of what an instance began before it ended.
  Scenario: A neighbour passes on the counts of an instance that has ended
    Given usage: an instance that told a neighbour of 7 requests and ended
    When usage: the neighbour tells the holder
    Then usage: the holder's total has the 7 requests

  # Guards against counts of one window that turn up in another.
  Scenario: A request that is known too late for its window is in none
    When usage: a request of a settled window becomes known
    Then usage: it is in no window's rows

  # Guards against reports that say nothing began where nobody was there to count.
  Scenario: Of windows before the first instance started nothing is reported
    Given usage: an instance that has just started
    Then usage: it has a total of no window before

  # Guards against a new holder that reports the counts of a few for those of all: on a
  # played day it reported 70 of 316 requests.
  Scenario: Whoever takes over hears the others before it reports
    Given usage: a neighbour of one of two instances that has just taken over
    Then usage: it has no total of what it heard before
    When usage: the others have told it for 5 seconds
    Then usage: its total has the requests of both

  Scenario: What is no row is dropped with the reason
    Then usage: each of these is malformed
      | datagram      |
      | nothing       |
      | another type  |
      | a later version |
      | a negative count |
      | a count that is a text |

  # Guards against a fleet that asks the store at once, or that waits for the one instance
  # which can't have the lease.
  Scenario: Instances try for the lease one after the other
    Then usage: while a holder is heard nobody tries
    And usage: when it is silent the first tries and a second later the next one
    And usage: when it says that it is through the first tries at once
    And usage: an older claim does not undo that
    And usage: after a start nobody tries before the others can have been heard

  # Guards against reports of requests that did not run, or that belong to nobody.
  Scenario: A window's report has what began, by customer
    Given usage: a receiver, customers "north" and "south" and an instance
    When usage: "north" makes 3 requests, "south" 1, somebody without a key 1 and one is public
    Then usage: the receiver gets one report that counts 3 of "north" and 1 of "south"
    And usage: each call names the holder and its fence
    And usage: the instance's metrics say that it holds the duties

  # Guards against another content after an answer that was lost.
  Scenario Outline: A report that is not accepted goes out again as it was
    Given usage: a receiver, customers "north" and "south" and an instance
    And usage: the next call at the receiver ends by "<fault>"
    When usage: "north" makes 3 requests
    Then usage: that window is reported again with the same content

    Examples:
      | fault  |
      | busy   |
      | silent |

  # Guards against a holder that goes on after another one has begun.
  Scenario: A holder that is fenced off sends nothing more with its fence
    Given usage: a receiver, customers "north" and "south" and an instance
    When usage: another holder has called with a higher fence
    And usage: "north" makes 3 requests
    Then usage: that fence is used once more at most

  # Guards against a window that is missed since the leader, cut off from the store alone,
  # holds on to leadership, and its successor waits as long again before it reports.
  Scenario: A leader that is cut off from the store hands over before windows are late
    When usage: the leader is cut off from the store for 7 seconds, at each half second
    Then usage: every window is accepted with the true counts within 10 seconds of its end
    And usage: no fence is shared and none is followed by a lower one

  # Guards against a task that waits for the lease while another one yields it, and then
  # takes back what peers were told is released.
  Scenario: A release ends the renewals that are under way
    Given usage: a leader whose renewal waits for the store
    When usage: it yields and then the store answers
    Then usage: it does not lead, and its latest fence is announced as released

  # Guards against a stopped leader whose call arrives behind its successor's.
  Scenario: A lease is released only after the calls that its holder has under way
    Given usage: exchanges of two instances, of which one becomes the leader
    When usage: the leader stops while a call of it is under way
    Then usage: the other one does not know that the lease is released
    When usage: the call is answered
    Then usage: the other one knows that the lease is released

  # Guards against an instance that becomes the leader while it stops, so that nobody leads
  # until its lease has run out.
  Scenario Outline: An instance that stops <when> does not become the leader
    Given usage: a leader whose renewal waits for the store
    When usage: it stops <when>
    Then usage: it does not lead, neither at once nor 20 seconds later

    Examples:
      | when                                 |
      | while its first lease is being taken |
      | before it has led                    |

  # Guards against a new leader that waits for beacons to be known, and reports too late
  # or without the counts that neighbours keep of ended instances.
  Scenario: A new leader asks for counts and gets them at once
    Given usage: exchanges of two instances, of which one becomes the leader
    Then usage: the other one knows the leader and has sent it all its counts
    When usage: the leader stops
    Then usage: the other one knows that the lease is released
