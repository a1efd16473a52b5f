"""Messages between instances.

Links are TCP connections, so messages on one link arrive in order or the link closes.
Therefore a message may hold only what changed since the last one on its link, and a new
link starts with the whole state.
"""

import dataclasses

from pimentolatch.decisions import demand, work_reports

__all__ = [
    "Acknowledgement",
    "ConfigurationHead",
    "CrashNotice",
    "DomainViews",
    "EngineCrash",
    "Farewell",
    "Heartbeat",
    "Hello",
    "Introduction",
    "LeaderNotice",
    "LeavingNotice",
    "LivenessEntry",
    "LivenessReport",
    "Message",
    "Part",
    "PartMissing",
    "RelayedAcknowledgements",
    "StoredView",
    "ViewNumber",
    "WantHead",
    "WantParts",
    "WantViews",
    "WorkDelta",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of each side; an unknown `version` closes the link.

    Attributes:
        incarnation: The sending process, unique for each start.
        host: IP address at which the sender listens for peers.
    """

    version: int
    incarnation: str
    failure_domain: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Introduction:
    """An incarnation that may route, and the address at which it listens for peers."""

    incarnation: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class ViewNumber:
    """Number of the view by which the sender routes in a failure domain."""

    failure_domain: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent at a fixed interval, and at once when a value in it changes.

    Attributes:
        sequence: Grows by one with each heartbeat of the incarnation.
        configuration: Number of the document in force at the sender; 0 for none.
        views: Views adopted since the last heartbeat. The sender dispatches nothing
            more to the servers that they withdraw, so this is its acknowledgement.
        introduced: Incarnations new to the sender. They precede any acknowledgement on
            the link, so that the receiver of acknowledgements knows each incarnation
            that the sender knew.
        queried: Incarnations from which the sender has got no recent message.
    """

    sequence: int
    configuration: int
    views: tuple[ViewNumber, ...] = ()
    introduced: tuple[Introduction, ...] = ()
    queried: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessEntry:
    """Age of the last direct message of an incarnation, and the views it routes by."""

    incarnation: str
    age_ms: int
    views: tuple[ViewNumber, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessReport:
    """Response to the `queried` incarnations of a heartbeat."""

    entries: tuple[LivenessEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Farewell:
    """The sender has stopped and sends nothing more to any backend server."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderNotice:
    """The sender is the leader and collects acknowledgements of its domain's views."""

    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """An incarnation routes by the view of this number or a later one."""

    incarnation: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAcknowledgements:
    """Acknowledgements of one failure domain's view, relayed towards its leader."""

    failure_domain: str
    rows: tuple[Acknowledgement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WantViews:
    """Requests the views of some failure domains, of all if none is named."""

    failure_domains: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredView:
    """A domain view, with its stored value as JSON text."""

    failure_domain: str
    number: int
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class DomainViews:
    """Response to `WantViews`.

    Attributes:
        complete: Whether the sender knows the views of all failure domains, so that
            a failure domain that is not named has none.
    """

    complete: bool
    views: tuple[StoredView, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WantHead:
    """Requests the head of the document in force at the receiver."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationHead:
    """Response to `WantHead`: the head object's value as JSON text."""

    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class WantParts:
    """Requests parts of a document by their names."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One part of a document, compressed with zlib."""

    name: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PartMissing:
    """The sender no longer holds the part."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkDelta:
    """Changed entries of the sender's work report; zero removes an entry."""

    servers: tuple[work_reports.ServerWork, ...]
    callers: tuple[work_reports.CallerWork, ...]
    totals: tuple[demand.Totals, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Backend servers that the platform's list shows as leaving for the first time."""

    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCrash:
    """An engine's connection closed while the engine ran a completion.

    Attributes:
        digest: `completion_stream.Completion.digest` of the completion.
        cleared: Whether the completion has run to its end since.
        age_ms: Time since the connection closed.
        ran_for_ms: Time for which the engine had run the completion by then.
    """

    digest: int
    engine: str
    cleared: bool
    age_ms: int
    ran_for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNotice:
    """Completions during which engines crashed recently."""

    crashes: tuple[EngineCrash, ...]


Message = (
    Hello
    | Heartbeat
    | LivenessReport
    | Farewell
    | LeaderNotice
    | RelayedAcknowledgements
    | WantViews
    | DomainViews
    | WantHead
    | ConfigurationHead
    | WantParts
    | Part
    | PartMissing
    | WorkDelta
    | LeavingNotice
    | CrashNotice
)
