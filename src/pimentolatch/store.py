"""Interface of the platform's object store and the outcomes of its calls.

A conditional write has four outcomes that callers must distinguish: written, version
conflict, certainly not written, and *unknown*. The outcome is unknown if the response
was lost: the write may have taken effect. The caller must then read the object back
and must not assume either.
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
    """An object as it is stored.

    Attributes:
        version: Revision of the store at its last write.
        value: What is stored; `bounded_json.Unreadable` if another writer has stored
            what can't be read.
        created: Revision of the store at its creation; an object that was removed and
            written again has a new one.
    """

    name: str
    version: int
    value: Json
    created: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """The object does not exist."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect; the object now has this version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The write had no effect: the object's version is not the expected one."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The call failed.

    Attributes:
        reason: What went wrong, for the log.
        effect_unknown: Whether a write may have taken effect nevertheless.
        retry_after: Delay that the platform asked for before a retry, if any.
    """

    reason: str
    effect_unknown: bool
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects of a kind; the listing is complete up to `revision`."""

    revision: int
    objects: tuple[Found, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a kind up to a revision of the store, the latest per object."""

    revision: int
    changed: tuple[Found, ...]
    removed: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The changes after the requested revision are no longer known; list again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An entry of the platform's instance list, which lags behind the fleet.

    Attributes:
        kind: `entry`, `engine` or `plain`.
        state: `live` or `leaving`.
        ended: Names of earlier incarnations that the platform has terminated.
    """

    name: str
    kind: str
    failure_domain: str
    host: str
    peer_port: int
    state: str
    ended: tuple[str, ...] = ()


class Store(typing.Protocol):
    """The platform calls that the system uses."""

    async def get(self, kind: str, name: str) -> Found | Absent | Unavailable:
        """Read an object."""

    async def put(
        self, kind: str, name: str, value: Json, *, if_version: int
    ) -> Written | Conflict | Unavailable:
        """Write an object if its version is `if_version`; 0 creates it."""

    async def delete(
        self, kind: str, name: str, *, if_version: int
    ) -> Written | Absent | Conflict | Unavailable:
        """Delete an object if its version is `if_version`."""

    async def list_objects(self, kind: str, prefix: str = "") -> Listing | Unavailable:
        """List the objects of a kind whose names start with `prefix`."""

    async def watch(
        self,
        kind: str,
        *,
        after: int,
        wait: datetime.timedelta,
        answer_limit: datetime.timedelta | None = None,
    ) -> Changes | HistoryGone | Unavailable:
        """Return the changes of a kind after a revision; waits until there are any.

        The result may be empty after `wait`.

        Args:
            kind: Kind of the objects.
            after: The revision.
            wait: Time after which the store answers even if there are none.
            answer_limit: How much longer the answer may take; by default as long as
                that of any other call.
        """

    async def instances(self) -> tuple[Instance, ...] | Unavailable:
        """Read the list of live and leaving instances, which lags."""
