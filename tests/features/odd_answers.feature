# A server's answer has what HTTP/1.1 does not allow and our libraries read all the same.
Feature: Answers that cannot be passed on as they are

  # Guards against connections that are closed without a byte, since the head of an
  # answer could not be written: its client gets neither the answer nor a refusal.
  Scenario Outline: A client gets <what> for an answer of "<route>" with <oddity>
    Given odd answers: a server whose answers of "<route>" have <oddity>
    When odd answers: "<route>" is asked for
    Then odd answers: the client gets <what>

    Examples:
      | route  | oddity                         | what           |
      | print  | a control character in a field | a whole answer |
      | notify | a control character in a field | a whole answer |
      | draft  | a control character in a field | a whole answer |
      | digest | a control character in a field | a whole answer |
      | print  | the status 799                 | 502            |
      | notify | the status 799                 | 502            |
      | draft  | the status 799                 | 502            |
      | digest | the status 799                 | 502            |
      | print  | the status 000                 | 502            |
      | print  | the status 099                 | 502            |
      | print  | the status 101                 | 502            |
      | print  | the status 600                 | 502            |
      | print  | the status 999                 | 502            |
      | print  | the status 20                  | 502            |
      | print  | the status 1000                | 502            |
      | notify | the status 000                 | 502            |
      | notify | the status 101                 | 502            |
      | draft  | the status 000                 | 502            |
      | draft  | the status 101                 | 502            |
      | digest | the status 000                 | 502            |
      | digest | the status 101                 | 502            |

  # Guards against the same where a peer passes the answer on.
  Scenario Outline: A client gets 502 for a peer's answer of "<route>" with <oddity>
    Given odd answers: a peer whose answers of "<route>" have <oddity>
    When odd answers: "<route>" is asked for
    Then odd answers: the client gets 502

    Examples:
      | route  | oddity         |
      | print  | the status 600 |
      | notify | the status 799 |
      | draft  | the status 999 |
      | digest | the status 799 |
