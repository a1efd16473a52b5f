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

    Examples:
      | how                         | contact |
      | silent                      | 3       |
      | reset                       | 3       |
      | refused                     | 3       |
      | new connections are refused | 3       |
      | new connections hang        | 3       |
