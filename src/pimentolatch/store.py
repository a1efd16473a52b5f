"""Interface of the platform's store and the outcomes of its calls.

A conditional write has four outcomes that callers must tell apart: written, not
written because somebody else was first, certainly not written, and *unknown*. The
last one comes from a lost answer; the write may have taken effect, so it is settled
by reading the object back, never by assuming either way.
"""

import dataclasses
import datetime
import typing

__all__ = [
    "Absent",
    "Changes",
    "Conflict",
    "Found",
    "HistoryGone",
    "Instance",
    "Listing",
    "Store",
    "Unavailable",
    "Written",
]

Json = typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """An object as it stands. `version` grows with each write of the object."""

    name: str
    version: int
    value: Json


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """There is no such object."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect and the object now has this version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The write had no effect: the object's version is not the expected one."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The call failed.

    Attributes:
        reason: What was seen, for the log.
        effect_unknown: Whether a write may have taken effect all the same.
        retry_after: When the platform asks to be called again, if it says so.
    """

    reason: str
    effect_unknown: bool
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects of a kind, with the revision up to which the listing is complete."""

    revision: int
    objects: tuple[Found, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What changed in a kind up to a revision of the store; the newest of each name."""

    revision: int
    changed: tuple[Found, ...]
    removed: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The changes after the asked revision are no longer known; list anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An entry of the platform's lagging instance list.

    Attributes:
        kind: `entry`, `engine` or `plain`.
        state: `live` or `leaving`.
        ended: Names of earlier incarnations that the platform has ended for good.
    """

    name: str
    kind: str
    failure_domain: str
    host: str
    peer_port: int
    state: str
    ended: tuple[str, ...] = ()


class Store(typing.Protocol):
    """The calls of the platform that the system uses."""

    async def get(self, kind: str, name: str) -> Found | Absent | Unavailable:
        """Read an object."""

    async def put(
        self, kind: str, name: str, value: Json, *, if_version: int
    ) -> Written | Conflict | Unavailable:
        """Write an object if its version is `if_version`; 0 means it is absent."""

    async def delete(
        self, kind: str, name: str, *, if_version: int
    ) -> Written | Absent | Conflict | Unavailable:
        """Remove an object if its version is `if_version`."""

    async def list_objects(self, kind: str, prefix: str = "") -> Listing | Unavailable:
        """List the objects of a kind whose names begin with `prefix`."""

    async def watch(
        self, kind: str, *, after: int, wait: datetime.timedelta
    ) -> Changes | HistoryGone | Unavailable:
        """Return changes of a kind after a revision; waits until there is one.

        The answer may be empty when `wait` has passed.
        """

    async def instances(self) -> tuple[Instance, ...] | Unavailable:
        """Read the lagging list of live and leaving instances."""
