"""The leader lease of a failure domain: its holder plans and sends engine orders.

The lease only avoids duplicate work. Two instances that both believe that they hold it
do no harm, because every step is a conditional update of a slot or a view.

A reader decides on expiry by its own monotonic clock: a lease has expired if its object
has not changed for the lease duration. Clocks of different machines are not compared.
"""

import dataclasses
import datetime
import random
import typing

from pimentolatch import clock, store

__all__ = ["LEASE_KIND", "LeaderLease", "LeaseRecord", "LeaseSettings"]

LEASE_KIND = "duty-leases"
_NO_HOLDER = ""
_MIN_JITTER_FRACTION = 0.02
_MAX_JITTER_FRACTION = 0.2
# In renewal intervals. With this limit the instances make about as many calls during an
# outage as outside of one.
_MAX_BACKOFF = 4
_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Settings of a leader lease.

    The holder renews at a third of the duration, so that one failed call does not end
    the lease. The other instances read it about when it would expire: with 370
    instances, 9 failure domains and 4 s, about 84 reads and 7 writes per second. A
    holder that has crashed is replaced within two durations plus jitter.
    """

    duration: datetime.timedelta = datetime.timedelta(seconds=4)

    @property
    def renewal(self) -> datetime.timedelta:
        """Interval between renewals."""
        return self.duration / 3


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The stored lease; `epoch` increases with each change of holder."""

    holder: str
    epoch: int
    renewals: int

    def to_json(self) -> dict[str, typing.Any]:
        """Return the stored form."""
        return dataclasses.asdict(self)


@dataclasses.dataclass(frozen=True, slots=True)
class _UnknownWrite:
    """A write whose outcome is unknown, and the time at which it started."""

    record: LeaseRecord
    started_at: datetime.timedelta


class LeaderLease:
    """Acquires, renews and releases the lease of a failure domain for one instance.

    Args:
        holder: Incarnation of this instance.
        random_source: For jitter while another instance holds the lease.
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
        self._record = LeaseRecord(_NO_HOLDER, 0, 0)
        self._held_until = datetime.timedelta.min
        self._unknown_write: _UnknownWrite | None = None
        self._failures = 0

    @property
    def held(self) -> bool:
        """Whether this instance holds the lease, by its own clock."""
        return self._clock.monotonic() < self._held_until

    @property
    def holder(self) -> str:
        """Incarnation of the holder as last seen, or an empty string."""
        return self._record.holder

    @property
    def epoch(self) -> int:
        """Epoch of the lease as last seen."""
        return self._record.epoch

    async def step(self) -> datetime.timedelta:
        """Renew, acquire or read the lease; returns the time until the next step."""
        started_at = self._clock.monotonic()
        if self.held and await self._write(started_at):
            return self._settings.renewal
        found = await self._store.get(LEASE_KIND, self._domain)
        if isinstance(found, store.Unavailable):
            return self._backoff()
        self._failures = 0
        self._observe(found)
        if self._may_write() and not self._renewed_since(started_at):
            await self._write(started_at)
        return self._pause()

    async def release(self) -> None:
        """Release the lease, so that another instance need not wait for its expiry."""
        if not self.held:
            return
        self._held_until = datetime.timedelta.min
        record = dataclasses.replace(self._record, holder=_NO_HOLDER)
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
        # The response to a write can be lost after the write took effect. A holder
        # that treated this as a failure would stop acting as the leader, and no other
        # instance could acquire the lease, since it appears renewed. An equal record
        # shows that the write of this instance took effect.
        if (
            self._unknown_write is not None
            and self._unknown_write.record == self._record
        ):
            self._held_until = self._unknown_write.started_at + self._settings.duration

    def _renewed_since(self, started_at: datetime.timedelta) -> bool:
        return self._held_until >= started_at + self._settings.duration

    def _may_write(self) -> bool:
        if self._record.holder in (self._holder, _NO_HOLDER):
            return True
        return self._clock.monotonic() - self._seen_at >= self._settings.duration

    async def _write(self, started_at: datetime.timedelta) -> bool:
        is_renewal = self._record.holder == self._holder
        epoch = self._record.epoch + (0 if is_renewal else 1)
        record = LeaseRecord(self._holder, epoch, self._record.renewals + 1)
        outcome = await self._store.put(
            LEASE_KIND, self._domain, record.to_json(), if_version=self._seen_version
        )
        if not isinstance(outcome, store.Written):
            self._unknown_write = _UnknownWrite(record, started_at)
            return False
        self._record = record
        self._seen_version = outcome.version
        self._seen_at = self._clock.monotonic()
        # Counted from before the call, so that a slow store can't extend the lease.
        self._held_until = started_at + self._settings.duration
        return True

    def _backoff(self) -> datetime.timedelta:
        """Return the wait after a failed call, with exponential backoff and jitter.

        When the platform recovers from an outage, hundreds of simultaneous calls would
        overload it again. A holder whose lease has not expired keeps the renewal
        interval.
        """
        if self.held:
            return self._settings.renewal
        self._failures += 1
        factor = min(1 << self._failures, _MAX_BACKOFF)
        return self._settings.renewal * factor * self._random.uniform(0.5, 1.5)

    def _pause(self) -> datetime.timedelta:
        if self.held or self._record.holder == self._holder:
            return self._settings.renewal
        # Without jitter all instances would try to acquire an expired lease at once.
        jitter = self._settings.duration * self._random.uniform(
            _MIN_JITTER_FRACTION, _MAX_JITTER_FRACTION
        )
        expires_at = self._seen_at + self._settings.duration
        return max(expires_at - self._clock.monotonic(), _ZERO) + jitter
