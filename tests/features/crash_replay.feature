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
