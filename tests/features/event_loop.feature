# A process blocks for longer than a limit, and input arrives meanwhile. All of it is
# handled by the event loop that the daemons run.
Feature: Timers beside input that has arrived

  # Guards against limits that discard input which came before they were judged.
  Scenario Outline: Input that came while a process was blocked ends <wait> in time
    Given event loop: a connection whose input is awaited by a chain of tasks
    When event loop: the process is blocked, its input comes and <wait> falls due
    Then event loop: the input was received

    Examples:
      | wait              |
      | asyncio.timeout   |
      | asyncio.wait_for  |
      | asyncio.wait      |
      | a reusable timeout |

  # Guards against limits that discard input which came between the last poll and the
  # moment at which they are judged.
  Scenario: Input that comes while another timer blocks a process is handled first
    Given event loop: a connection whose input is awaited by a chain of tasks
    When event loop: its input comes as a timer that is due with a limit blocks
    Then event loop: the input was received

  # Guards against limits that discard large responses, which are read in parts.
  Scenario: A large response that came while a process was blocked is read whole
    Given event loop: a server that answers with 300000 bytes
    When event loop: the process is blocked and its response comes before a limit
    Then event loop: the response was received

  # Guards against servers that count as not reached since the process stood still.
  Scenario: A connection that opens while a process is blocked opens in time
    Given event loop: a server that accepts connections
    When event loop: the process is blocked as a connection to it opens
    Then event loop: the connection is open

  # Guards against limits that end nothing any more.
  Scenario Outline: Without input <wait> ends as it falls due
    Given event loop: a connection whose input is awaited by a chain of tasks
    When event loop: the process is blocked, no input comes and <wait> falls due
    Then event loop: the wait ended without input

    Examples:
      | wait              |
      | asyncio.timeout   |
      | asyncio.wait_for  |
      | asyncio.wait      |
      | a reusable timeout |

  # Guards against a busy loop that never runs its timers.
  Scenario: Timers run beside input without end
    Given event loop: a callback that is always ready
    When event loop: 3 timers fall due and the second one is cancelled as it does
    Then event loop: the first and the third one have run, in this order
