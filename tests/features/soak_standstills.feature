# Three gateways as processes that are stopped and go on, alone, in series and together.
# Limits on idle connections and heads of 0.6 to 3 s change meanwhile; clients keep them.
Feature: A seeded run of the soak in which gateways stand still

  # Guards against instances that close a connection with a request unread, or refuse one.
  Scenario: Requests that come during a standstill are answered whatever the limits are
    When the soak plays seed 4 for 8 seconds of standstills and short limits
    Then no promise was broken and most requests were served
