# One process on a machine with 128 MB. Its clients send what they like and read nothing.
Feature: Clients that do not behave end no process

  # Guards against processes that run out of memory for what their clients send.
  Scenario Outline: <clients> clients with <what> do not end a gateway
    Given hostile: a gateway
    When hostile: <clients> clients of its port for <port> send <what>
    Then hostile: the gateway lives within its machine's memory and descriptors
    And hostile: an ordinary request is answered

    Examples:
      | clients | what                                           | port             |
      | 3       | trailers without end                           | clients          |
      | 3       | a trailer line without end                     | clients          |
      | 3       | trailers without end                           | readiness        |
      | 3       | trailers without end                           | metrics          |
      | 3       | trailers without end                           | lists of peers   |
      | 3       | trailers without end                           | forwarding peers |
      | 40      | bodies just short of their end                 | clients          |
      | 40      | bodies just short of their end, piece by piece | clients          |
      | 40      | whole bodies                                   | clients          |
      | 16      | requests ahead                                 | clients          |
      | 16      | requests ahead                                 | readiness        |

  # Guards against the same in the first daemon.
  Scenario Outline: <clients> callers with <what> do not end a first daemon
    Given hostile: a first daemon
    When hostile: <clients> of its callers send <what>
    Then hostile: the first daemon lives within its machine's memory and descriptors
    And hostile: an ordinary call is answered

    Examples:
      | clients | what                                           |
      | 3       | trailers without end                           |
      | 40      | bodies just short of their end                 |
      | 40      | bodies just short of their end, piece by piece |
      | 40      | whole bodies                                   |
      | 16      | requests ahead                                 |

  # Guards against clients whose input takes all of a process's time.
  Scenario: Ordinary requests are answered beside clients that send chunks of one byte
    Given hostile: a gateway
    When hostile: 4 requests are sent beside 20 clients with chunks of one byte
    Then hostile: all of them are answered

  # Guards against fields that a client smuggles behind its body, past the checks of the
  # head.
  Scenario Outline: The field "<name>" behind a body reaches no server
    Given hostile: a gateway
    When hostile: a request with the field "<name>" behind its body is answered
    Then hostile: its server has received the body without the field

    Examples:
      | name         |
      | x-request-id |
      | x-trace      |

  # Guards against bounds that a client inside its limits meets.
  Scenario: The largest body is served in calm
    Given hostile: a gateway
    When hostile: a request with the largest body is sent
    Then hostile: it is answered by a server

  # Guards against promises that are not kept to requests for which there is no memory.
  Scenario: Requests that are refused for want of memory have not run
    Given hostile: a gateway
    When hostile: 40 clients send whole bodies and read the answers
    Then hostile: some are answered 503 with a time to come back, and none of these ran
