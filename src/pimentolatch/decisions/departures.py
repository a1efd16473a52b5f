"""Decides whether a server's entry is newer than what is known of the server.

Load pattern: a server reports that it drains, or its entry is removed, and it goes on
serving what it has. A check-in that it wrote before may reach the store afterwards: a
lost packet, a partition or a proxy held it up, or a call without an answer was carried
out late. It lists the server as ready again. The store's newest revision has the older
content then, and stays until the entry expires some seconds later.

Check-ins of an incarnation are numbered. An entry with a lower number than a known one
is older. A higher number proves nothing: check-ins that change nothing are not told, so
the last known number is often that of the server's start.

An instance that was cut off, or stood still, may have missed that a server left. If its
entry was created after the revision that the instance knew, it was removed in between.
If it was written after that and says what it said before, it said something else in
between, since a check-in that changes nothing is not written. If one of these holds for
most servers, there was an outage of the store, and they are not asked.

An instance that has never listed a server knows nothing of it. The server may be new,
or have left before the instance started: its first check-in, written late, looks like
that of a new one. So a server that appears is asked before it is used, as one that
returns. A new server is idle and answers at once. If more servers appear than are
known, the fleet has started or comes back from an outage, and only those are asked
whose entries were not created by their first check-ins.

What an instance finds listed when it starts is used, and asked meanwhile: it has
nothing else to use, and a full fleet must not lose the servers that are too busy to
answer. One of these is left out once it says that it is not ready, while others remain.
An instance asks only those that are its share among its peers: peers that have been
there for longer tell it what they know.

Leaving is final: a server that has said that it drains is used again only as another
incarnation. A removed entry is not, since entries also expire while a server works but
can't reach the store. Such a server is unconfirmed until it says itself that it is
ready. While no other server of its service and stage is listed, as after an outage in
which all entries expired, an unconfirmed one is used unless it says that it is not.

The latest departures are remembered, however long ago they were: a partition may hold a
check-in for as long as it lasts.
"""

import enum
from collections import abc

from pimentolatch.routes import servers

__all__ = ["Departures", "Standing"]

# Enough for a release that replaces all servers of a fleet of 3,800.
_MAX_REMEMBERED = 4096
_FIRST_CHECK_IN = 1


class Standing(enum.Enum):
    """How an entry relates to what is known of its server, as the log names it."""

    CURRENT = "current"
    LEAVING = "ready after it drained"
    OUTDATED = "older than known"
    UNCONFIRMED = "listed again after its removal"
    NEW = "listed for the first time"
    PRESUMED = "listed when this instance started"


