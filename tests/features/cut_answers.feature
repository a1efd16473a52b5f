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
