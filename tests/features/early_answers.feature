# A server may answer before it has read a long request. Its connection is then closed or
# reset while the rest of the request is still being sent, or the server reads on.
Feature: Answers that come before their request has been read

  # Guards against a part of an answer that a client gets as a whole one.
  Scenario Outline: An answer of "<route>" with <form>, after <size> bytes, <ending>
    Given early: a server of "<route>" whose answer has <form> and then <ending>
    When early: "<route>" is asked for with <size> bytes
    Then early: each client gets <what>

    Examples:
      | route  | form      | ending         | size    | what                 |
      | print  | no length | is reset       | 10      | 502                  |
      | print  | no length | is reset       | 1000000 | 502                  |
      | print  | no length | is reset       | 3900000 | 502                  |
      | print  | a close   | is reset       | 3900000 | 502                  |
      | print  | chunks    | is reset       | 3900000 | 502                  |
      | print  | no length | ends           | 1000000 | 502                  |
      | print  | no length | ends           | 3900000 | 502                  |
      | print  | a close   | ends           | 1000000 | 502                  |
      | print  | chunks    | ends           | 1000000 | 502                  |
      | notify | no length | is reset       | 1000000 | 502                  |
      | notify | no length | ends           | 1000000 | 502                  |
      | draft  | no length | is reset       | 1000000 | an answer broken off |
      | draft  | no length | ends           | 1000000 | an answer broken off |
      | draft  | chunks    | ends           | 1000000 | an answer broken off |
      | digest | no length | is reset       | 1000000 | an answer broken off |
      | digest | no length | ends           | 1000000 | an answer broken off |
      | print  | no length | reads the rest | 1000000 | a whole answer       |
      | draft  | no length | reads the rest | 1000000 | a whole answer       |
      | print  | a length  | ends           | 1000000 | a whole answer       |

  # Guards against a part of a peer's answer that a client gets as a whole one.
  Scenario Outline: A peer's answer of "<route>" with <form>, and then <ending>
    Given early: a peer whose answer of "<route>" has <form> and then <ending>
    When early: "<route>" is asked for with 1000000 bytes
    Then early: each client gets <what>

    Examples:
      | route | form      | ending         | what                 |
      | print | no length | is reset       | 502                  |
      | print | no length | ends           | 502                  |
      | draft | no length | is reset       | an answer broken off |
      | draft | no length | ends           | an answer broken off |
      | draft | chunks    | ends           | an answer broken off |
      | print | no length | reads the rest | a whole answer       |

  # Guards against a call of the first daemon whose answer was cut and counts as whole.
  Scenario Outline: <call> gets an answer with <form>, and then <ending>
    Given early: a plain server whose answer has <form> and then <ending>
    When early: <call> is made with 1000000 bytes
    Then early: each call <outcome>

    Examples:
      | call             | form      | ending         | outcome      |
      | a call           | no length | is reset       | is lost      |
      | a call           | no length | ends           | is lost      |
      | a call           | chunks    | ends           | is lost      |
      | a call           | no length | reads the rest | is answered  |
      | a forwarded call | no length | is reset       | is lost      |
      | a forwarded call | no length | ends           | is lost      |

  # Guards against bytes of another request where the rest of one is due.
  Scenario Outline: A server of "<route>" answers <size> bytes at once and reads on later
    Given early: a server of "<route>" whose answer has a length and then reads the rest
    When early: "<route>" is asked for with <size> bytes
    Then early: each client gets a whole answer
    And early: the server has read nothing but the requests

    Examples:
      | route  | size    |
      | print  | 1000000 |
      | print  | 3900000 |
      | draft  | 1000000 |
