"""Decides whether a failed dispatch may be tried again.

Load pattern: a short fault fails a part of all dispatches. If each is tried three
times at once, and callers try again on top, the load grows when the capacity is gone,
and stays after the fault is over: a metastable failure.

Only this layer retries; clients of backend servers never do. Retries are paid from a
budget that successes fill, so they add at most the document's share to the load, even
if everything fails. Two kinds are free: a stream that already gave tokens is resumed,
since dropping it would waste them, and a server that certainly did not run the
request cost no engine time. Both are bounded by the attempts of one request.
`requests.completion_stream` draws the pauses in between.

A request that may not be repeated is never tried again once a byte of it was sent; the
request layer decides that, before it asks here.

Grounds: a tenth of the successes (the document's default) covers the loss of one
engine of ten. At first there are 32, one engine's batch, so that the loss of an engine
in a quiet hour finds enough saved. The budget holds no more than a hundred, so that a
quiet day does not pay for a storm.
"""

__all__ = ["RetryBudget"]

_SAVED_AT_FIRST = 32.0
_MOST_SAVED = 100.0


class RetryBudget:
    """Retries that may be spent."""

    def __init__(self) -> None:
        self._saved = _SAVED_AT_FIRST

    def succeeded(self, share: float) -> None:
        """Save the document's share of a retry for a success."""
        self._saved = min(_MOST_SAVED, self._saved + share)

    def spend(self) -> bool:
        """Take one retry; False if there is none left."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
