Feature: What operators and on-call engineers see and change

  # A log collector stops reading. The pipe fills; the next line must neither block the
  # process nor be written in pieces, and the loss must show later.
  Scenario: Nobody reads the log and the process goes on
    Given a log whose reader has stopped
    When 20000 lines are logged
    Then each write returned at once
    When the reader goes on
    Then every line it gets is whole
    And a line tells how many were dropped

  Scenario: Lines of requests that went wrong outlast those that went well
    Given a log budget
    When 1000 good and 1000 bad requests end in one second
    Then more lines of the bad ones are written than of the good ones
    And the lines tell in all how many were dropped

  Scenario Outline: The log lines of a failed request end with its likely cause
    Given the log lines of a request that <happened>
    Then its explanation names "<cause>"

    Examples:
      | happened                        | cause                          |
      | was refused in overload         | overload                       |
      | waited in vain                  | no engine took requests for 1800 ms |
      | waited for servers that limit their rate | at rest or leaving: d1, d2 |
      | is in quarantine                | quarantine: servers crashed under earlier attempts, digest 00a1b2c3d4e5 |
      | broke midway                    | server d1 broke off            |
      | was left by its client          | the client left                |
      | ended with its connection       | no answer: the connection ended before its turn |
      | was answered by a failing server | the server answered 500       |
      | was served                      | none                           |
      | was served late                 | late by 120 ms, cause queue (held 2 ms, queue 400 ms, prefill 90 ms, longest gap 30 ms) |
      | no instance has heard of        | no line names this request     |

  Scenario: Lines of others and of no meaning are passed over
    Given the log lines of two requests with a collector's stamp and broken lines
    Then only the lines of the one that was asked for are told, in order of time

  Scenario: Settings that changed are in force after SIGHUP
    Given an instance with a repeat slack of 100
    When its settings file is changed to a slack of 0 and a ratio of 0
    Then it repeats nothing any more

  Scenario: Settings that are wrong leave the old ones in force
    Given an instance with a repeat slack of 100
    When its settings file is changed to nonsense
    Then it still repeats

  # An engine that changes its stage declines all and has no streams left, so it looks
  # the best of all. The first that it declines must not be followed by all others.
  Scenario: An engine that declines everything does not attract everything
    Given 1 engine that reads and 3 that write with 9 streams each
    When the emptiest of them declines 1 request
    Then it is passed over for 0.05 seconds
    When the emptiest of them declines 3 request
    Then it is passed over for 0.5 seconds
    And it is used again after 1.0 seconds

  # Guards against an operator who can let a request run again only by restarting all.
  Scenario: A request in quarantine runs again once the settings exempt it
    Given an instance that keeps a request from servers
    When its settings file exempts the request
    Then the request may run at that instance

  Scenario: A digest that is none is refused, with what is wrong
    Then settings that exempt "xyz" are refused and name the field
