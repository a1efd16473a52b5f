# A request that was read whole is refused before its client's time is up.
Feature: Requests whose wait is in vain are refused in time

  # Guards against clients that hear nothing, since the question whether the path to the
  # servers is lost takes longer than they wait.
  Scenario Outline: "<route>" is refused in time while no probe of a path ends
    Given in time: an instance with a plain server that is gone, whose probes do not end
    When in time: "<route>" is asked for with 1 second left
    Then in time: it is refused as not run

    Examples:
      | route  |
      | print  |
      | notify |

  # Guards against "it may have run" for requests of which no server has got the body.
  Scenario Outline: "<route>" is refused as not run if no server asks for its body
    Given in time: an instance whose server of "<route>" reads nothing
    When in time: "<route>" is asked for with 1 second left
    Then in time: it is refused as not run

    Examples:
      | route  |
      | print  |
      | notify |
      | draft  |
      | digest |
