# Some instances lose the path to all servers, for seconds. Clients, the store and their
# peers still reach them, so the load balancer goes on giving them requests. They try one
# server after the other until each request's time is up.
Feature: Instances without a path to servers

  # Guards against callers who are served worse where an instance has lost all servers.
  Scenario Outline: Instances cut off from all servers serve their callers like the others
    Given cut: 4 instances with servers, and clients at each
    When cut: g0 and g1 lose all servers, <how>, for <contact> s
    Then cut: first attempts there are served as often as the users demand
    And cut: nothing ran twice that must not
    And cut: no request was quarantined

    Examples:
      | how                         | contact |
      | silent                      | 3       |
      | reset                       | 3       |
      | refused                     | 3       |
      | accepted on the way         | 3       |
      | new connections are refused | 3       |
      | new connections hang        | 3       |

  # Guards against the same in processes whose partition delays what is sent.
  Scenario: Gateway processes cut off from all servers serve their callers like the others
    Given cut: 4 gateway processes behind relays, and clients at each
    When cut: nothing passes between g0, g1 and servers for 3 s
    Then cut: first attempts there are served as often as the users demand
    And cut: nothing ran twice that must not

  # Guards against requests that fail since only the engines of one stage are out of reach.
  Scenario Outline: An instance cut off from the engines of one stage serves its callers
    Given cut: 3 instances with servers, and clients at each
    When cut: g0 and g1 lose the <names>, silent, for 3 s
    Then cut: first attempts there are served as often as the users demand

    Examples:
      | names   |
      | readers |
      | writers |

  # Guards against requests passed around among instances that have all lost the servers.
  Scenario: Instances that have all lost the servers forward nothing
    Given cut: 3 instances with servers, and clients at each
    When cut: all instances lose all servers, refused, for 2 s
    And cut: clients go on asking
    Then cut: no request was forwarded meanwhile

  # Guards against an instance that goes on using peers after its own path is back.
  Scenario: An instance whose path is back serves its callers itself
    Given cut: 3 instances with servers, and clients at each
    When cut: g0 and g1 lose all servers, silent, for 2 s
    And cut: the path of g0 and g1 is back
    And cut: clients go on asking
    Then cut: no request was forwarded meanwhile
    And cut: nothing ran twice that must not

  # Guards against a second partition that finds the instance unprepared.
  Scenario: An instance that is cut off twice serves its callers like the others
    Given cut: 3 instances with servers, and clients at each
    When cut: g0 and g1 lose all servers, silent, for 2 s
    And cut: the path of g0 and g1 is back
    And cut: g0 and g1 lose all servers, silent, for 3 s
    Then cut: first attempts there are served as often as the users demand
    And cut: nothing ran twice that must not
