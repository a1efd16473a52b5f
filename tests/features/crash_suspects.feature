Feature: What an instance concludes when servers end under a request

  # Guards against a crash that counts twice because two instances report it.
  Scenario: A crash that several instances report counts once
    Given suspects: a request under which servers "s1" and "s2" ended before
    When suspects: peers report "s1" and "s2"
    Then suspects: the request may run
    When suspects: peers report "s3"
    Then suspects: the request is in quarantine

  # Guards against a request that is refused because a link was cut and not its server.
  Scenario: A server that answers later was not ended by the request
    Given suspects: a request under which servers "s1", "s2" and "s3" ended before
    When suspects: "s2" answers an exchange that began later
    Then suspects: the request may run

  # Guards against an answer that was under way as its server ended and seems to clear it.
  Scenario: An answer to an earlier exchange proves nothing
    Given suspects: a request under which servers "s1", "s2" and "s3" ended before
    When suspects: "s2" answers an exchange that began earlier
    Then suspects: the request is in quarantine

  Scenario: A request that has run to its end is no suspect any more
    Given suspects: a request under which servers "s1", "s2" and "s3" ended before
    When suspects: the request runs to its end
    Then suspects: the request may run
    When suspects: peers report "s1" and "s2"
    Then suspects: the request may run
    And suspects: the peers are told that both are cleared

  # Guards against whoever has a guilty request forgotten by sending many that break off.
  Scenario: A flood of requests that break off does not push out a guilty one
    Given suspects: a request under which servers "s1", "s2" and "s3" ended before
    When suspects: 20000 other requests break off
    Then suspects: the request is in quarantine
    And suspects: no more are remembered than the bound

  # Guards against a quarantine that never ends because peers tell each other of it.
  Scenario: Peers do not keep a quarantine alive after its time
    Given suspects: a request under which servers "s1", "s2" and "s3" ended before
    When suspects: a day passes and a peer still tells of it
    Then suspects: the request may run
    And suspects: nothing is left to be told

  # Guards against a request that is refused only during the time between two crashes.
  Scenario: A request that seems guilty is held off until peers have been heard
    Given suspects: a request under which servers "s1", "s2" and "s3" ended just now
    Then suspects: the request is to come back within two seconds

  # Guards against a request that is blamed for a server which had ended before it came.
  Scenario: A request that was sent to an ended server is not blamed
    Given suspects: a request under which servers "s1" and "s2" ended before
    When suspects: it was sent to "s3" after that had ended under another request
    Then suspects: the request may run

  # Guards against an instance that starts anew and lets a guilty request through.
  Scenario: An instance that has just started learns of a quarantine from a peer
    Given suspects: a request under which servers "s1", "s2" and "s3" ended before
    When suspects: the news have been told and another instance starts
    And suspects: it hears one more beacon
    Then suspects: the request is in quarantine there

  Scenario: An operator lets a request run again
    Given suspects: a request under which servers "s1", "s2" and "s3" ended before
    When suspects: its digest is exempt in the settings
    Then suspects: the request may run

  # Guards against a request that is refused since it lost three servers to other causes.
  Scenario: A request that servers had run for any time is not taken for their cause
    Given suspects: servers end 100, 900 and 50 ms after they were sent a request
    Then suspects: the request may run

  Scenario: A request that ends servers soon after each sending is taken for the cause
    Given suspects: servers end 100, 190 and 70 ms after they were sent a request
    Then suspects: the request is in quarantine

  # Guards against doubts that let a request end servers for ever.
  Scenario: A request that five servers ended under alike is in quarantine whatever else ended
    Given suspects: servers end 100, 90, 110, 100 and 80 ms after they were sent a request
    And suspects: the same servers and one more had been sent another request 0 ms earlier
    Then suspects: both requests are in quarantine

  Scenario: A request that five servers ended under is in quarantine whatever the doubts
    Given suspects: servers end 100, 900, 50, 700 and 20 ms after they were sent a request
    Then suspects: the request is in quarantine

  # Guards against a request that shares each server with the one that ends them.
  Scenario: Of two requests under which the same servers ended the newer one is the cause
    Given suspects: servers end 50, 50 and 50 ms after they were sent a request
    And suspects: the same servers had been sent another request 30 ms earlier
    Then suspects: the request is in quarantine
    And suspects: the other request may run

  # Guards against a request that is judged in place of the one it was sent again with.
  Scenario: Two requests that the same servers had had equally long may both run
    Given suspects: servers end 50, 50 and 50 ms after they were sent a request
    And suspects: the same servers had been sent another request 0 ms earlier
    Then suspects: the request may run
    And suspects: the other request may run

  # Guards against the last request to come back after the loss of many servers: all
  # others beside it have run to their end by then and are no suspects any more.
  Scenario: Ends of as many other servers put a request in doubt
    Given suspects: servers end 100, 110 and 90 ms after they were sent a request
    And suspects: three other servers end at the same time
    Then suspects: the request may run

  # Guards against a request that is refused for a day since it lost three servers to
  # other causes and nothing shows it.
  Scenario: A quarantine is short at first and longer with each further end
    Given suspects: servers end 100, 110 and 90 ms after they were sent a request
    Then suspects: the request is in quarantine for 10 minutes
    When suspects: that time passes
    Then suspects: the request may run
    When suspects: one more server ends 100 ms after it was sent the request
    Then suspects: the request is in quarantine for 60 minutes
    When suspects: that time passes
    And suspects: one more server ends 100 ms after it was sent the request
    Then suspects: the request is in quarantine for 1440 minutes
