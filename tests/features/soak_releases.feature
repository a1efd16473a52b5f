# Four gateways as processes with relays on the paths between them; one is cut off from its
# peers and the store, or stands still, while servers of another version are released.
Feature: A seeded run of the soak in which versions change beside a gateway out of step

  # Guards against streams that go on at another version, since an instance knows only one.
  Scenario: No stream goes on at another version at a gateway that is out of step
    When the soak plays seed 6 for 8 seconds of releases beside a gateway out of step
    Then no promise was broken and most requests were served
