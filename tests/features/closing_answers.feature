# A server's answer may have neither a length nor chunks and end with its connection.
Feature: Answers that end with their connection

  # Guards against an answer that was broken off and looks whole to its client.
  Scenario Outline: An answer is whole only if its connection was closed in order
    Given closing: a server whose answers of "<route>" are <ending>
    When closing: "<route>" is asked for
    Then closing: the client gets <what>

    Examples:
      | route  | ending                 | what                  |
      | print  | closed                 | a whole answer        |
      | notify | closed                 | a whole answer        |
      | draft  | closed                 | a whole answer        |
      | digest | closed                 | a whole answer        |
      | print  | reset                  | 502                   |
      | notify | reset                  | 502                   |
      | draft  | reset                  | an answer broken off  |
      | digest | reset                  | an answer broken off  |
      | draft  | closed within an event | an answer broken off  |
      | digest | closed within an event | an answer broken off  |
