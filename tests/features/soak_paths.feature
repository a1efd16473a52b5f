# Ten gateways in two failure domains, as processes with relays on the paths between them.
# Servers leave, routes are added and gateways restart meanwhile; all reach the store.
Feature: A seeded run of the soak that harms the paths between gateways

  # Guards against instances that hear of changes and do not get them, for seconds.
  Scenario: No promise is broken while paths between gateways fail
    When the soak plays seed 1 for 8 seconds of harmed paths between gateways
    Then no promise was broken and most requests were served
