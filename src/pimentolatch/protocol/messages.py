"""Messages between instances.

Links are TCP connections, so messages on one link arrive in order or the link ends.
Therefore a message may carry only what changed since the last one on that link, and a
new link starts with everything.
"""

import dataclasses

from pimentolatch.decisions import demand, work_reports

__all__ = [
    "Acknowledged",
    "Acknowledgement",
    "ConfigurationHead",
    "CrashNotice",
    "DomainViews",
    "EngineEnd",
    "Evidence",
    "Farewell",
    "Heartbeat",
    "Hello",
    "HolderNotice",
    "Introduction",
    "LeavingNotice",
    "Message",
    "Part",
    "PartMissing",
    "SharesDelta",
    "StoredView",
    "Testimony",
    "ViewNumber",
    "WantHead",
    "WantParts",
    "WantViews",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of each side; an unknown `version` ends the link.

    Attributes:
        incarnation: The sending process, unique for each start.
        host: IP number the sender listens at for peers.
    """

    version: int
    incarnation: str
    failure_domain: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Introduction:
    """An incarnation that may route, and where it listens for peers."""

    incarnation: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class ViewNumber:
    """Number of the view of a failure domain that the sender routes by."""

    failure_domain: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent at a fixed interval and at once when something in it changes.

    Attributes:
        sequence: Grows by one with each heartbeat of the incarnation.
        configuration: Number of the document in force at the sender; 0 for none.
        views: Views adopted since the last heartbeat; the sender sends nothing new to
            what they withdraw, so this is its acknowledgement.
        introduced: Incarnations that the sender came to know of. They stand before
            any acknowledgement that the link carries, so that whoever counts
            acknowledgements knows of everyone the sender knew of.
        asking: Incarnations the sender has not heard of lately.
    """

    sequence: int
    configuration: int
    views: tuple[ViewNumber, ...] = ()
    introduced: tuple[Introduction, ...] = ()
    asking: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """When another incarnation was last heard directly, and what it routes by."""

    incarnation: str
    age_ms: int
    views: tuple[ViewNumber, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Testimony:
    """Answer to a heartbeat that asks."""

    evidence: tuple[Evidence, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Farewell:
    """The sender has stopped and sends nothing to any backend server any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class HolderNotice:
    """The sender gathers acknowledgements of its failure domain's views."""

    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """An incarnation routes by this or a later view."""

    incarnation: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledged:
    """Acknowledgements of one failure domain's view, passed on to its holder."""

    failure_domain: str
    rows: tuple[Acknowledgement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WantViews:
    """Asks for the views of failure domains; none named asks for all."""

    failure_domains: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredView:
    """A domain view with its stored value as JSON text."""

    failure_domain: str
    number: int
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class DomainViews:
    """Answer to `WantViews`.

    Attributes:
        complete: Whether the sender knows the views of all failure domains, so that
            a failure domain that is not named has none.
    """

    complete: bool
    views: tuple[StoredView, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WantHead:
    """Asks for the head of the document in force at the receiver."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationHead:
    """Answer to `WantHead`: the head object's value as JSON text."""

    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class WantParts:
    """Asks for parts of a document by their names."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One part of a document, compressed by zlib."""

    name: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PartMissing:
    """The sender no longer holds the part."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class SharesDelta:
    """Entries of the sender's work that changed; zero stands for none left."""

    servers: tuple[work_reports.ServerWork, ...]
    callers: tuple[work_reports.CallerWork, ...]
    totals: tuple[demand.Totals, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Backend servers that the platform's list newly shows as leaving."""

    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEnd:
    """An engine's connection ended while it ran a completion.

    Attributes:
        digest: `completion_stream.Completion.digest` of the completion.
        cleared: The completion has run to its end since.
        age_ms: How long ago it ended.
        lasted_ms: How long the engine had had the completion by then.
    """

    digest: int
    engine: str
    cleared: bool
    age_ms: int
    lasted_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNotice:
    """Completions under which engines have ended lately."""

    ends: tuple[EngineEnd, ...]


Message = (
    Hello
    | Heartbeat
    | Testimony
    | Farewell
    | HolderNotice
    | Acknowledged
    | WantViews
    | DomainViews
    | WantHead
    | ConfigurationHead
    | WantParts
    | Part
    | PartMissing
    | SharesDelta
    | LeavingNotice
    | CrashNotice
)
