Feature: Answers of the platform's store reach the call they belong to

  # The store answers a read late; the instance has given up on it. If the connection
  # went back to the pool, the next call would read that late answer as its own: a
  # write that lost its race could look won, and two instances order one engine.
  Scenario: A late answer is never read by the next call
    Given a store that answers for the object "b" too late
    When an instance reads the objects "a", "b" and "c"
    Then "a" and "c" come with their own values and "b" is unavailable

  # The store takes a conditional write and the connection ends before the answer. The
  # HTTP library sends a PUT again by itself on a connection that was used before; the
  # copy then loses against the first, and the instance would take its own write for
  # somebody else's.
  Scenario: A write whose answer is lost is sent once and its outcome is unknown
    Given a store that takes writes and never answers them
    When an instance reads an object and then writes it
    Then the write arrived once and its effect is unknown

  # An answer cut in its headers has no body. Taken for whole it would crash the task
  # that reads it; taken for "no effect" it would hide a write that took place.
  Scenario: An answer that is cut in its headers is an unavailable store
    Given a store that cuts its answer for the object "b" short
    When an instance reads the objects "a", "b" and "c"
    Then "a" and "c" come with their own values and "b" is unavailable

  # Guards against a value without a meaning that ends the task which reads the store.
  Scenario Outline: A store that names no valid time to come back is unavailable
    Given a store that rejects reads of "b" with Retry-After "<value>"
    When an instance reads the objects "a", "b" and "c"
    Then "a" and "c" come with their own values and "b" is unavailable
    And it asks to come back after <delay>

    Examples:
      | value         | delay   |
      | 1.5           | 1.5 s   |
      | Wed, 21 Oct   | no time |
      | nan           | no time |
      | -1            | no time |
      | 1e400         | no time |

  # Guards against a stand-in that loses a change which is written while it answers a
  # watch: the answer's revision would cover a change that is not in it.
  Scenario: A watch of the stand-in loses no change that is written as it answers
    Given a stand-in of the store with one object
    When another object is written while a watch is answered
    Then the answer has both objects or its revision is before the second one
