# Four gateways and eleven servers as processes, without relays before the servers. Servers
# stand still for 0.5 to 4 s and leave meanwhile; gateways are stopped gracefully.
Feature: A seeded run of the soak in which servers stand still and leave

  # Guards against late, repeated and lost requests at servers that stand still.
  Scenario: Servers that stand still get nothing after they left, and nothing is lost
    When the soak plays seed 5 for 5 seconds of servers and gateways that stop
    Then no promise was broken and most requests were served
