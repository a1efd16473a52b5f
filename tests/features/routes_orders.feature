Feature: Orders to engines that do not check who orders

  # Three instances ask for the lease and order, in drawn schedules: they are paused between
  # taking the lease and ordering, cut off from the store, and their writes lose their
  # answer or take effect seconds later; the engine starts again, and carries orders out
  # late. The engine checks no fence, so nothing but the lease keeps two holders apart: if
  # their orders came within a lease of each other, one would undo what the other planned.
  Scenario: Two holders never order within a lease of each other
    When orders: 150 schedules are played
    Then orders: orders of two holders were always a lease apart
    And orders: no order was carried out by another life or after a newer one
    And orders: holders changed in some schedule, and the engine started again before an order

  # The same schedules with a lease that whoever finds it unchanged for a moment may take.
  Scenario: Without the wait before a takeover the same schedules show it
    When orders: 150 schedules are played without the wait
    Then orders: in some schedule orders of two holders were closer than a lease
