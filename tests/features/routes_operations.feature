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

  Scenario Outline: The story of a failed request ends with its likely cause
    Given the log lines of a request that <happened>
    Then its explanation names "<cause>"

    Examples:
      | happened                        | cause                          |
      | was refused in overload         | overload                       |
      | broke midway                    | server d1 broke off            |
      | was left by its client          | the client left                |
      | was answered by a failing server | the server answered 500       |
      | was served                      | none                           |
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

  # The site was set up with one reading engine of six; prompts wait for seconds while
  # the engines that write are nearly idle.
  Scenario: An engine that can be spared is told to read when reading is short
    Given 1 engine that reads and 5 that write with 5 streams each
    When 200000 tokens a second are to be read for 20 seconds
    Then one of them is planned to read within 10 seconds
    And no second one is planned while the first is away

  Scenario: A short peak changes no stage
    Given 1 engine that reads and 5 that write with 5 streams each
    When 200000 tokens a second are to be read for 6 seconds
    Then nothing is planned

  # Streams hold slots and memory and can't wait: taking an engine from them would make
  # the others refuse streams.
  Scenario: No engine is taken from streams that need it
    Given 1 engine that reads and 5 that write with 40 streams each
    When 200000 tokens a second are to be read for 20 seconds
    Then nothing is planned

  Scenario: An engine goes back to writing when streams fill the others
    Given 4 engine that reads and 2 that write with 62 streams each
    When 10000 tokens a second are to be read for 20 seconds
    Then one of them is planned to write within 10 seconds

  # Engines have left and the domain is cut off: five read and two write, and forty
  # requests wait for a slot at each of these. Reading has little to spare, but less need.
  Scenario: An engine goes to writing if that is worse off than reading will be
    Given 5 engine that reads and 2 that write with 104 streams each
    When 190000 tokens a second are to be read for 20 seconds
    Then one of them is planned to write within 10 seconds

  Scenario: Where both are short no engine goes to the stage that is better off
    Given 5 engine that reads and 2 that write with 66 streams each
    When 900000 tokens a second are to be read for 20 seconds
    Then nothing is planned

  # The learned rate starts low. A change on such a rate would move engines for nothing.
  Scenario: Nothing is planned before the engines' speed is known
    Given 1 engine that reads and 5 that write with 5 streams each
    And no prompt has been timed
    When 200000 tokens a second are to be read for 20 seconds
    Then nothing is planned

  # The rate is learned too low, so the demand looks twice what can be read; but nothing
  # waits.
  Scenario: No engine is moved for prompts that do not wait
    Given 1 engine that reads and 5 that write with 5 streams each
    And no prompt waits
    When 200000 tokens a second are to be read for 20 seconds
    Then nothing is planned

  # An engine that changes its stage declines all and has no streams left, so it looks
  # the best of all. The first that it declines must not be followed by all others.
  Scenario: An engine that declines everything does not attract everything
    Given 1 engine that reads and 3 that write with 9 streams each
    When the emptiest of them declines 1 request
    Then it is passed over for 0.05 seconds
    When the emptiest of them declines 3 request
    Then it is passed over for 0.5 seconds
    And it is used again after 1.0 seconds
