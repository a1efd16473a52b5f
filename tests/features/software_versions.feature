# Engines of two software versions serve side by side, and what they write does not fit
# together. A client that has lost its connection resumes its stream at any instance, with
# the id of the attempt that brought its first event. Engines don't check whose stream they
# resume.
Feature: Streams of several software versions

  # Guards against streams that any engine resumes when their clients come back.
  Scenario: A stream that its client resumes continues on its version
    Given versions: 4 instances and 6 decode engines, half of each version
    When versions: clients begin 40 streams and disconnect after 2 events
    And versions: they resume at other instances
    Then versions: no stream holds events of two versions
    And versions: streams are resumed at least half as often as new ones begin

  # Guards against a version that only the instance knows which began the stream.
  Scenario: A stream whose instance is killed continues on its version
    Given versions: 4 gateway processes and 6 decode engines, half of each version
    And versions: engines send an event every 100 ms
    When versions: clients begin 24 streams at g0, which is killed within them
    And versions: they resume at the instances that are left after 200 ms
    Then versions: no stream holds events of two versions
    And versions: streams are resumed at least half as often as new ones begin

  # Guards against instances that all start again without a record of any stream, and go
  # on with a stream of another version since they know of one version only.
  Scenario Outline: No stream goes on at another version after all instances were killed
    Given versions: 4 gateway processes and 6 decode engines, half of each version
    And versions: engines send an event every 100 ms
    When versions: clients begin 24 streams and all instances are killed <kill>
    And versions: the engines of "v1" leave <leave>
    And versions: all instances start again and clients come back 3 times
    Then versions: no stream holds events of two versions

    Examples:
      | kill                   | leave              |
      | at once                | not at all         |
      | at once                | while all are down |
      | some before the others | while all are down |

  # Guards against an id that is looked up by the attempt before the last one.
  Scenario: A stream that its client resumes twice continues on its version
    Given versions: 4 instances and 6 decode engines, half of each version
    When versions: clients begin 40 streams and disconnect after 2 events
    And versions: they resume at other instances and disconnect after 2 more
    And versions: they resume again at other instances
    Then versions: no stream holds events of two versions
    And versions: streams are resumed at least half as often as new ones begin

  # Guards against an instance that resumes on any engine within one answer.
  Scenario: A stream whose engine breaks off continues on its version
    Given versions: 4 instances and 6 decode engines, half of each version
    And versions: each decode engine breaks off the streams that it begins
    When versions: clients begin 40 streams and read them to their end
    Then versions: no stream holds events of two versions
    And versions: all streams are whole

  # Guards against streams that continue elsewhere since no engine of theirs is left.
  Scenario Outline: A resumed stream is refused if no engine of its version is left
    Given versions: 4 instances and 6 decode engines, half of each version
    When versions: clients begin 40 streams and disconnect after 2 events
    And versions: the engines of "v2" <end>
    And versions: they resume at other instances
    Then versions: no stream holds events of two versions
    And versions: those of "v2" are refused as not run, with a time to come back
    And versions: those of "v1" are resumed

    Examples:
      | end                           |
      | crash and are listed no more  |
      | crash and are listed as usual |

  # Guards against answers that continue with the events of another version.
  Scenario: A stream is broken off if no engine of its version is left
    Given versions: 4 instances and 6 decode engines, half of each version
    And versions: engines send an event every 100 ms
    When versions: clients begin 16 streams of which those of "v2" lose all engines
    Then versions: no stream holds events of two versions
    And versions: those of "v2" are broken off, and those of "v1" are whole

  # Guards against streams of unknown origin that any engine resumes.
  Scenario Outline: A stream that is resumed with <value> is refused among two versions
    Given versions: 4 instances and 6 decode engines, half of each version
    When versions: clients begin 12 streams and disconnect after 2 events
    And versions: they resume at other instances with <value>
    Then versions: no stream holds events of two versions
    And versions: all are refused as not run, with a time to come back

    Examples:
      | value                   |
      | an id that nobody knows |
      | nothing                 |
      | its own id              |
      | an empty value          |
      | a long value            |
      | bytes outside ASCII     |

  # Guards against refusals where there is nothing to mix.
  Scenario: A stream that its client resumes continues while one version is in use
    Given versions: 4 instances and 6 decode engines of one version
    When versions: clients begin 40 streams and disconnect after 2 events
    And versions: they resume at other instances
    Then versions: all are resumed

  # Guards against refusals for want of an id where there is nothing to mix.
  Scenario Outline: A stream that is resumed with <value> continues with one version
    Given versions: 4 instances and 6 decode engines of one version
    When versions: clients begin 12 streams and disconnect after 2 events
    And versions: they resume with <value>, as often as refusals ask for it
    Then versions: all are resumed

    Examples:
      | value                   |
      | an id that nobody knows |
      | nothing                 |
      | its own id              |
      | an empty value          |
      | a long value            |
      | bytes outside ASCII     |

  # Guards against an engine that is taken for what it was before it restarted.
  Scenario: A stream is not resumed on an engine that restarted at another version
    Given versions: 4 instances and 6 decode engines of one version
    When versions: clients begin 40 streams and disconnect after 2 events
    And versions: half of the engines restart at "v2" under their ids
    And versions: they resume at other instances
    Then versions: no stream holds events of two versions
    And versions: streams are resumed at least half as often as new ones begin

  # Guards against streams that are taken for what their engine was before it restarted.
  Scenario: A stream that a restarted engine began continues on the new version
    Given versions: 4 instances and 6 decode engines of one version
    When versions: half of the engines restart at "v2" under their ids
    And versions: clients begin 40 streams and disconnect after 2 events
    And versions: they resume at other instances
    Then versions: no stream holds events of two versions
    And versions: streams are resumed at least half as often as new ones begin

  # Guards against streams of a restarted engine that the list shows as the old one.
  Scenario: A stream that an engine began before its restart was listed joins no other
    Given versions: 4 instances and 6 decode engines of one version
    When versions: half of the engines restart at "v2", not listed yet
    And versions: clients begin 40 streams and disconnect after 2 events
    And versions: the list shows them
    And versions: they resume at other instances
    Then versions: no stream holds events of two versions
    And versions: both versions have served some

  # Guards against an instance that has never seen the version of a stream.
  Scenario Outline: A stream resumed with <value> is refused by a new instance
    Given versions: 4 instances and 6 decode engines of one version
    When versions: clients begin 12 streams and disconnect after 2 events
    And versions: engines of "v2" replace those of "v1"
    And versions: they resume with <value> at an instance that has just started
    Then versions: no stream holds events of two versions
    And versions: all are refused as not run, with a time to come back

    Examples:
      | value                       |
      | the id of its first attempt |
      | an id that nobody knows     |
      | nothing                     |

  # Guards against new streams that are kept from a version.
  Scenario: New streams are served by the engines of both versions
    Given versions: 4 instances and 6 decode engines, half of each version
    When versions: clients begin 40 streams and read them to their end
    Then versions: no stream holds events of two versions
    And versions: all streams are whole
    And versions: both versions have served some
