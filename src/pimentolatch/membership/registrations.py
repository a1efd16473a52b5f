"""Registrations in the store: the current process of each instance.

There is one object for each instance, written at each start, so the number of objects
is bounded by that of the instances and no cleanup is needed. A process that starts at
another address than its predecessor keeps that one in the object, since it may still
run.
"""

import dataclasses
import typing

from pimentolatch import store
from pimentolatch.membership import incarnations
from pimentolatch.protocol import messages

__all__ = ["REGISTRATION_KIND", "Registration", "Registrations"]

REGISTRATION_KIND = "instances"
_PREDECESSOR_LIMIT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """A process and, if it can reach no peer, the views that it acknowledges."""

    introduction: messages.Introduction
    views: tuple[messages.ViewNumber, ...] = ()

    def to_json(self) -> dict[str, typing.Any]:
        """Return the value to store."""
        return dataclasses.asdict(self.introduction) | {
            "views": {view.failure_domain: view.number for view in self.views}
        }

    @classmethod
    def from_json(cls, value: dict[str, typing.Any]) -> "Registration":
        """Return the registration that a stored value describes."""
        views = tuple(messages.ViewNumber(*item) for item in value["views"].items())
        introduction = messages.Introduction(
            value["incarnation"], value["host"], value["port"]
        )
        return cls(introduction, views)


class Registrations:
    """Writes the registration of this process and reads those of all."""

    def __init__(self, objects: store.Store, own: incarnations.Identity) -> None:
        self._store = objects
        self._own = own
        self._introduction = messages.Introduction(own.incarnation, own.host, own.port)

    async def register(self) -> bool:
        """Register this process; False if the write failed or may have failed."""
        return await self._write(Registration(self._introduction))

    async def acknowledge(self, numbers: dict[str, int]) -> bool:
        """Write the views by which this process routes; False as for `register`."""
        views = tuple(messages.ViewNumber(*item) for item in sorted(numbers.items()))
        return await self._write(Registration(self._introduction, views))

    async def read(self) -> tuple[Registration, ...] | store.Unavailable:
        """Return the registrations, predecessors first."""
        listing = await self._store.list_objects(REGISTRATION_KIND)
        if isinstance(listing, store.Unavailable):
            return listing
        return tuple(
            registration for row in listing.objects for registration in _processes(row)
        )

    async def _write(self, own: Registration) -> bool:
        found = await self._store.get(REGISTRATION_KIND, self._own.instance)
        if isinstance(found, store.Unavailable):
            return False
        before: tuple[Registration, ...] = ()
        version = 0
        if isinstance(found, store.Found):
            version = found.version
            before = tuple(r for r in _processes(found) if not self._replaces(r))
        processes = [*before[-_PREDECESSOR_LIMIT:], own]
        value = {"processes": [process.to_json() for process in processes]}
        outcome = await self._store.put(
            REGISTRATION_KIND, self._own.instance, value, if_version=version
        )
        return isinstance(outcome, store.Written)

    def _replaces(self, other: Registration) -> bool:
        there = other.introduction
        same_address = (there.host, there.port) == (self._own.host, self._own.port)
        return same_address or there.incarnation == self._own.incarnation


def _processes(row: store.Found) -> tuple[Registration, ...]:
    return tuple(Registration.from_json(item) for item in row.value["processes"])
