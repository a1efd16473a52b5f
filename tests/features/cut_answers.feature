# A server stops after any byte of its answer, and its connection is closed or reset.
Feature: Answers that are cut after any byte

  # Guards against a call of the first daemon whose answer was cut and counts as whole.
  Scenario Outline: A call is answered only with the whole of an answer with <form>
    Given cut answers: an answer with <form> is cut after every byte
    When cut answers: <call> is answered so
    Then cut answers: each cut answer counts as lost, and the whole one as whole

    Examples: calls to plain services
      | call                  | form             |
      | a repeatable call     | a length         |
      | a repeatable call     | chunks           |
      | a repeatable call     | no length        |
      | a repeatable call     | no body          |
      | a repeatable call     | interim answers  |
      | a repeatable call     | bare line feeds  |
      | a repeatable call     | an older version |
      | a non-repeatable call | a length         |
      | a non-repeatable call | no body          |

    Examples: calls that are forwarded to another instance
      | call                  | form             |
      | a forwarded call      | a length         |
      | a forwarded call      | chunks           |
      | a forwarded call      | no length        |
      | a forwarded call      | no body          |
      | a forwarded call      | interim answers  |
      | a forwarded call      | bare line feeds  |
      | a forwarded call      | an older version |

  # Guards against an answer that no caller can get: its connection ends without a byte.
  Scenario Outline: <call> is not answered by the status <status>
    Given cut answers: an answer whose status is <status>
    When cut answers: <call> is answered so
    Then cut answers: each answer counts as lost, the whole one as well

    Examples:
      | call                  | status |
      | a repeatable call     | 000    |
      | a repeatable call     | 600    |
      | a repeatable call     | 999    |
      | a non-repeatable call | 799    |
      | a forwarded call      | 000    |
      | a forwarded call      | 799    |

  # Guards against a result that can't be written: its caller's connection ends without a
  # byte.
  Scenario Outline: <call> has a content type that can be passed on
    Given cut answers: an answer whose content type has a control character
    When cut answers: <call> is answered so
    Then cut answers: the whole one counts as whole, and its content type has none

    Examples:
      | call              |
      | a repeatable call |
      | a forwarded call  |

  # Guards against a promise "not run" by an answer that is none, or not a refusal.
  Scenario Outline: A stream is not refused by the status <status>
    Given cut answers: a refusal whose status is <status>
    When cut answers: a stream is answered so
    Then cut answers: each answer counts as lost, the whole one as well

    Examples:
      | status |
      | 000    |
      | 500    |
      | 799    |

  # Guards against a stream, a handle or a document that was cut and counts as whole.
  Scenario Outline: <call> succeeds only by the whole of <content> with <form>
    Given cut answers: <content> with <form> is cut after every byte
    When cut answers: <call> is answered so
    Then cut answers: nothing counts as whole without all of its content
    And cut answers: the whole one succeeds

    Examples:
      | call                    | content            | form     |
      | a stream                | a stream of tokens | chunks   |
      | a stream                | a refusal          | a length |
      | a stream                | a refusal          | chunks   |
      | an export of a KV cache | a handle           | a length |
      | an export of a KV cache | a handle           | chunks   |
      | an import of a KV cache | a handle           | a length |
      | an import of a KV cache | a handle           | chunks   |
      | an operator's call      | a document         | a length |
      | an operator's call      | a document         | chunks   |

  # Guards against the same where the HTTP library does not find the end of an answer.
  Scenario Outline: <call> does not succeed by a part of <content> with <form>
    Given cut answers: <content> with <form> is cut after every byte
    When cut answers: <call> is answered so
    Then cut answers: nothing counts as whole without all of its content

    Examples:
      | call                    | content            | form            |
      | a stream                | a stream of tokens | a length        |
      | a stream                | a stream of tokens | no length       |
      | a stream                | a stream of tokens | no body         |
      | a stream                | a stream of tokens | interim answers |
      | a stream                | a refusal          | no length       |
      | an export of a KV cache | a handle           | no length       |
      | an export of a KV cache | a handle           | no body         |
      | an import of a KV cache | a handle           | interim answers |
      | an operator's call      | a document         | no length       |
