Feature: Configuration in force everywhere, proved on schedules that a seed decides

  Scenario Outline: The checker rejects a history in which <fault>
    When config: a good history is changed so that <fault>
    Then config: the checker accepts the good one and rejects the changed one

    Examples:
      | fault                                      |
      | an instance goes back to an older document |
      | an instance lacks the document too long    |
      | a number is given to two documents         |
      | a submission gets two numbers              |
      | an accepted submission is not in the store |
      | a lost submission comes into force         |
      | one not submitted comes into force         |
      | an instance runs a document of its own     |

  # Operators submit while faults hit instances, links and the store. Each document is
  # accepted, lost or told uncertain; whatever was accepted comes into force at every
  # instance, within 11 s once the faults are over, and no instance goes back.
  Scenario Outline: Documents come into force and stay under <faults>
    When config: operators submit under "<faults>" with seeds 1 to <seeds>
    Then config: the checker finds nothing and every operator knows the outcome

    Examples:
      | faults                      | seeds |
      | none                        | 1     |
      | kill                        | 2     |
      | freeze                      | 2     |
      | cut                         | 2     |
      | platform_out                | 2     |
      | platform_slow               | 1     |
      | reply_lost                  | 2     |
      | operator_race               | 1     |
      | freeze cut                  | 2     |
      | kill platform_out           | 2     |
      | cut platform_out            | 2     |
      | reply_lost operator_race    | 2     |
      | freeze reply_lost           | 1     |
      | kill cut                    | 1     |

  # The same logic without a safeguard must be found out, or the checks prove nothing.
  Scenario Outline: Without <safeguard> the history is rejected
    When config: operators submit under "<faults>" with seed <seed> without <safeguard>
    Then config: the checker rejects the history since "<symptom>"

    Examples:
      | safeguard            | faults     | seed | symptom               |
      | only later documents | freeze     | 0    | went from             |
      | only later documents | cut        | 0    | went from             |
      | certain answers      | reply_lost | 1    | was told not submitt  |
      | certain answers      | reply_lost | 2    | was told not submitt  |

  # A part that a document in force needs is removed, and nobody can read the document.
  # The collector lists the parts while a submission has written its own; then either
  # the submission's head is refused and it starts again, or its parts stay.
  Scenario: Collecting parts that no head names never takes one that is needed
    When config: submissions and collections interleave under 40 seeds
    Then config: every head that was accepted could be read when it was accepted
    And config: parts were removed
    When config: the same happens without writing the head before the removal
    Then config: some head that was accepted could not be read

  Scenario: A transfer ends whatever its peer does, and takes only what the hash covers
    Given config: a transfer of a document from a peer
    When config: the peer sends a part of other content, or one that grows too large
    Then config: the link is closed and nothing is adopted
    When config: the peer falls silent and another has the document
    Then config: it is taken from the other

  # Guards against a document that is late since the watch of it fell silent.
  Scenario: A document is found in time although the watch of it fell silent
    Given config: an instance that watches the store for documents
    When config: its connection falls silent and a document is written
    And config: 8 seconds pass
    Then config: the instance has found the document

  Scenario: An operator reads what a document would change before submitting it
    When config: a document is compared with one that adds, removes and changes entries
    Then config: the changes are "+ models.new", "- models.old", "~ roles.dwell_s: 60.0 -> 90.0" and the hidden key
