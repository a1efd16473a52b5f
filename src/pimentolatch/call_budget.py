"""Rate limit for the platform calls of an instance.

The platform counts every call, a pending watch as one, and its limits grow more slowly
than the fleet. Without a budget, one instance in a retry loop, or all instances after
an outage, would use up the calls that orders and claims need.
"""

import datetime
import typing

from pimentolatch import clock, metrics, store

__all__ = ["BudgetedStore", "CallBudget"]

# A call that would be delayed longer fails without being made.
_MAX_WAIT = datetime.timedelta(seconds=1)
_BURST = datetime.timedelta(seconds=2)
_MIN_BURST = 4.0
_Outcome = typing.TypeVar("_Outcome")


class CallBudget:
    """A token bucket; calls wait for a token for at most `_MAX_WAIT`.

    Args:
        calls_per_second: Sustained rate.
    """

    def __init__(self, calls_per_second: float, time: clock.Clock) -> None:
        self._rate = calls_per_second
        self._clock = time
        self._capacity = max(_MIN_BURST, calls_per_second * _BURST.total_seconds())
        self._tokens = self._capacity
        self._refilled_at = self._clock.monotonic()

    async def take(self) -> bool:
        """Take a token, waiting for it if needed; False if the wait is too long."""
        self._refill()
        wait = datetime.timedelta(seconds=max(0.0, (1.0 - self._tokens) / self._rate))
        if wait > _MAX_WAIT:
            return False
        # Taken before the wait, so that later calls wait behind this one.
        self._tokens -= 1.0
        if wait:
            await self._clock.sleep(wait)
        return True

    def _refill(self) -> None:
        now = self._clock.monotonic()
        gained = (now - self._refilled_at).total_seconds() * self._rate
        self._tokens = min(self._capacity, self._tokens + gained)
        self._refilled_at = now


class BudgetedStore:
    """`store.Store` that keeps within a call budget and counts its calls."""

    def __init__(
        self,
        inner: store.Store,
        budget: CallBudget,
        measured: metrics.Metrics,
    ) -> None:
        self._inner = inner
        self._budget = budget
        self._calls = measured.platform_calls

    async def get(
        self, kind: str, name: str
    ) -> store.Found | store.Absent | store.Unavailable:
        """See `store.Store.get`."""
        if not await self._budget.take():
            return self._over_budget("get")
        return self._count("get", await self._inner.get(kind, name))

    async def put(
        self, kind: str, name: str, value: store.Json, *, if_version: int
    ) -> store.Written | store.Conflict | store.Unavailable:
        """See `store.Store.put`."""
        if not await self._budget.take():
            return self._over_budget("put")
        outcome = await self._inner.put(kind, name, value, if_version=if_version)
        return self._count("put", outcome)

    async def delete(
        self, kind: str, name: str, *, if_version: int
    ) -> store.Written | store.Absent | store.Conflict | store.Unavailable:
        """See `store.Store.delete`."""
        if not await self._budget.take():
            return self._over_budget("delete")
        outcome = await self._inner.delete(kind, name, if_version=if_version)
        return self._count("delete", outcome)

    async def list_objects(
        self, kind: str, prefix: str = ""
    ) -> store.Listing | store.Unavailable:
        """See `store.Store.list_objects`."""
        if not await self._budget.take():
            return self._over_budget("list")
        return self._count("list", await self._inner.list_objects(kind, prefix))

    async def watch(
        self,
        kind: str,
        *,
        after: int,
        wait: datetime.timedelta,
        answer_limit: datetime.timedelta | None = None,
    ) -> store.Changes | store.HistoryGone | store.Unavailable:
        """See `store.Store.watch`."""
        if not await self._budget.take():
            return self._over_budget("watch")
        outcome = await self._inner.watch(
            kind, after=after, wait=wait, answer_limit=answer_limit
        )
        return self._count("watch", outcome)

    async def instances(self) -> tuple[store.Instance, ...] | store.Unavailable:
        """See `store.Store.instances`."""
        if not await self._budget.take():
            return self._over_budget("instances")
        return self._count("instances", await self._inner.instances())

    def _over_budget(self, call: str) -> store.Unavailable:
        self._calls.labels(call, "over budget").inc()
        return store.Unavailable("call budget exhausted", False, _MAX_WAIT)

    def _count(self, call: str, outcome: _Outcome) -> _Outcome:
        name = "ok" if isinstance(outcome, tuple) else type(outcome).__name__.lower()
        self._calls.labels(call, name).inc()
        return outcome
