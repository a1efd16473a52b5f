# The decision who ends when clients fill the memory of a process of 96 MB: it holds
# 12 MB for them, and 3 MB more in small parts.
Feature: Who ends when memory is short

  # Guards against clients that stall and take the room of those that send.
  Scenario: A body that stopped ends before one that is being sent
    Given room: "stalled" holds 4,000,000 bytes of an arriving body since 0 s
    And room: "sending" holds 7,000,000 bytes of an arriving body since 8 s
    When room: "next" asks for 2,000,000 bytes of an arriving body at 9 s
    Then room: "stalled" has ended and nothing else

  # Guards against answers that nobody reads and that stay for good.
  Scenario: An answer that is not read ends before whole bodies
    Given room: "running" holds 8,000,000 bytes of a whole body since 0 s
    And room: "unread" holds 3,000,000 bytes of an unread answer since 5 s
    When room: "next" asks for 2,000,000 bytes of an arriving body at 9 s
    Then room: "unread" has ended and nothing else

  # Guards against ordinary requests that pay for large ones.
  Scenario Outline: A request of <size> bytes beside whole bodies that fill the rest
    Given room: "running" holds 12,000,000 bytes of a whole body since 0 s
    And room: "small" holds 50,000 bytes of an arriving body since 0 s
    When room: "next" asks for <size> bytes of an arriving body at 9 s
    Then room: <ended>

    Examples:
      | size    | ended                            |
      | 60,000  | nothing has ended                |
      | 100,000 | "next" has ended and nothing else |

  # Guards against an endless number of small requests.
  Scenario: Small requests have an end as well
    Given room: "running" holds 12,000,000 bytes of a whole body since 0 s
    And room: 60 others hold 50,000 bytes of waiting requests each since 0 s
    When room: "next" asks for 60,000 bytes of an arriving body at 9 s
    Then room: "next" has ended and nothing else

  # Guards against a limit that no time and no calm lets a body pass.
  Scenario: One body alone may be larger than the limit
    Given room: "small" holds 50,000 bytes of a whole body since 0 s
    When room: "next" asks for 20,000,000 bytes of an arriving body at 9 s
    Then room: nothing has ended
