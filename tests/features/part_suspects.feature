Feature: What an instance concludes when servers end under a part of prompts

  Background:
    Given parts: an instance that knows of no crash

  # Guards against a part that ends servers under requests no two alike.
  Scenario: A part under which four servers ended is kept from the others
    When parts: 4 servers end 80 ms after they got prompts of "first, fatal"
    And parts: the time passes in which peers can clear a crash
    Then parts: prompts of "fatal" are kept from servers
    And parts: prompts of "other" are not

  # Guards against a first part that is blamed for what another part of its prompts does.
  Scenario: A part that completes in between is not the cause
    When parts: 4 servers end 80 ms after they got prompts of "first, fatal"
    And parts: a prompt of "first" completes
    And parts: the time passes in which peers can clear a crash
    Then parts: prompts of "first" are not
    And parts: prompts of "fatal" are kept from servers

  # Guards against the same while no prompt of the first part completes any more.
  Scenario: A part that completed lately is not blamed for what another part explains
    When parts: a prompt of "first" completes
    And parts: 6 servers end 80 ms after they got prompts of "first, fatal"
    And parts: the time passes in which peers can clear a crash
    Then parts: prompts of "first" are not
    And parts: prompts of "fatal" are kept from servers

  # Guards against a loss of many servers that blames each part they were answering.
  Scenario: A part that a server had answered for a while is not the cause
    When parts: 6 servers end while they have sent events of "first" for a while
    And parts: 6 servers end 80 ms after they got prompts of "first"
    And parts: peers tell that these had sent events of "first" for a while
    And parts: the time passes in which peers can clear a crash
    Then parts: prompts of "first" are not

  # Guards against the same where no server had sent events for long.
  Scenario: A part that many servers were answering when they ended at once is not blamed
    When parts: 9 servers end within 500 ms, each under a prompt of "first"
    And parts: the time passes in which peers can clear a crash
    Then parts: prompts of "first" are not

  # Guards against a part that stays blamed since all its requests are refused.
  Scenario: A part that is sound again is cleared by a request on trial
    When parts: 4 servers end 80 ms after they got prompts of "first, fatal"
    And parts: 50 s pass
    Then parts: one of 10 prompts of "fatal" may run
    When parts: the prompt on trial completes
    Then parts: prompts of "fatal" are not

  # Guards against trials that cost a server each, one after the other.
  Scenario: A trial under which a server ends is not repeated soon
    When parts: 4 servers end 80 ms after they got prompts of "first, fatal"
    And parts: 50 s pass
    Then parts: one of 10 prompts of "fatal" may run
    When parts: a server ends under the prompt on trial
    Then parts: none of 10 prompts of "fatal" may run
    When parts: 50 s pass
    Then parts: none of 10 prompts of "fatal" may run
    When parts: 150 s pass
    Then parts: one of 10 prompts of "fatal" may run

  # Guards against a verdict by evidence that peers are about to clear.
  Scenario: Crashes count only once peers could clear them
    When parts: 4 servers end 80 ms after they got prompts of "first, fatal"
    Then parts: prompts of "fatal" are not
    When parts: the time passes in which peers can clear a crash
    Then parts: prompts of "fatal" are kept from servers

  # Guards against an instance that starts anew and lets a fatal part through.
  Scenario: An instance that has just started learns of a part from a peer
    When parts: 4 servers end 80 ms after they got prompts of "first, fatal"
    And parts: another instance starts and hears some beacons
    Then parts: prompts of "fatal" are kept from servers there

  # Guards against memory that grows with the parts that clients name.
  Scenario: Thousands of parts push out no fatal one and take bounded memory
    When parts: 4 servers end 80 ms after they got prompts of "first, fatal"
    And parts: 9000 other parts lose a server each and complete
    And parts: the time passes in which peers can clear a crash
    Then parts: prompts of "fatal" are kept from servers
    And parts: no more parts are remembered than the bound

  Scenario: An operator lets a part run again
    When parts: 4 servers end 80 ms after they got prompts of "first, fatal"
    And parts: the time passes in which peers can clear a crash
    And parts: the digest of "fatal" is exempt in the settings
    Then parts: prompts of "fatal" are not