class Departures:
    """The servers that are no longer listed, and those that are listed again."""

    def __init__(self) -> None:
        # Whether it can't be ready again: it drained, or was replaced by another
        # incarnation.
        self._departed: dict[servers.Incarnation, bool] = {}
        self._unconfirmed: set[servers.Incarnation] = set()
        self._presumed: set[servers.Incarnation] = set()
        self._denied: set[servers.Incarnation] = set()
        self._confirmed: set[servers.Incarnation] = set()

    @property
    def unconfirmed(self) -> abc.Set[servers.Incarnation]:
        """Listed servers that are not used before they say that they are ready."""
        return self._unconfirmed

    @property
    def presumed(self) -> abc.Set[servers.Incarnation]:
        """Listed servers that are used until they say that they are not ready."""
        return self._presumed

    @property
    def doubted(self) -> abc.Set[servers.Incarnation]:
        """Listed servers that peers must ask too."""
        return self._unconfirmed | (self._presumed & self._denied)

    def missed_changes(
        self,
        entries: abc.Iterable[servers.Server],
        known: abc.Mapping[str, servers.Server],
        known_revision: int,
    ) -> list[servers.Server]:
        """Return the known servers that may have left and been listed again unseen.

        Args:
            entries: The entries that have been read.
            known: The servers that were listed, by id.
            known_revision: Revision of the store that they reflected.
        """
        found = [
            known[entry.server_id]
            for entry in entries
            if entry.server_id in known
            and known[entry.server_id].incarnation == entry.incarnation
            and (
                entry.created_revision > known_revision
                or (entry.revision > known_revision and entry == known[entry.server_id])
            )
        ]
        survived = len(known) - len(found)
        return found if len(found) <= survived else []

    def judge_new(
        self,
        entries: abc.Iterable[servers.Server],
        known: abc.Mapping[str, servers.Server],
        *,
        is_first_list: bool,
    ) -> dict[servers.Incarnation, Standing]:
        """Return how entries of servers count that have never been listed.

        Args:
            entries: The entries that have been read.
            known: The servers that were listed, by id.
            is_first_list: Whether this instance has had no list before.
        """
        new = [entry for entry in entries if entry.server_id not in known]
        others = Standing.CURRENT
        if is_first_list:
            others = Standing.PRESUMED
        elif len(new) <= len(known):
            others = Standing.NEW
        standings = {entry.incarnation: others for entry in new}
        again = [entry.incarnation for entry in new if _is_created_again(entry)]
        if len(again) <= len(new) - len(again) + len(known):
            standings.update(dict.fromkeys(again, Standing.UNCONFIRMED))
        return standings

    def judge(self, entry: servers.Server, known: servers.Server | None) -> Standing:
        """Return how an entry counts; an outdated one must not replace the known one.

        Args:
            entry: The entry.
            known: What is listed under its id so far, if anything.
        """
        if known is not None and known.incarnation == entry.incarnation:
            return self._judge_change(entry, known)
        is_final = self._departed.get(entry.incarnation)
        if is_final and known is not None:
            return Standing.OUTDATED
        if is_final is None or entry.draining:
            return Standing.CURRENT
        return Standing.LEAVING if is_final else Standing.UNCONFIRMED

    def enlist(self, server: servers.Server, standing: Standing) -> None:
        """Record that a server is listed, with the standing of its entry."""
        if standing in (Standing.UNCONFIRMED, Standing.NEW):
            self._unconfirmed.add(server.incarnation)
        elif standing is Standing.PRESUMED:
            self._presumed.add(server.incarnation)
        elif server.draining:
            self._settle(server.incarnation)

    def depart(self, server: servers.Server, *, replaced: bool = False) -> None:
        """Record that a server is no longer listed.

        Args:
            server: As it was listed last.
            replaced: Whether another incarnation is listed in its place.
        """
        self._settle(server.incarnation)
        self._confirmed.discard(server.incarnation)
        was_final = self._departed.pop(server.incarnation, False)
        self._departed[server.incarnation] = server.draining or replaced or was_final
        if len(self._departed) > _MAX_REMEMBERED:
            del self._departed[next(iter(self._departed))]

    def doubt(self, server: servers.Incarnation) -> bool:
        """Record that a peer has not confirmed a listed server; return if that counts.

        It does not if this instance has asked the server itself: peers ask a little
        later, or have lost the path to it.
        """
        if server in self._confirmed or server in self._unconfirmed:
            return False
        self._presumed.discard(server)
        self._unconfirmed.add(server)
        return True

    def confirm(self, server: servers.Incarnation) -> None:
        """Record that a server has said that it is ready.

        It may have left while its answer was on the way.
        """
        if server not in self._unconfirmed | self._presumed:
            return
        self._settle(server)
        self._departed.pop(server, None)
        self._confirmed.add(server)

    def deny(self, server: servers.Incarnation) -> None:
        """Record that a server that was asked has said that it is not ready."""
        if server in self._unconfirmed | self._presumed:
            self._denied.add(server)

    def withheld(
        self, listed: abc.Collection[servers.Server]
    ) -> frozenset[servers.Incarnation]:
        """Return the servers that must not be used.

        Args:
            listed: All listed servers.
        """
        if not self._unconfirmed and not self._denied:
            return frozenset()
        left_out = self._unconfirmed | self._denied
        replaceable = {
            (server.service, server.stage)
            for server in listed
            if not server.draining and server.incarnation not in left_out
        }
        return frozenset(
            server.incarnation
            for server in listed
            if server.incarnation in self._unconfirmed & self._denied
            or (
                server.incarnation in left_out
                and (server.service, server.stage) in replaceable
            )
        )

    def _settle(self, server: servers.Incarnation) -> None:
        self._unconfirmed.discard(server)
        self._presumed.discard(server)
        self._denied.discard(server)

    def _judge_change(self, entry: servers.Server, known: servers.Server) -> Standing:
        if known.draining and not entry.draining:
            return Standing.LEAVING
        if _is_below(entry.check_in, known.check_in):
            return Standing.OUTDATED
        return Standing.CURRENT


def _is_created_again(entry: servers.Server) -> bool:
    """Tell whether a later check-in than its server's first one created an entry."""
    is_later = (entry.check_in or 0) > _FIRST_CHECK_IN
    return is_later and entry.created_revision == entry.revision > 0


def _is_below(number: int | None, known: int | None) -> bool:
    return number is not None and known is not None and number < known
