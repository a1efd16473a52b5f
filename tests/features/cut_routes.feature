# A server or a peer stops after any byte of its answer to a request on a route, and its
# connection is closed or reset.
Feature: Answers on routes that are cut after any byte

  # Guards against a cut answer that a client gets as a whole one, or as "not run".
  Scenario Outline: Of <answers> with <form>, "<route>" passes on the whole ones only
    Given cut routes: a plain server whose <answers> with <form> are cut
    When cut routes: "<route>" is asked for with each cut
    Then cut routes: each client is told the truth
    And cut routes: each request has reached the server, once at most if unsafe

    Examples:
      | route  | answers  | form             |
      | print  | answers  | a length         |
      | print  | answers  | chunks           |
      | print  | answers  | no length        |
      | print  | answers  | no body          |
      | print  | answers  | interim answers  |
      | print  | answers  | bare line feeds  |
      | print  | answers  | an older version |
      | print  | failures | a length         |
      | print  | failures | chunks           |
      | print  | refusals | a length         |
      | print  | refusals | chunks           |
      | notify | answers  | a length         |
      | notify | answers  | no body          |
      | notify | refusals | interim answers  |

  # Guards against a cut stream that a client gets as a whole one, or as "not run".
  Scenario Outline: Of an engine's <answers> with <form>, the whole ones only are whole
    Given cut routes: an engine whose <answers> with <form> are cut
    When cut routes: "draft" is asked for with each cut
    Then cut routes: each client is told the truth
    And cut routes: each request has reached the server, once at most if unsafe

    Examples:
      | answers  | form             |
      | streams  | a length         |
      | streams  | chunks           |
      | streams  | no length        |
      | streams  | no body          |
      | streams  | interim answers  |
      | streams  | an older version |
      | failures | a length         |
      | refusals | a length         |

  # Guards against events that are missing or come twice where a stream goes on.
  Scenario Outline: A cut stream with <form> goes on at another engine
    Given cut routes: two engines whose first streams with <form> are cut
    When cut routes: "digest" is asked for with each cut
    Then cut routes: each client has each event once, and the end

    Examples:
      | form            |
      | a length        |
      | chunks          |
      | no length       |
      | interim answers |

  # Guards against an answer with two lengths, which is malformed, or a wrong one.
  Scenario Outline: An answer of <form> to <method> has one length at most
    Given cut routes: a plain server whose answers with <form> are cut
    When cut routes: the whole answer is asked for by <method>
    Then cut routes: it has <lengths>

    Examples:
      | form      | method | lengths     |
      | a length  | POST   | one length  |
      | chunks    | POST   | one length  |
      | no body   | POST   | no length   |
      | a length  | HEAD   | no length   |
      | chunks    | HEAD   | no length   |
      | no body   | HEAD   | no length   |

  # Guards against a part of a handle that is taken for the handle.
  Scenario Outline: A cut answer with a handle and <form> is no handle
    Given cut routes: a prefill engine whose prompts with <form> are cut
    When cut routes: "draft" is asked for with each cut
    Then cut routes: no engine is told of a handle that was not given whole
    And cut routes: each client gets its stream, whole and run once
    And cut routes: a handle that was given whole is used

    Examples:
      | form            |
      | a length        |
      | chunks          |
      | interim answers |

  # Guards against a cut answer of a peer that a client gets as a whole one, or as "not
  # run".
  Scenario Outline: Of a peer's <answers> with <form>, "<route>" passes on the whole ones
    Given cut routes: a peer whose <answers> with <form> are cut
    When cut routes: "<route>" is asked for with each cut
    Then cut routes: each client is told the truth
    And cut routes: each request has reached the server, once at most if unsafe

    Examples:
      | route | answers      | form            |
      | print | answers      | a length        |
      | print | answers      | chunks          |
      | print | answers      | no length       |
      | print | answers      | no body         |
      | print | answers      | interim answers |
      | print | failures     | a length        |
      | print | own failures | a length        |
      | print | own refusals | a length        |
      | draft | streams      | chunks          |
      | draft | streams      | no length       |
      | draft | streams      | interim answers |
      | draft | failures     | a length        |
      | draft | own failures | a length        |
      | draft | own refusals | a length        |
