"""Records in the platform's store which software versions may have begun streams.

An instance that starts after the servers of a version have left can't see it in the
list. One instance of the fleet keeps the record; others read it once, and only if they
have to know before they have observed the list for long enough.
"""

import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock, store
from pimentolatch.decisions import stream_origins, version_history

__all__ = ["VersionRecord"]

_log = logbook.Logger("watch")
_KIND = "pimentolatch-versions"
_NAME = "streams"
_INTERVAL = datetime.timedelta(seconds=1)
# An instance that has just started has not heard yet which peers there are, and would
# take itself for the one that keeps the record.
_SETTLING_TIME = datetime.timedelta(seconds=2)


class VersionRecord:
    """Keeps the record while this instance is the one to do so, and recalls it.

    Several instances may keep it while they don't know of each other; each write is
    conditional.

    Args:
        history: Versions that this instance has observed.
        source: The platform's store.
        is_first_for: Tells whether this instance is the first of all for a key.
        time: Clock of this instance.
    """

    def __init__(
        self,
        history: version_history.VersionHistory,
        source: store.Store,
        is_first_for: abc.Callable[[str], bool],
        time: clock.Clock,
    ) -> None:
        self._history = history
        self._store = source
        self._is_first_for = is_first_for
        self._clock = time
        self._is_recalled = False
        # Whether nobody else has written since the record was read, as far as is known.
        self._is_current = False
        self._revision = 0
        self._record: version_history.Record = {}

    async def recall(self) -> store.Unavailable | None:
        """Have the history know the versions that left before this instance started."""
        now = self._clock.monotonic()
        is_known = self._history.observed_for(now) >= stream_origins.LIFETIME
        return None if self._is_recalled or is_known else await self._read()

    async def run(self) -> None:
        """Keep the record; runs until cancelled."""
        while True:
            await self._clock.sleep(_INTERVAL)
            observed_for = self._history.observed_for(self._clock.monotonic())
            if observed_for < _SETTLING_TIME or not self._is_first_for(_KIND):
                self._is_current = False
                continue
            failure = await self._update()
            if failure is not None and failure.retry_after is not None:
                await self._clock.sleep(failure.retry_after)

    async def _update(self) -> store.Unavailable | None:
        if not self._is_current:
            failure = await self._read()
            if failure is not None:
                return failure
        record = self._history.next_record(self._record, self._clock.monotonic())
        if record == self._record:
            return None
        outcome = await self._store.put(
            _KIND, _NAME, {"services": record}, if_version=self._revision
        )
        if isinstance(outcome, store.Written):
            self._revision, self._record = outcome.version, record
            _log.info("versions recorded", services=len(record))
            return None
        self._is_current = False
        return outcome if isinstance(outcome, store.Unavailable) else None

    async def _read(self) -> store.Unavailable | None:
        found = await self._store.get(_KIND, _NAME)
        if isinstance(found, store.Unavailable):
            return found
        self._revision, self._record = 0, {}
        if isinstance(found, store.Found):
            self._revision, self._record = found.version, _decode(found.value)
        self._history.recall(self._record)
        self._is_recalled = self._is_current = True
        return None


def _decode(value: typing.Any) -> version_history.Record:
    """Decode a record; what another writer has made of it counts as nothing."""
    services = value.get("services") if isinstance(value, dict) else None
    if not isinstance(services, dict):
        services = {}
    return {
        service: tuple(sorted(versions))
        for service, versions in services.items()
        if isinstance(versions, list) and all(isinstance(v, str) for v in versions)
    }
