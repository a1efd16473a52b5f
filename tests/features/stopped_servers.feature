# Servers are processes that are stopped and go on (SIGSTOP, SIGCONT). Their kernels
# accept connections and requests meanwhile, and a reset does not recall these.
Feature: Servers that stand still while they leave

  # Guards against requests that a server reads seconds after it has left.
  Scenario Outline: A server that stood still as it left <how> reads no request later
    Given stopped: <gateways> gateways before servers as processes
    When stopped: a server of each kind stands still for <stopped> s and <how> after <after> s
    Then stopped: no request reaches it later than leaving servers may get one

    Examples:
      | gateways | how                     | after | stopped |
      | 1        | reports that it drains  | 0.3   | 4       |
      | 4        | reports that it drains  | 1.2   | 4       |
      | 4        | has its entry removed   | 0.3   | 4       |
      | 4        | has its entry removed   | 3.6   | 6.5     |

  # Guards against questions that a server reads seconds after it has left.
  Scenario Outline: A server that <told> and stood still as it left is asked nothing but its health later
    Given stopped: <gateways> gateways before servers, each of which <told>
    When stopped: a server of each kind stands still for 4 s and <how> after <after> s
    Then stopped: no call of a gateway's own but health checks reaches it later

    Examples:
      | gateways | told                       | how                    | after |
      | 4        | tells when it started      | has its entry removed  | 0.3   |
      | 4        | does not tell when started | has its entry removed  | 0.3   |
      | 4        | tells when it started      | reports that it drains | 1.2   |

  # Guards against callers who pay for a server that is kept from reading a request late.
  Scenario Outline: Clients are served although a server stood still as it left
    Given stopped: 4 gateways before servers as processes
    When stopped: a server of each kind stands still for 4 s and <how> after 0.3 s
    Then stopped: all clients are served

    Examples:
      | how                    |
      | reports that it drains |
      | has its entry removed  |

  # Guards against servers that get whole requests unasked while they stand still.
  Scenario Outline: A server that <manner> and left reads no request late
    Given stopped: 4 gateways before servers, each of which <manner>
    When stopped: a server of each kind stands still for 4 s and <how> after <after> s
    Then stopped: no request reaches it later than leaving servers may get one

    Examples:
      | manner                            | how                    | after |
      | ignores that bodies are announced | has its entry removed  | 0.3   |
      | ignores that bodies are announced | reports that it drains | 1.2   |
      | stands still for half of the time | has its entry removed  | 0.3   |

  # Guards against heads that are written behind a request which is being read.
  Scenario: A server that stood still within a request as it left reads no other late
    Given stopped: 4 gateways before servers as processes
    When stopped: a server of each kind stands still between the head and the body of a request for 4 s and has its entry removed after 0.3 s
    Then stopped: no request reaches it later than leaving servers may get one
