# The store or a peer stops after any byte of its answer, and its connection is closed or
# reset. A part of a list must not count as the list.
Feature: Answers of the store and of peers that are cut after any byte

  # Guards against a short list, or a write that counts as done, by a cut answer.
  Scenario Outline: <call> with <form> succeeds only if it was answered whole
    When cut state: <call> is answered with <form>, cut after every byte
    Then cut state: only the whole answer succeeds, and the others have failed

    Examples:
      | call                   | form            |
      | a listing              | a length        |
      | a listing              | chunks          |
      | a listing              | interim answers |
      | a watch                | a length        |
      | a watch                | chunks          |
      | a read                 | a length        |
      | a write                | a length        |
      | a removal              | a length        |
      | a usage report         | a length        |
      | a usage report         | chunks          |
      | a peer's servers       | a length        |
      | a peer's servers       | chunks          |
      | a peer's servers       | no length       |
      | a peer's configuration | a length        |
      | a peer's configuration | chunks          |
      | a peer's configuration | no length       |

    Examples: nothing but the end of the connection ends the answer
      | call      | form      |
      | a listing | no length |
      | a watch   | no length |
      | a read    | no length |
      | a write   | no length |
