"""Listed servers, judged by what this instance knows of them.

Without it the newest write to the store would count as the newest fact, and a check-in
that reaches the store late would undo that its server leaves.
"""

import dataclasses
from collections import abc

import logbook

from pimentolatch.decisions import departures
from pimentolatch.routes import servers

__all__ = ["ListedServers"]

_log = logbook.Logger("watch")
_CONSISTENT = frozenset(
    {
        departures.Standing.CURRENT,
        departures.Standing.NEW,
        departures.Standing.PRESUMED,
    }
)


class ListedServers:
    """The entries of servers from the store, or from a peer's list.

    Attributes:
        kept: Ids of the servers that are used although their entries are missing.
    """

    def __init__(self) -> None:
        self.kept: abc.Collection[str] = ()
        self._entries: dict[str, servers.Server] = {}
        self._departures = departures.Departures()
        self._logged: dict[servers.Incarnation, departures.Standing] = {}
        self._overruled: set[servers.Incarnation] = set()
        self._revision = 0
        self._listed_before = False

    @property
    def unconfirmed(self) -> list[servers.Server]:
        """Servers that are not used before they say that they are ready."""
        return self._among(self._departures.unconfirmed)

    @property
    def presumed(self) -> list[servers.Server]:
        """Servers that are used until they say that they are not ready."""
        return self._among(self._departures.presumed)

    @property
    def doubted(self) -> list[servers.Server]:
        """Servers that peers must ask too."""
        return self._among(self._departures.doubted)

    @property
    def overruled(self) -> list[servers.Server]:
        """Servers that drain although the last entry said that they are ready."""
        if not self._overruled:
            return []
        return [s for s in self._entries.values() if s.incarnation in self._overruled]

    def _among(self, found: abc.Set[servers.Incarnation]) -> list[servers.Server]:
        if not found:
            return []
        return [s for s in self._entries.values() if s.incarnation in found]

    def mark_drained(self, server: servers.Incarnation) -> bool:
        """Apply a peer's word that a server drains; return whether that was new."""
        entry = self._entries.get(server.server_id)
        if entry is None or entry.incarnation != server or entry.draining:
            return False
        entry = dataclasses.replace(entry, draining=True)
        self._entries[server.server_id] = entry
        self._overruled.add(server)
        self._departures.enlist(entry, departures.Standing.LEAVING)
        return True

    def all(self) -> abc.Collection[servers.Server]:
        """Return the entries that are in force."""
        return self._entries.values()

    def withheld(self) -> frozenset[servers.Incarnation]:
        """Return the unconfirmed servers that must not be used."""
        return self._departures.withheld(self._entries.values())

    def confirm(self, server: servers.Incarnation) -> None:
        """Record that a server has said that it is ready."""
        self._departures.confirm(server)

    def deny(self, server: servers.Incarnation) -> None:
        """Record that a server has said that it is not ready."""
        self._departures.deny(server)

    def doubt(self, doubted: abc.Iterable[servers.Incarnation]) -> bool:
        """Record that a peer has not confirmed these servers; return if that counts."""
        return any(
            [
                self._departures.doubt(server)
                for server in doubted
                if self._is_ready(server)
            ]
        )

    def _is_ready(self, server: servers.Incarnation) -> bool:
        entry = self._entries.get(server.server_id)
        return entry is not None and entry.incarnation == server and not entry.draining

    def replace(
        self,
        listed: abc.Iterable[servers.Server],
        unreadable: abc.Container[str],
        revision: int,
        source: str,
    ) -> None:
        """Apply a full list; see `update`."""
        listed = list(listed)
        names = {server.server_id for server in listed}
        removed = [name for name in self._entries if name not in names]
        self.update(listed, removed, unreadable, revision, source)

    def update(
        self,
        changed: abc.Iterable[servers.Server],
        removed: abc.Iterable[str],
        unreadable: abc.Container[str],
        revision: int,
        source: str,
    ) -> None:
        """Apply entries that have changed, and remove others by their names.

        Args:
            changed: The entries.
            removed: Names of entries that are not in force any more.
            unreadable: Those of them that are still there. They tell nothing of their
                servers, so these have not departed.
            revision: Revision of the store, for the log.
            source: Where this was read, for the log.
        """
        changed = list(changed)
        known = self._entries
        if self.kept:
            known = {n: s for n, s in known.items() if n not in self.kept}
        for server in self._departures.missed_changes(changed, known, self._revision):
            self._remove(server.server_id)
        self._revision = revision
        new = self._departures.judge_new(
            changed, self._entries, is_first_list=not self._listed_before
        )
        self._listed_before = True
        for server in changed:
            self._apply(server, new, revision, source)
        for name in removed:
            self._remove(name, departs=name not in unreadable)

    def _remove(self, name: str, *, departs: bool = True) -> None:
        gone = self._entries.pop(name, None)
        if gone is None:
            return
        self._logged.pop(gone.incarnation, None)
        self._overruled.discard(gone.incarnation)
        if departs or gone.draining:
            self._departures.depart(gone)

    def _apply(
        self,
        entry: servers.Server,
        new: abc.Mapping[servers.Incarnation, departures.Standing],
        revision: int,
        source: str,
    ) -> None:
        known = self._entries.get(entry.server_id)
        standing = self._departures.judge(entry, known)
        if standing is departures.Standing.CURRENT and not entry.draining:
            standing = new.get(entry.incarnation, standing)
        self._log(entry, known, standing, revision, source)
        if standing is departures.Standing.OUTDATED:
            return
        self._overruled.discard(entry.incarnation)
        if standing is departures.Standing.LEAVING:
            entry = dataclasses.replace(entry, draining=True)
            self._overruled.add(entry.incarnation)
        if known is not None and known.incarnation != entry.incarnation:
            self._departures.depart(known, replaced=True)
        self._entries[entry.server_id] = entry
        self._departures.enlist(entry, standing)

    def _log(
        self,
        entry: servers.Server,
        known: servers.Server | None,
        standing: departures.Standing,
        revision: int,
        source: str,
    ) -> None:
        """Log an entry that contradicts what is known, once while it is listed."""
        if standing in _CONSISTENT:
            return
        if self._logged.get(entry.incarnation) is standing:
            return
        self._logged[entry.incarnation] = standing
        _log.warn(
            "entry contradicts what is known of its server",
            server=entry.server_id,
            started_ms=entry.started_ms,
            standing=standing.value,
            draining=entry.draining,
            check_in=entry.check_in,
            known_check_in=None if known is None else known.check_in,
            revision=revision,
            source=source,
        )
