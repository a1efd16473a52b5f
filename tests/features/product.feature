Feature: The command line and the operators' face

  Scenario Outline: The commented examples are valid
    When the command line checks the example "<example>"
    Then the command ends with exit code 0

    Examples:
      | example                |
      | kitaguni-fleet.jsonc   |
      | kitaguni-entry.jsonc   |
      | regie-fleet.jsonc      |
      | regie-entry.jsonc      |

  Scenario Outline: A wrong document is refused with the field, its value and advice
    When the command line checks a fleet document with <field> set to <value>
    Then the command ends with exit code 2
    And the message names "<named>" and shows "<shown>"

    Examples:
      | field                         | value     | named                          | shown     |
      | fleet                         | "Not Ok!" | fleet                          | Not Ok!   |
      | roles.change_cost_s           | -3        | roles.change_cost_s            | -3        |
      | backend_servers.0.address.port | 99999    | backend_servers.0.engine.address.port | 99999 |
      | backend_servers.0.address.host | "box-7"  | IP address                     | box-7     |
      | backend_servers.0.models      | ["ghost"] | names the model                | ghost     |
      | no_such_field                 | 1         | no_such_field                  | 1         |

  Scenario: A document is submitted, shown and not replaced by a stale one
    Given a small deployment runs with its document in force
    When the operator submits a changed document over document 1
    Then the command ends with exit code 0
    When the operator submits a changed document over document 1
    Then the command ends with exit code 1
    And the message names "document 2" and shows "won"
    When the operator asks for the status as JSON
    Then the command ends with exit code 0
    And the status shows document 2

  Scenario: A dry run shows what a document would change and changes nothing
    Given a small deployment runs with its document in force
    When the operator asks what a changed document would change
    Then the command ends with exit code 0
    And the output names "admission.default_deadline_s" and shows "31.5"
    When the operator asks for the status as JSON
    Then the status shows document 1

  Scenario: The operators' face answers health checks and metrics
    Given a small deployment runs with its document in force
    When a caller makes a "find" call through every instance
    Then "/livez" and "/readyz" answer 200 at every instance
    And the metrics count one service call at every instance

  Scenario: Every log line is one JSON object with the instance's name
    Given a small deployment runs with its document in force
    When an instance is told to stop
    Then every line of its log is a JSON object of that instance

  Scenario: An instance without any document is alive and not ready, and refuses
    Given a small deployment runs without a document
    Then "/livez" answers 200 and "/readyz" answers 503 at every instance
    When a caller asks for the model "badge-draft"
    Then the answer is refused with status 503, code 205 and "not run"

  Scenario: Whatever is submitted as a document is checked without a crash
    When arbitrary texts, values and damaged examples are checked as documents
    Then each is a document or a list of problems that name a field and give advice

  Scenario: What a valid document is stored as reads back as the same document
    When each example document is stored in parts and read back
    Then it is the same document with nothing that would change
