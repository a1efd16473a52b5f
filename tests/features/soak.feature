# Gateways run as processes behind relays. They are killed, stopped, paused, cut off from
# the store and from servers that crash, leave and misbehave; clients keep asking. Bounds
# on time are left to `python -m tests.soak`, which plays fresh seeds too.
Feature: A seeded run of the soak

  Scenario: No promise is broken under drawn faults
    When the soak plays seed 1 for 8 seconds
    Then no promise was broken and most requests were served
