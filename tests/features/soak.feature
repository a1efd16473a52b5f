# Gateways run as processes behind relays. They are killed, stopped, paused, cut off from
# the store and from servers that crash, leave and misbehave; clients keep asking. Bounds
# on time are left to `python -m tests.soak`, which plays fresh seeds too.
Feature: A seeded run of the soak

  Scenario: No promise is broken under drawn faults
    When the soak plays seed 1 for 8 seconds
    Then no promise was broken and most requests were served

  # Guards against a request that goes on ending servers while instances are killed and
  # cut off, which is when they forget it.
  Scenario: No promise is broken while a request ends the servers that run it
    When the soak plays seed 301 for 8 seconds with a request that ends servers
    Then no promise was broken and most requests were served

  # Guards against instances that go on by an old list or configuration for half a minute.
  Scenario Outline: No promise is broken while connections fall silent and changes come
    When the soak plays seed <seed> for 8 seconds of silence and changes
    Then no promise was broken and most requests were served

    Examples:
      | seed |
      | 1    |
      | 4    |

  # Guards against answers that are given up while a sound server is silent for a second.
  Scenario Outline: No answer is lost while servers fall silent for a second and go on
    When the soak plays seed <seed> for 8 seconds of pauses and changes
    Then no promise was broken and most requests were served

    Examples:
      | seed |
      | 4    |
      | 5    |

  # Guards against requests that are refused or lost while the store is away.
  Scenario: No promise is broken while the store is away and servers leave unsaid
    When the soak plays seed 3 for 8 seconds of outages
    Then no promise was broken and most requests were served

  # Guards against an instance that uses servers which left while the store answers others.
  Scenario: No promise is broken while the store turns gateways away in turn
    When the soak plays seed 4 for 12 seconds of outages and gateways that are turned away
    Then no promise was broken and most requests were served

  # Guards against leavings that are undone by earlier check-ins, or happen in a pause.
  Scenario: No promise is broken while check-ins are late and gateways stand still
    When the soak plays seed 2 for 5 seconds of late check-ins and pauses of gateways
    Then no promise was broken and most requests were served

  # Guards against servers that stay unused after a cut, and against requests that are lost
  # while one failure domain after the other is out of reach.
  Scenario: No promise is broken while engines are uneven and domains fall silent in turn
    When the soak plays seed 1 for 8 seconds of uneven engines
    Then no promise was broken and most requests were served
