"""Decides whether a failed dispatch may be retried.

Load pattern: a short fault fails a part of all dispatches. If each is retried three
times at once, and callers retry on top, the load grows while capacity is down and stays
high after the fault is over: a metastable failure.

Only this layer retries; clients of backend servers never do. Retries are paid from a
budget that successes fill, so they add at most the document's share to the load, even
if everything fails. Two kinds are free: resuming a stream that already sent tokens,
since dropping it would waste them, and retrying a request that its server certainly did
not run, since it cost no engine time. Both are bounded by the request's attempts.
`requests.completion_stream` adds the backoff in between.

A non-idempotent request is never retried once a byte of it was sent; the request layer
decides that before it asks this one.

Grounds: a tenth of the successes (the document's default) covers the loss of one engine
of ten. The initial balance of 32, one engine's batch, covers the loss of an engine at
low load. The balance is at most a hundred, so that a quiet day does not pay for a retry
storm.
"""

__all__ = ["RetryBudget"]

_INITIAL_BALANCE = 32.0
_MAX_BALANCE = 100.0


class RetryBudget:
    """Balance of retries that may be spent."""

    def __init__(self) -> None:
        self._balance = _INITIAL_BALANCE

    def succeeded(self, share: float) -> None:
        """Add the document's share of a retry for a success."""
        self._balance = min(_MAX_BALANCE, self._balance + share)

    def spend(self) -> bool:
        """Spend one retry; False if the balance is below one."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
