# A client, or whoever speaks to its port, sends what no well-behaved client sends. It
# gets a clear error on its own connection, no server hears of it, and a client beside it
# is served as before.
Feature: Bad input on the operator's routes

  Background:
    Given routes: a store with a configuration
    And routes: an instance
    And routes: a plain server "a1"

  Scenario Outline: Bad input is answered on its own connection alone
    When routes: somebody sends <input>
    Then routes: the answer is <status> and the connection ends
    And routes: no server got anything of it
    And routes: a client beside it is served

    Examples:
      | input                                  | status |
      | a header over the limit                | 431    |
      | a header over the limit in one field   | 431    |
      | two lengths that differ                | 400    |
      | a length and chunks                    | 400    |
      | a length that is no number             | 400    |
      | a chunk whose size is no number        | 400    |
      | bytes that are no HTTP                 | 400    |
      | a TLS greeting                         | 400    |
      | half a header and then nothing         | 408    |
      | half a body and then the end           | 400    |

  # The length says more than the operator allows; nobody has to read it all to know.
  Scenario Outline: A body over the limit is refused
    When routes: somebody sends <input>
    Then routes: the answer is 413
    And routes: no server got anything of it
    And routes: a client beside it is served

    Examples:
      | input                                |
      | a body over the limit                |
      | chunks that add up over the limit    |

  # Two requests arrive in one read. Answered out of order, or joined to one, a client
  # would get another one's answer.
  Scenario: Pipelined requests are answered in their order
    When routes: a client sends the requests "r1" and "r2" at once
    Then routes: the answers to "r1" and "r2" come in this order

  # The second request hides in the body of the first, whose length is right: to the
  # server both are one body.
  Scenario: A request inside a body is not taken for one
    When routes: a client sends a request whose body looks like another request
    Then routes: the server got one request with that body

  # Half a header on each of 300 connections. Each is ended after its time, and memory is
  # bounded by the limit of a header for each.
  Scenario: Many slow senders do not keep others from being served
    When routes: 300 connections send half a header and then nothing
    Then routes: a client beside it is served
    And routes: all of them are ended

  # Guards against a request after which peers reject all beacons of its instance, since
  # they have a number in them that no beacon may have; and against one that gets a 502.
  Scenario Outline: A <field> that nothing can be counted with is refused
    When routes: a client sends <field> "<value>"
    Then routes: the answer is 400
    And routes: no server got anything of it
    And routes: a client beside it is served

    Examples:
      | field           | value                   |
      | x-token-counts  | 100000000000000000,20   |
      | x-token-counts  | 1200,100000000000000000 |
      | x-token-counts  | -1200,20                |
      | x-prompt-prefix | aa:100000000000000000   |
      | x-prompt-prefix | aa:-800                 |
      | x-deadline-ms   | 1e400                   |
      | x-deadline-ms   | 1e300                   |
