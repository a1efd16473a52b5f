"""Tells whether only one software version of a service can have begun a stream.

Load pattern: releases are rare, so nearly always all servers of a service have one
version. A client resumes its stream some seconds after its last event at any instance,
also when no instance with a record of the stream can be reached.

Without this decision such a stream would have to be refused, even though no other
version could have begun it. If only the current list of servers were consulted, a
stream would go on at the new version right after the last server of the old one left.

An observation tells of streams that began before the list was read. Whoever resumes a
stream therefore has the list confirmed by the store first, by the answer to a call that
was made after the client came back.

Grounds: a version that was listed within `stream_origins.LIFETIME` may have begun a
stream that a client still resumes. Each attempt to resume it has a time limit of its
own, so neither the route's limit nor the client's bounds how long ago it began.

An instance that has just started doesn't know which versions were listed before. If it
refused streams for as long, all instances would do so after each start of the fleet,
although there is rarely a release just then. So it recalls what an instance that has
observed the list for longer has recorded, and refuses streams for the time limit of
one attempt.

Grounds of the record: it changes when a version is first listed and `LIFETIME` after
the last server of one has left. So it is never late for a version that leaves, and
nearly always as it was for hours. What the list no longer shows when an instance
starts has left before: it counts as removed when the list was first observed.
"""

import datetime
import enum
from collections import abc

from pimentolatch.decisions import stream_origins

__all__ = ["Ambiguity", "Record", "VersionHistory"]

# Removed versions that are kept of a service: each one evicted was removed before two
# others, which rule out a sole version for longer than it would.
_MAX_REMOVED = 2
# Bounds on a record, whatever entries others write: with a few versions there is no
# sole one.
_MAX_RECORDED_VERSIONS = 4
_MAX_RECORDED_SERVICES = 500

# Recorded versions by service, both sorted.
Record = abc.Mapping[str, tuple[str, ...]]


class Ambiguity(enum.Enum):
    """Why it can't be told which version began a stream."""

    NOT_OBSERVED = "list not observed for long enough"
    SEVERAL = "several versions"
    NONE = "no version known"
    NOT_CONFIRMED = "list not confirmed by the store"


class VersionHistory:
    """Software versions of each service that are or were recently listed."""

    def __init__(self) -> None:
        self._since: datetime.timedelta | None = None
        self._listed: dict[str, frozenset[str]] = {}
        self._unseen_until: datetime.timedelta | None = None
        # Versions with the time of their removal, in its order.
        self._removed: dict[str, dict[str, datetime.timedelta]] = {}

    def observe(
        self,
        service_versions: abc.Mapping[str, abc.Set[str]],
        now: datetime.timedelta,
    ) -> None:
        """Update the listed versions.

        Args:
            service_versions: All versions that are listed now, by service. An empty
                text stands for servers whose version is unknown.
            now: Monotonic time.
        """
        if self._since is None:
            self._since = now
        current = {name: frozenset(found) for name, found in service_versions.items()}
        for service in self._listed.keys() | current.keys():
            self._update_removed(service, current.get(service, frozenset()), now)
        self._listed = current
        for service in list(self._removed):
            if not self._recently_removed(service, now):
                del self._removed[service]

    def restart(self, at: datetime.timedelta) -> None:
        """Apply that servers of any version may have been listed until `at`, unseen.

        Args:
            at: Monotonic time.
        """
        self._unseen_until = (
            at if self._unseen_until is None else max(self._unseen_until, at)
        )

    def observed_for(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return for how long the list has been observed; zero before the first list.

        Args:
            now: Monotonic time.
        """
        return datetime.timedelta() if self._since is None else now - self._since

    def recall(self, record: Record) -> None:
        """Apply the versions that another instance has recorded.

        Args:
            record: The record; it was read after the list was first observed.
        """
        if self._since is None:
            return
        for service, versions in record.items():
            removed = self._removed.get(service, {})
            seen = self._listed.get(service, frozenset()) | removed.keys()
            earlier = dict.fromkeys(set(versions) - seen, self._since)
            self._removed[service] = earlier | removed
            self._limit_removed(service)

    def next_record(self, record: Record, now: datetime.timedelta) -> Record:
        """Return the versions to record: all that clients may still resume streams of.

        Args:
            record: The current record. Nothing is dropped from it while servers may
                have been listed unseen.
            now: Monotonic time.
        """
        drops = self.observed_for(now) >= stream_origins.LIFETIME
        kept = {} if drops and not self._unseen(now) else record
        chosen: dict[str, tuple[str, ...]] = {}
        for service in sorted(self._listed.keys() | self._removed.keys() | kept.keys()):
            listed = self._listed.get(service, frozenset())
            left = self._recently_removed(service, now).union(kept.get(service, ()))
            # The list shows those of the others that are still there.
            versions = [*sorted(left - listed), *sorted(listed)]
            if versions and len(chosen) < _MAX_RECORDED_SERVICES:
                chosen[service] = tuple(sorted(versions[:_MAX_RECORDED_VERSIONS]))
        return chosen

    def sole_version(
        self,
        service: str,
        now: datetime.timedelta,
        within: datetime.timedelta = stream_origins.LIFETIME,
    ) -> str | Ambiguity:
        """Return the only version that can have begun a stream that is resumed now.

        Args:
            service: The service.
            now: Monotonic time.
            within: For how long the list must have been observed; up to
                `stream_origins.LIFETIME`.

        Returns:
            Why it can't be told if there may have been several versions or the version
            is unknown.
        """
        if self._since is None or now - self._since < within or self._unseen(now):
            return Ambiguity.NOT_OBSERVED
        versions = self._listed.get(service, frozenset())
        versions |= self._recently_removed(service, now)
        if len(versions) > 1:
            return Ambiguity.SEVERAL
        return next(iter(versions), "") or Ambiguity.NONE

    def _unseen(self, now: datetime.timedelta) -> bool:
        """Tell whether versions may have been listed lately that were not seen."""
        until = self._unseen_until
        return until is not None and now - until < stream_origins.LIFETIME

    def _update_removed(
        self, service: str, current: frozenset[str], now: datetime.timedelta
    ) -> None:
        removed = self._removed.setdefault(service, {})
        for version in current:
            removed.pop(version, None)
        for version in sorted(self._listed.get(service, frozenset()) - current):
            removed[version] = now
        self._limit_removed(service)

    def _limit_removed(self, service: str) -> None:
        removed = self._removed[service]
        while len(removed) > _MAX_REMOVED:
            del removed[next(iter(removed))]

    def _recently_removed(
        self, service: str, now: datetime.timedelta
    ) -> frozenset[str]:
        removed = self._removed.get(service, {})
        return frozenset(
            version
            for version, removed_at in removed.items()
            if now - removed_at < stream_origins.LIFETIME
        )
