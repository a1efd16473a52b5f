Feature: Requests that end the servers that run them

  # Guards against a request that ends server after server because every attempt, at
  # whichever instance, is taken for a new request.
  Scenario Outline: A request that has ended three servers is kept from the others
    Given crashes: four instances and servers that "fatal" ends
    When crashes: "<route>" is asked for "fatal" until three servers have ended
    And crashes: the time passes in which every instance is to know
    And crashes: "<route>" is asked for "fatal" twice at each instance
    Then crashes: at most three of the last sendings reach a server

    Examples:
      | route  |
      | digest |
      | draft  |
      | notify |
      | print  |

  # Guards against a server that fails everything and so seems to prove a request sound.
  Scenario: A failure that a server answers clears no request
    Given crashes: four instances and servers that "fatal" ends
    When crashes: "notify" is asked for "fatal" until two servers have ended
    And crashes: "notify" is asked for "fatal" once while all servers fail
    And crashes: "notify" is asked for "fatal" until three servers have ended
    And crashes: the time passes in which every instance is to know
    And crashes: "notify" is asked for "fatal" twice at each instance
    Then crashes: at most four servers have ended

  # Guards against the same in completions: what ends each engine that runs it is sent to
  # four engines an attempt, for as many attempts as its caller makes.
  Scenario: A completion that has ended three engines is kept from the others
    Given crashes: a completion that ends each engine that runs it
    When crashes: its caller sends it five times
    Then crashes: at most six engines have ended

  # Guards against the same at each instance of a fleet: a caller reaches another one with
  # each attempt.
  Scenario: A completion that has ended three engines is kept from those of all instances
    Given crashes: a completion that ends each engine that runs it
    And crashes: a fleet of five instances in two failure domains
    When crashes: its caller sends it five times, to another instance each time
    Then crashes: at most six engines have ended
    When crashes: its caller sends it to an instance that has just started
    Then crashes: at most six engines have ended

  Scenario: A completion that runs to its end at one instance is no suspect at any
    Given crashes: a completion that ends each engine that runs it
    And crashes: a fleet of five instances in two failure domains
    When crashes: its caller sends it five times, to another instance each time
    And crashes: an engine answers it after all
    Then crashes: no instance keeps it from engines

  # Guards against a notice larger than a frame, which would end each new link.
  Scenario: An instance that starts after thousands of losses is told the worst of them
    Given crashes: a completion that ends each engine that runs it
    And crashes: a fleet of five instances in two failure domains
    When crashes: 3900 completions have lost five engines each, and one has lost six
    Then crashes: an instance that starts is told of the one in a notice of one frame
