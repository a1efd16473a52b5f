Feature: Streams are whole and in order in every form that the format allows

  # An engine crashes, and another one goes on after the last event that the client has.
  # Told a lower number, it would send events that the client has; told none, all of them.
  # An event that is not recognised as whole would reach the client late, or never.
  Scenario Outline: A stream goes on where it broke off, with <form>
    Given event streams: two engines that send <form>, in chunks of <bytes> bytes
    When event streams: the engine that streams crashes within its third event
    Then event streams: the client has events 1 to 6 once each
    And event streams: the second engine was told to go on after event 2

    Examples: whole events
      | form                        | bytes |
      | plain events                | 1000  |
      | a comment after each event  | 1000  |
      | a comment line after each   | 1000  |
      | a comment before each event | 1000  |
      | a comment in each event     | 1000  |
      | several comments            | 1000  |
      | several data lines          | 1000  |
      | a retry time                | 1000  |
      | a second id                 | 1000  |
      | CR LF                       | 1000  |
      | CR                          | 1000  |
      | CR LF and comments          | 1000  |
      | a byte order mark           | 1000  |

    Examples: split anywhere
      | form                        | bytes |
      | plain events                | 1     |
      | a comment after each event  | 1     |
      | a comment line after each   | 3     |
      | CR LF                       | 1     |
      | CR                          | 1     |
      | CR LF and comments          | 2     |
      | a byte order mark           | 1     |

  # Between two numbered events comes one without a number. It belongs to the one before.
  Scenario: An event without an id changes no position
    Given event streams: two engines that send unnumbered events, in chunks of 1000 bytes
    When event streams: the engine that streams crashes within its third event
    Then event streams: the client has events 1 to 6 once each
    And event streams: the second engine was told to go on after event 2

  # The second engine does not heed the number and begins anew.
  Scenario: What an engine repeats does not reach the client twice
    Given event streams: two engines that send unnumbered events, in chunks of 1000 bytes
    And event streams: the engine that takes over starts from the beginning
    When event streams: the engine that streams crashes within its third event
    Then event streams: the client has events 1 to 6 once each
    And event streams: the client has 6 unnumbered events

  # A comment is not an answer yet. Forwarded with the head of the response, it would
  # leave nothing but to break the response off when the engine crashes.
  Scenario: A comment before the first event commits to nothing
    Given event streams: two engines that send plain events, in chunks of 1000 bytes
    When event streams: an engine sends a comment only, for a request that may not move
    Then event streams: the client is told that its request failed
    When event streams: an engine sends a comment only, for a request that may move
    Then event streams: the client has events 1 to 6 once each

  # The last comment has no empty line behind it, or no line end.
  Scenario Outline: A stream that ends with <what> is whole
    Given event streams: two engines that send plain events, in chunks of 1000 bytes
    And event streams: the last event is followed by <what>
    When event streams: a client asks
    Then event streams: the client has events 1 to 6 once each

    Examples:
      | what                         |
      | a comment line               |
      | a comment without a line end |

  Scenario: However a stream is split, its blocks are the same
    Then event streams: each split of each form gives the same numbers and bytes

  # Nothing would end it: the time limit of the route, or the memory.
  Scenario: A stream of comments or empty lines without end is given up
    Then event streams: a relay gives up endless "comments"
    And event streams: a relay gives up endless "empty lines"
    And event streams: a relay gives up endless "bytes before the first event"
