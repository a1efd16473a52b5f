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
