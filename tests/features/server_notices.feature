Feature: Servers that leave or ask for a rest get no more requests

  # Guards against a belief about a server that no log line and no metric shows.
  Scenario: What is believed of leaving and resting servers is logged and counted
    Given limits: 1 instances before 1 readers, 2 writers and 2 plain servers
    And limits: the log is recorded
    When notices: "d1" says that it leaves
    And notices: "a1" declines and asks for "3" seconds of rest
    And limits: clients ask for 20 answers a second for 1 seconds
    Then notices: 1 leaving and 1 resting servers are counted
    And notices: the log tells of "d1" "leaving" "1" and of "a1" "rest" "3.0"

  # Guards against a leaving server that is used on while the store, whose list is the
  # only other source, is away.
  Scenario: Leaving servers that say so in their answers get nothing two seconds later
    Given limits: 3 instances before 2 readers, 3 writers and 3 plain servers
    When notices: the store is away
    And notices: a reader, a writer and a plain server say that they leave
    And limits: clients ask for 40 answers a second for 6 seconds
    Then notices: none of these gets a request 2 s after an answer said so
    And limits: at least 95 in 100 are served

  # Guards against a server that is asked again and again in the time that it asked to be
  # left alone, while clients are refused although other servers have room.
  Scenario: Servers that ask for a rest get no request until its end
    Given limits: 3 instances before 2 readers, 3 writers and 3 plain servers
    When notices: a reader, a writer and a plain server decline and ask for 3 s of rest
    And limits: clients ask for 40 answers a second for 6 seconds
    Then notices: none of these gets over 2 requests of an instance in its rest of 3 s
    And limits: at least 95 in 100 are served

  # Guards against clients that wait until they leave, or come back too early, while
  # every server has asked to be left alone.
  Scenario Outline: If all servers rest, clients hear at once when to come back
    Given limits: 1 instances before 1 readers, 1 writers and 1 plain servers
    When notices: "<server>" declines and asks for "30" seconds of rest
    And limits: clients ask for 10 answers a second for 1 seconds
    Then notices: "<server>" declined 1 request
    And notices: each "<route>" was refused and may come back after 29 to 36 s

    Examples:
      | server | route  |
      | d1     | digest |
      | a1     | notify |

  # Guards against a decode engine that was chosen before the prompt was prefilled and has
  # asked for no more requests since; prefilling again would take as long once more.
  Scenario Outline: A prompt whose decode engine <does> meanwhile goes to another one
    Given limits: 1 instances before 1 readers, 2 writers and 1 plain servers
    And notices: "d1" is the writer with the fewest streams
    When notices: a client asks for "digest" and "d1" <does> while the prompt is read
    Then notices: the prompt was read once and only "d2" ran the request

    Examples:
      | does                  |
      | says that it leaves   |
      | asks for a rest       |
      | names a limit of 0    |
      | is listed as draining |
      | is listed no more     |

  # Guards against values without a meaning: none may raise, or exclude a server for ever.
  Scenario Outline: Each value of the fields has one meaning
    Then notices: with status <status> the header fields "<fields>" tell <what>

    Examples:
      | status | fields                                 | what              |
      | 200    | Server-Leaving: 1                      | leaving           |
      | 200    | SERVER-LEAVING: 1                      | leaving           |
      | 200    | Server-Leaving: 0                      | nothing           |
      | 200    | Server-Leaving: 0, Server-Leaving: 1   | leaving           |
      | 200    | Server-Leaving: yes                    | unreadable leaving |
      | 200    | Server-Leaving:                        | unreadable leaving |
      | 503    | Retry-After: 3                         | rest 3.0          |
      | 503    | retry-after: 0.25                      | rest 0.25         |
      | 503    | Retry-After: 2, Retry-After: 5         | rest 5.0          |
      | 503    | Retry-After: -1                        | unreadable rest   |
      | 503    | Retry-After: nan                       | unreadable rest   |
      | 503    | Retry-After: inf                       | unreadable rest   |
      | 503    | Retry-After: 400 digits                | unreadable rest   |
      | 503    | Retry-After: Wed; 21 Oct               | unreadable rest   |
      | 503    | Retry-After:                           | unreadable rest   |
      | 503    | x-other: 1                             | nothing           |
      | 200    | Retry-After: 3                         | nothing           |
      | 429    | Retry-After: 3                         | nothing           |
