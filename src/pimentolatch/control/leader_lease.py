"""The duty lease of a failure domain: which instance plans and gives its orders.

It only saves double work. Two instances that both believe they hold it do no harm,
because every step they take is a conditional update of a slot or a view.

Expiry is judged by renewals seen, on the reader's own monotonic clock: a lease whose
object has not changed for its whole duration has lapsed. No two clocks are compared.
"""

import dataclasses
import datetime
import random
import typing

from pimentolatch import clock, store

__all__ = ["LEASE_KIND", "LeaderLease", "LeaseSettings", "LeaseRecord"]

LEASE_KIND = "duty-leases"
_NOBODY = ""
_MIN_JITTER_FRACTION = 0.02
_MAX_JITTER_FRACTION = 0.2
# In renewals: with it an outage costs about as many calls as the time without one.
_MAX_BACKOFF = 4
_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Times of a duty lease.

    A holder renews at a third of the duration, so that one lost call does not end
    the lease. The others look at it when it would have lapsed, give or take: with 370
    instances, 9 failure domains and 4 s that is about 84 reads and 7 writes a second.
    A holder that is gone is replaced within two durations and the jitter.
    """

    duration: datetime.timedelta = datetime.timedelta(seconds=4)

    @property
    def renewal(self) -> datetime.timedelta:
        """Time between two renewals."""
        return self.duration / 3


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The lease as it is stored; `epoch` counts its holders."""

    holder: str
    epoch: int
    renewals: int

    def to_json(self) -> dict[str, typing.Any]:
        """Return the stored form."""
        return dataclasses.asdict(self)


@dataclasses.dataclass(frozen=True, slots=True)
class _UnknownWrite:
    """A write whose outcome is not known, and when it was begun."""

    record: LeaseRecord
    began: datetime.timedelta


class LeaderLease:
    """One instance's part in the lease of its failure domain.

    Args:
        holder: Incarnation of this instance.
        random_source: For the jitter of those who do not hold the lease.
    """

    def __init__(
        self,
        objects: store.Store,
        failure_domain: str,
        holder: str,
        *,
        time: clock.Clock,
        random_source: random.Random,
        settings: LeaseSettings | None = None,
    ) -> None:
        self._store = objects
        self._domain = failure_domain
        self._holder = holder
        self._clock = time
        self._random = random_source
        self._settings = LeaseSettings() if settings is None else settings
        self._seen_version = -1
        self._seen_at = datetime.timedelta()
        self._record = LeaseRecord(_NOBODY, 0, 0)
        self._held_until = datetime.timedelta.min
        self._unknown_write: _UnknownWrite | None = None
        self._failures = 0

    @property
    def held(self) -> bool:
        """Whether this instance may take itself for the holder, by its own clock."""
        return self._clock.monotonic() < self._held_until

    @property
    def holder(self) -> str:
        """Incarnation of the holder as last seen, or an empty string."""
        return self._record.holder

    @property
    def epoch(self) -> int:
        """Number of the tenure as last seen."""
        return self._record.epoch

    async def step(self) -> datetime.timedelta:
        """Renew, take or look at the lease; returns the time until the next step."""
        began = self._clock.monotonic()
        if self.held and await self._write(began):
            return self._settings.renewal
        found = await self._store.get(LEASE_KIND, self._domain)
        if isinstance(found, store.Unavailable):
            return self._backoff()
        self._failures = 0
        self._observe(found)
        if self._may_write() and not self._renewed_since(began):
            await self._write(began)
        return self._pause()

    async def release(self) -> None:
        """Give the lease up, so that another instance need not wait for its end."""
        if not self.held:
            return
        self._held_until = datetime.timedelta.min
        record = dataclasses.replace(self._record, holder=_NOBODY)
        await self._store.put(
            LEASE_KIND, self._domain, record.to_json(), if_version=self._seen_version
        )

    def _observe(self, found: store.Found | store.Absent) -> None:
        version = found.version if isinstance(found, store.Found) else 0
        if version == self._seen_version:
            return
        self._seen_version = version
        self._seen_at = self._clock.monotonic()
        if isinstance(found, store.Found):
            self._record = LeaseRecord(**found.value)
        # The answer to a write can be lost after it took effect. A holder that took
        # it for a failure would let its tenure lapse and nobody else could take it:
        # the others see the lease renewed. The record found is ours, to the number.
        if (
            self._unknown_write is not None
            and self._unknown_write.record == self._record
        ):
            self._held_until = self._unknown_write.began + self._settings.duration

    def _renewed_since(self, began: datetime.timedelta) -> bool:
        return self._held_until >= began + self._settings.duration

    def _may_write(self) -> bool:
        if self._record.holder in (self._holder, _NOBODY):
            return True
        return self._clock.monotonic() - self._seen_at >= self._settings.duration

    async def _write(self, began: datetime.timedelta) -> bool:
        is_renewal = self._record.holder == self._holder
        epoch = self._record.epoch + (0 if is_renewal else 1)
        record = LeaseRecord(self._holder, epoch, self._record.renewals + 1)
        outcome = await self._store.put(
            LEASE_KIND, self._domain, record.to_json(), if_version=self._seen_version
        )
        if not isinstance(outcome, store.Written):
            self._unknown_write = _UnknownWrite(record, began)
            return False
        self._record = record
        self._seen_version = outcome.version
        self._seen_at = self._clock.monotonic()
        # Counted from before the call, so that a slow store can't lengthen a tenure.
        self._held_until = began + self._settings.duration
        return True

    def _backoff(self) -> datetime.timedelta:
        """Return the wait after a failed call.

        When the platform comes back after an outage, hundreds of instances that ask
        at one moment would take it down again; so they ask more rarely, each at a
        moment of its own. A holder that still has time left goes on trying.
        """
        if self.held:
            return self._settings.renewal
        self._failures += 1
        factor = min(1 << self._failures, _MAX_BACKOFF)
        return self._settings.renewal * factor * self._random.uniform(0.5, 1.5)

    def _pause(self) -> datetime.timedelta:
        if self.held or self._record.holder == self._holder:
            return self._settings.renewal
        # Without the jitter all instances would try to take a lapsed lease at once.
        jitter = self._settings.duration * self._random.uniform(
            _MIN_JITTER_FRACTION, _MAX_JITTER_FRACTION
        )
        lapses_at = self._seen_at + self._settings.duration
        return max(lapses_at - self._clock.monotonic(), _ZERO) + jitter
