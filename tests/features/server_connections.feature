Feature: Kept connections to servers

  # Guards against a request that must not be repeated crossing the close of its
  # connection: whether it ran would be unknown.
  Scenario: A request that must not be repeated uses no connection idle for long
    Given connections: a pool of an instance with one server
    When connections: for 60 s it sends by turns, 2.5 s apart, 1 that must not be repeated and 2 at once that may
    Then connections: no request that must not be repeated was on one idle for 2 s

  # Guards against requests that reach a server while it closes their connection.
  Scenario: No request uses a connection that its server may be closing
    Given connections: a pool of an instance with one server
    When connections: for 60 s it sends by turns, 9.5 s apart, 1 that must not be repeated and 2 at once that may
    Then connections: no request was on one idle for 9.3 s

  # An instance that sends to a server every few seconds, with and without repetition:
  # whoever wants fewer connections has to know which of the two to change.
  Scenario Outline: It is counted why connections are opened
    Given connections: a pool of an instance with one server
    When connections: for 60 s it sends by turns, <apart> s apart, 1 that must not be repeated and 2 at once that may
    Then connections: <first> were opened as "none idle" and <more> as "<why>"

    Examples:
      | apart | first | more | why     |
      | 2.5   | 13    | 11   | too old |
      | 9.5   | 4     | 5    | expired |

  Scenario: An instance tells why it opens connections
    Given routes: a store with a configuration
    And routes: an instance
    And routes: a plain server "a1"
    When routes: a client asks for "notify" as "r1"
    Then connections: the instance's metrics count one as "none idle"

  # Guards against answers that are lost since a field of theirs has a number too large.
  Scenario Outline: An answer whose Keep-Alive states <seconds> seconds is read
    Then connections: an answer that may be kept alive for "<seconds>" seconds is read

    Examples:
      | seconds              |
      | 5                    |
      | 00000000000000000005 |
      | 99999999999999999999 |
      | a digit 5,000 times  |
