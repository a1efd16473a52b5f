Feature: Many instances tell requests that end servers from those beside them

  # Guards against requests that are kept from servers only because they ran beside one
  # that ends them: each of them lost its server with it, and perhaps the next one too.
  Scenario Outline: Requests beside one that ends servers are not taken for it
    Given crashes: a replay of <instances> instances in <domains> domains before <engines> engines
    When crashes: one of <rate> requests a second ends each server that runs it, drawn by <seed>
    Then crashes: at most three sendings of it go out later than all must know
    And crashes: no other request is kept from servers

    Examples:
      | instances | domains | engines | rate | seed |
      | 8         | 3       | 6       | 90   | 2    |
      | 8         | 3       | 6       | 90   | 3    |
      | 8         | 3       | 6       | 90   | 4    |
      | 8         | 3       | 6       | 90   | 5    |
      | 8         | 3       | 6       | 90   | 1    |
      | 84        | 3       | 46      | 360  | 1    |
      | 195       | 6       | 30      | 210  | 2    |

  # Guards against a partial loss of servers, one after the other, that makes each request
  # look guilty which was sent again to a server that ended next.
  Scenario Outline: The loss of many servers puts nobody into quarantine
    Given crashes: a replay of <instances> instances in <domains> domains before <engines> engines
    When crashes: half of the servers end twice under <rate> requests a second, drawn by <seed>
    Then crashes: no other request is kept from servers

    Examples:
      | instances | domains | engines | rate | seed |
      | 8         | 3       | 6       | 90   | 1    |
      | 8         | 3       | 6       | 90   | 2    |
      | 8         | 3       | 6       | 90   | 3    |
      | 8         | 3       | 6       | 90   | 4    |
      | 8         | 3       | 6       | 90   | 6    |
      | 8         | 3       | 6       | 90   | 10   |
      | 8         | 3       | 6       | 90   | 12   |
      | 8         | 3       | 6       | 90   | 25   |
      | 8         | 3       | 6       | 90   | 28   |
      | 8         | 3       | 34      | 200  | 1    |
      | 8         | 3       | 34      | 200  | 8    |
      | 84        | 3       | 46      | 360  | 4    |

  # Guards against two requests that end servers at the same time, between which others
  # lose one server after the other.
  Scenario Outline: Requests beside two that end servers are not taken for them
    Given crashes: a replay of <instances> instances in <domains> domains before <engines> engines
    When crashes: two of <rate> requests a second end each server that runs them, drawn by <seed>
    Then crashes: at most three sendings of it go out later than all must know
    And crashes: no other request is kept from servers

    Examples:
      | instances | domains | engines | rate | seed |
      | 8         | 3       | 6       | 90   | 4    |
      | 8         | 3       | 6       | 90   | 5    |
      | 8         | 3       | 6       | 90   | 12   |
      | 8         | 3       | 6       | 90   | 11   |

  # Guards against a request that lost its servers in one wave each and came back last,
  # when all others that had lost as many were cleared.
  Scenario Outline: Losses in three waves put nobody into quarantine
    Given crashes: a replay of <instances> instances in <domains> domains before <engines> engines
    When crashes: a third of the servers end thrice under <rate> requests a second, drawn by <seed>
    Then crashes: no other request is kept from servers

    Examples:
      | instances | domains | engines | rate | seed |
      | 8         | 3       | 34      | 200  | 2    |
      | 8         | 3       | 34      | 200  | 5    |
      | 84        | 3       | 46      | 360  | 3    |
      | 8         | 3       | 6       | 90   | 23   |

  # Guards against a partial loss that hides who ends the other servers.
  Scenario Outline: A loss beside a request that ends servers puts nobody else into quarantine
    Given crashes: a replay of <instances> instances in <domains> domains before <engines> engines
    When crashes: half of the servers end beside one of <rate> requests a second that ends each, drawn by <seed>
    Then crashes: at most three sendings of it go out later than all must know
    And crashes: no other request is kept from servers

    Examples:
      | instances | domains | engines | rate | seed |
      | 8         | 3       | 34      | 200  | 3    |
      | 8         | 3       | 34      | 200  | 6    |
      | 8         | 3       | 6       | 90   | 53   |
      | 8         | 3       | 6       | 90   | 22   |
