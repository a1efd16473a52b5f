Feature: KV handles are used only while their engine has not started again

  # The writer is full, so a prompt that has been read waits. Its reader crashes and
  # starts again under its id before its next check-in, and gives the same handles to
  # other requests: with the old one the client would get their answer.
  Scenario Outline: A handle is not used after its engine has restarted unnoticed
    Given handles: a reader <named> and a writer that is full
    When handles: the reader restarts while a prompt waits that it has read
    Then routes: the answer is whole with 6 pieces
    And handles: no handle of before the restart was sent or freed
    And handles: the prompt was read 2 times

    Examples:
      | named                          |
      | that names its start           |
      | that does not name its start   |

  # The host loses power: nothing closes the connections, which look open for a minute.
  Scenario Outline: A handle is not used after a restart that no connection shows
    Given handles: a reader <named> and a writer that is full
    When handles: the reader restarts while its connections stay open
    Then routes: the answer is whole with 6 pieces
    And handles: no handle of before the restart was sent or freed

    Examples:
      | named                          |
      | that names its start           |
      | that does not name its start   |

  # The list shows a restart late. A handle of the new incarnation is as good before.
  Scenario: A handle that was given after a restart is used when the list shows that
    Given handles: a reader that names its start and a writer that is full
    And handles: the reader has restarted, which the list does not show
    When handles: the list shows the restart while a prompt waits that it has read
    Then routes: the answer is whole with 6 pieces
    And handles: the prompt was read 1 time

  # A second prefill costs an engine's time and the retry budget. Servers and proxies
  # close idle connections without a restart.
  Scenario: A handle is used though its engine has closed the connection
    Given handles: a reader that names its start and a writer that is full
    When handles: the reader closes its connections while a prompt waits
    Then routes: the answer is whole with 6 pieces
    And handles: the prompt was read 1 time

  # The response to the prefill says that the connection closes, as any response may.
  Scenario Outline: A handle is used at once though its connection was to be closed
    Given handles: a reader <named> and a writer
    When handles: the reader closes the connection after it has read a prompt
    Then routes: the answer is whole with 6 pieces
    And handles: the prompt was read 1 time

    Examples:
      | named                          |
      | that names its start           |
      | that does not name its start   |

  # The deadline passes while the prompt waits. Freed at the new incarnation, the handle
  # would take the KV cache from under another request.
  Scenario Outline: A handle that is not used is freed at the incarnation that gave it
    Given handles: a reader <named> and a writer that is full
    When handles: a client leaves while its prompt waits, and the reader <does>
    Then handles: the reader has freed <count> handles

    Examples:
      | named                          | does                              | count |
      | that names its start           | goes on                           | 1     |
      | that does not name its start   | goes on                           | 1     |
      | that names its start           | has closed its connections        | 1     |
      | that names its start           | has restarted                     | 0     |
      | that does not name its start   | has restarted                     | 0     |
