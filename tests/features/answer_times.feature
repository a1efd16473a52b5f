# A client counts its deadline from when it sends and leaves at that moment. The instance
# reads the request later, and its answer takes a while to come back.
Feature: Answers before the client leaves

  # Guards against a 504 that is written when the client has left already.
  Scenario Outline: A request at a silent server is answered before its client leaves
    Given answers: a <kind> request with a deadline of <deadline> ms at a silent server
    When answers: it takes <way> ms to arrive
    Then answers: an answer that takes <way> ms to return finds the client there

    Examples:
      | kind   | deadline | way |
      | plain  | 1000     | 15  |
      | plain  | 2500     | 40  |
      | stream | 1000     | 15  |
      | stream | 8000     | 40  |

  # Guards against clients that leave for want of a first event, and do not learn that
  # their request has not run.
  Scenario Outline: A stream that no engine has been sent is refused before its client leaves
    Given answers: a stream request with a deadline of <deadline> ms at a silent server
    And answers: no engine is sent it, and its client leaves after 2000 ms without an event
    When answers: it takes <way> ms to arrive
    Then answers: a refusal that takes <way> ms to return finds the client there

    Examples:
      | deadline | way |
      | 8000     | 40  |
      | 2100     | 15  |

  # Guards against streams that are cut at the instance that began them, since a peer that
  # goes on with them counts its own way to a first event.
  Scenario: A stream that has begun at a peer is not refused for want of an event
    Given answers: a stream request with a deadline of 8000 ms at a silent server
    And answers: no engine is sent it, and a peer has begun its response
    When answers: it takes 0 ms to arrive
    Then answers: it is refused as its answer is due

  # Guards against streams that end early for the sake of an answer they have begun.
  Scenario: A stream that has begun goes on until its deadline
    Given answers: a stream request with a deadline of 8000 ms at a silent server
    When answers: it has begun
    Then answers: it ends at its deadline

  # Guards against a stream that is cut as it begins just when its refusal is due.
  Scenario: A stream that would begin when its refusal is due is refused whole
    Given answers: a stream request with a deadline of 8000 ms at a silent server
    When answers: it would begin when its refusal is due
    Then answers: an answer that takes 0 ms to return finds the client there

  # Guards against a refusal that is due when the client leaves.
  Scenario: A request whose body does not arrive is refused before its client leaves
    Given answers: a plain request with a deadline of 1000 ms at a silent server
    When answers: its body does not arrive
    Then answers: it is refused with 408 before its client leaves
