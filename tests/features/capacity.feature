Feature: Servers that are paid by the second are ordered

  # Guards against a size that is taken while servers still register one by one.
  Scenario: What suffices is known when no more servers register
    When capacity: 30 servers register within 3 seconds
    Then capacity: 30 suffice, known 2 seconds after the last one

  # Replays a day on which all cheap servers of a domain are taken back at once. Guards
  # against paying for dear servers all day, and against a loss of serving ones.
  Scenario Outline: Cheap servers cover the loss of a domain at a third of the cost
    Given capacity: 30 dear servers in four domains, <spare> domains to spare
    When capacity: 60 seconds pass in which "east" is reclaimed at 20 seconds
    Then capacity: at least <serving> servers serve at every moment
    And capacity: the last 10 seconds cost at most <share> of what stood at first

    Examples:
      | spare | serving | share |
      | 0     | 22      | 0.24  |
      | 1     | 30      | 0.30  |
      | 2     | 30      | 0.40  |

  # Guards against a second spare domain that costs more than it saves.
  Scenario Outline: The price of cheap servers decides how many domains are to spare
    Given capacity: 30 dear servers in four domains, cheap ones at <price> of their price
    When capacity: 30 seconds pass
    Then capacity: <servers> servers serve

    Examples:
      | price | servers |
      | 0.18  | 60      |
      | 0.30  | 40      |
      | 0.60  | 40      |
      | 0.80  | 30      |

  # Guards against a reclaim that leaves too few where no domain is to spare.
  Scenario: Dear servers stand in for cheap ones that can't be had
    Given capacity: 30 dear servers in four domains, 0 domains to spare
    When capacity: 60 seconds pass in which "east" is reclaimed at 20 seconds
    Then capacity: 30 servers serve again 6 seconds after that
    And capacity: no dear server stands at the end

  # Guards against orders beyond what the operator allows, when orders get lost and
  # domains are reclaimed one after the other.
  Scenario: In drawn days the bounds hold and what suffices serves at the end
    When capacity: 40 drawn days with lost orders and reclaims are played
    Then capacity: no domain is ever ordered more than its most or less than its least
    And capacity: what suffices serves at the end of each

  # Guards against a call for each look at what can't be had, and against a holder that
  # was followed by another and repeats itself.
  Scenario: What can't be had is asked for again after a lease's time only
    Given capacity: 30 dear servers in four domains, 1 domains to spare
    When capacity: 60 seconds pass in which "east" is reclaimed at 20 seconds
    Then capacity: orders of cheap servers in "east" are 3 seconds apart or more

  # Guards against an operator's choice that is passed over.
  Scenario: Without servers that may be taken back nothing changes
    Given capacity: 30 dear servers in four domains and no cheap ones allowed
    When capacity: 60 seconds pass in which "east" is reclaimed at 20 seconds
    Then capacity: nothing was ordered

  # Guards against a holder that takes the spare servers of the one before for the need.
  Scenario: The next holder goes on with the need that the first one found
    Given capacity: a keeper before 8 dear servers of a service
    When capacity: it holds the duties until the cheap ones stand
    And capacity: another keeper holds them for 20 seconds
    Then capacity: the same numbers are ordered

  # Guards against a fence that is used on after another holder has begun.
  Scenario: A keeper whose lease can't be renewed orders nothing
    Given capacity: a keeper before 8 dear servers of a service
    When capacity: it loses the lease and looks
    Then capacity: it has ordered nothing

  # Replays a minute of load that swings and bursts while two domains are reclaimed one
  # after the other. Guards against dear stand-ins that no caller needs, and against a
  # fleet that is short in the burst.
  Scenario Outline: Dear servers stand in for as many as the load of the last swings needs
    Given capacity: <kind> load on 30 dear servers, 1 domain to spare
    When capacity: a minute passes in which two domains are reclaimed during a burst
    Then capacity: callers lack <lack> servers, and no more than by a fixed need
    And capacity: <dear> dear servers are ordered after the reclaims, <fixed> by a fixed need

    Examples:
      | kind  | lack | dear | fixed |
      | light | no   | no   | some  |
      | heavy | some | some | some  |

  # Guards against servers that are returned in a trough, before a swing has been seen.
  Scenario: The need is unknown until the load was seen for longer than a swing
    When capacity: a load that swings between 4 and 8 servers is seen for a minute
    Then capacity: nothing is known of the need for 20 seconds after the first load
    And capacity: the need hardly falls in a trough and bears the peak and twice the mean

  # Guards against a need that falls to nothing when few callers come, or exceeds what the
  # operator provided.
  Scenario: The need is between half and all of what was provided
    Then capacity: a load of 0.1 servers needs 15 of 30, one of 100 needs 30

  # Guards against dear servers that are ordered although cheap ones, which come sooner,
  # are already booting; and against waiting for some that were reclaimed meanwhile.
  Scenario Outline: Servers that are booting are not ordered a second time
    Given capacity: cheap servers of which some still boot
    Then capacity: with <lost> lost among the others, dear ones are ordered: <dear>

    Examples:
      | lost     | dear |
      | none     | no   |
      | a domain | yes  |

  # Guards against a domain that keeps so many dear servers that its loss breaks the need.
  Scenario: Without cheap servers dear ones are returned from the dearest domain first
    Given capacity: light load on 30 dear servers, no cheap ones allowed
    When capacity: a minute passes in which "east" is lost
    Then capacity: callers never lack a server
    And capacity: fewer dear servers stand in "south" than in "east" before the loss

  # Guards against a fleet that shrinks with each loss, since what is left is kept.
  Scenario Outline: Without cheap servers lost ones are replaced as far as the load needs
    Given capacity: <kind> load on 30 dear servers, no cheap ones allowed
    When capacity: a minute passes in which "east" and then "west" are lost
    Then capacity: the need is served at the end
    And capacity: each domain has its least at the end

    Examples:
      | kind  |
      | light |
      | heavy |

  # Guards against an operator's fixed number that is passed over.
  Scenario: A number that the operator set, or a switch, keeps the need fixed
    Then capacity: the load is not followed if "servers" is set or "follow_load" is off

  # Guards against a second set of servers after a change of the leader.
  Scenario: The next leader repeats no order whose answer was lost
    Given capacity: a keeper before 8 dear servers of a service
    When capacity: the answers of its orders are lost and another keeper follows
    Then capacity: each kind in each domain was ordered one number at the end

  # Guards against orders by a need that could not be read.
  Scenario: While the store is away a new leader orders nothing
    Given capacity: a keeper before 8 dear servers of a service
    When capacity: the store is away for 10 seconds and returns for 20
    Then capacity: it has ordered nothing before and what suffices after

  # Guards against seconds of dear servers that are paid while a new leader watches them.
  Scenario: A leader that has watched the servers before orders at once
    Given capacity: a keeper before 8 dear servers of a service
    When capacity: it watches for 3 seconds and then becomes the leader
    Then capacity: it orders at its first look

  # Guards against orders whose grounds nobody can see, and against a load that is not
  # taken from what all instances report.
  Scenario: An operator sees what orders of servers rest on
    Given capacity: a keeper before 8 dear servers of a service
    When capacity: prompts that keep 2 engines busy are seen for 25 seconds
    Then capacity: 8 are known to be provided, 7 to be needed and the peak as 2.0
