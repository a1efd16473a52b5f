# Requests behind a partition, in virtual time: segments are sent again at doubling
# intervals, and only a reset by their sender cancels those that were given up.
Feature: Requests that are not delivered

  # Guards against requests that reach a leaving server long after they were given up.
  Scenario Outline: A request that was given up behind a partition never arrives
    Given delivery: a kept connection to a server
    When delivery: a partition of <partition> s begins
    And delivery: a request is sent <after> s later
    Then delivery: the request is given up and never arrives

    Examples:
      | partition | after |
      | 3.3       | 0.5   |
      | 5.6       | 0.1   |
      | 5.6       | 2.1   |
      | 5.6       | 2.5   |
      | 5.6       | 2.9   |
      | 12        | 2.9   |
      | 30        | 25    |
      | 70        | 59.25 |

  # Guards against requests that are delivered after their sender knows of the leaving.
  Scenario Outline: A request behind a partition arrives within the limit or never
    Given delivery: a kept connection to a server
    When delivery: a partition of <partition> s begins
    And delivery: a request is sent <after> s later
    Then delivery: the request does not arrive later than allowed

    Examples:
      | partition | after |
      | 0.5       | 0.1   |
      | 1.0       | 0.3   |
      | 1.6       | 0.1   |
      | 5.6       | 4.9   |

  # Guards against requests that are given up over lost packets.
  Scenario: A request whose first packets are lost is answered
    Given delivery: a kept connection to a server
    When delivery: a request is sent and its first 2 packets are lost
    Then delivery: the request is answered

  # Guards against a slow server that counts as out of reach.
  Scenario: A request that its server has acknowledged may be answered much later
    Then delivery: a server that answers late or reads a body late is waited for

  # Guards against requests that the kernel delivers after their connection was closed.
  Scenario Outline: A call to a backend server that is given up resets its connection
    Then delivery: a call over <what> that is given up resets its connection

    Examples:
      | what                   |
      | kept connections       |
      | single-use connections |
      | the client for engines |

  # Guards against a store that counts as lost over each idle connection that is silent.
  Scenario: The store is asked over a new connection after a call was not delivered
    Then delivery: a listing over a new connection follows one that was not delivered

  # Guards against a limit that a slow link or a closed window exceeds.
  Scenario Outline: Only a request without any progress times out
    Then delivery: after <written> B written, <seen> left is "<state>"

    Examples:
      | written | seen                             | state            |
      | 1000    | 0 B in 0 segments                | acknowledged     |
      | 1000    | 1000 B in 1 segments             | being sent       |
      | 1000    | 1000 B in 1 segments, twice      | not acknowledged |
      | 9000    | 8000 B in 2 segments, twice      | being sent       |
      | 9000    | 8000 B in 2 segments, thrice     | not acknowledged |
      | 9000    | 9000 B in 0 segments, thrice     | being sent       |
