# The instances know nothing of each other, so none has a record of another one's streams.
# Engines don't check whose stream they resume.
Feature: Streams resumed by an instance whose server list is old

  # Guards against a list from before a stream began that counts as knowing its version.
  Scenario Outline: An instance cut off from the store refuses streams resumed with <value>
    Given out of step: two instances that have seen one version for long
    When out of step: the late instance loses the store
    And out of step: engines of "v2" join and those of "v1" drain
    And out of step: clients begin 12 streams and resume them at the late one with <value>
    Then out of step: no stream holds events of two versions
    And out of step: all are refused as not run, with a time to come back

    Examples:
      | value                       |
      | the id of its first attempt |
      | nothing                     |

  # Guards against the same in a fleet that exchanges records and lists.
  Scenario: A gateway process cut off during a release refuses streams begun elsewhere
    Given out of step: 4 gateway processes that have seen one version for long
    When out of step: one of them loses its peers and the store
    And out of step: engines of the second version replace those of the first
    And out of step: clients begin 60 streams elsewhere, and resume them there
    Then out of step: no stream holds events of two versions
    And out of step: all are refused as not run, with a time to come back

  # Guards against a version that came and went while an instance learned nothing.
  Scenario: A stream of a version that was withdrawn meanwhile is refused
    Given out of step: two instances that have seen one version for long
    When out of step: the late instance loses the store
    And out of step: engines of "v2" join and those of "v1" drain
    And out of step: clients begin 12 streams
    And out of step: the release is undone
    And out of step: 3 seconds pass
    And out of step: the late instance regains the store
    And out of step: they resume at the late one with nothing
    Then out of step: no stream holds events of two versions
    And out of step: all are refused as not run, with a time to come back

  # Guards against refusals that last for the time limit of the route after each outage.
  Scenario: Streams of the only version go on once the store is back
    Given out of step: two instances that have seen one version for long
    When out of step: the late instance loses the store
    And out of step: clients begin 12 streams
    And out of step: 3 seconds pass
    And out of step: the late instance regains the store
    And out of step: they resume at the late one with nothing
    Then out of step: all are resumed

  # Guards against history that the store has dropped counting as no change.
  Scenario: Without the store's history of an outage streams are refused
    Given out of step: two instances that have seen one version for long
    When out of step: the late instance loses the store
    And out of step: engines of "v2" join and those of "v1" drain
    And out of step: clients begin 12 streams
    And out of step: the release is undone
    And out of step: 3 seconds pass
    And out of step: the store drops its history
    And out of step: the late instance regains the store
    And out of step: they resume at the late one with nothing
    Then out of step: no stream holds events of two versions
    And out of step: all are refused as not run, with a time to come back

  # Guards against streams that count as begun by the version that an engine had before
  # it started again, once their instance has learned of it.
  Scenario: A stream begun at an engine that had started again joins no other version
    Given out of step: two instances that have seen one version for long
    When out of step: the late instance loses the store
    And out of step: half of the decode engines restart at "v2" under their ids
    And out of step: clients begin 12 streams at the late instance
    And out of step: 6 seconds pass
    And out of step: the late instance regains the store
    And out of step: they resume at the late one with the id of its first attempt
    Then out of step: no stream holds events of two versions
    And out of step: engines of both versions have begun some

  # Guards against an engine that is taken for its earlier incarnation.
  Scenario: A stream joins no engine that has started again at another version, unlisted
    Given out of step: two instances that have seen one version for long
    When out of step: clients begin 12 streams at the late instance
    And out of step: half of the decode engines restart at "v2" under their ids, unlisted
    And out of step: they resume at the late one with the id of its first attempt
    Then out of step: no stream holds events of two versions
    And out of step: all are resumed

  # Guards against streams that are recorded as begun by an earlier incarnation.
  Scenario: A stream that an unlisted incarnation has begun goes on nowhere
    Given out of step: two instances that have seen one version for long
    When out of step: half of the decode engines restart at "v2" under their ids, unlisted
    And out of step: clients begin 12 streams at the late instance
    And out of step: they resume at the late one with the id of its first attempt
    Then out of step: no stream holds events of two versions
    And out of step: engines of both versions have begun some
    And out of step: those that "v1" began are resumed

  # Guards against a version that is forgotten while clients still come back.
  Scenario: A stream resumed for longer than its route's time limit joins no other version
    Given out of step: two instances that have seen one version for long
    When out of step: clients begin 6 streams
    And out of step: engines of "v2" join and those of "v1" drain
    And out of step: the engines of "v1" are listed no more
    And out of step: they resume at the late one with nothing
    And out of step: 3 seconds pass
    And out of step: they resume at the late one with nothing
    Then out of step: no stream holds events of two versions

  # Guards against a version that an instance doesn't know since it started afterwards.
  Scenario: A stream joins no other version at an instance that started after it left
    Given out of step: two instances that have seen one version for long
    When out of step: clients begin 6 streams
    And out of step: engines of "v2" join and those of "v1" drain
    And out of step: the engines of "v1" are listed no more
    And out of step: another instance starts
    And out of step: 3 seconds pass
    And out of step: they resume at it with nothing
    Then out of step: no stream holds events of two versions

  # Guards against a call to the store for each stream that is resumed.
  Scenario: Many streams that are resumed at once take a few calls to the store
    Given out of step: two instances that have seen one version for long
    When out of step: clients begin 30 streams
    And out of step: they resume at the late one with nothing
    Then out of step: all are resumed
    And out of step: the store received fewer calls meanwhile than a sixth of them
