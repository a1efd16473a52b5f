"""Datagrams by which instances gossip their state and outstanding work.

A count of outstanding work is useful for a fraction of a second, so a lost one is not
sent again: the next beacon replaces it. Datagrams therefore suit it better than the TCP
links of `messages`, which would have to be opened, probed and closed at every network
partition.
"""

import dataclasses
import datetime
import math

from pimentolatch.routes import servers

__all__ = [
    "Beacon",
    "CachedPrefix",
    "CrashReport",
    "Demand",
    "Leader",
    "Load",
    "Member",
    "Reader",
    "ServerLimit",
    "ServerSpeed",
    "SilentServer",
    "StageChange",
    "TotalsChunk",
    "passed_on_age_ms",
]

# Evidence that is passed on ages by this much on its way to a peer, more than a beacon
# takes. It would otherwise look newer at each instance that passes it on, and never
# expire.
_TRANSIT = datetime.timedelta(milliseconds=250)
_MILLISECOND = datetime.timedelta(milliseconds=1)


def passed_on_age_ms(age: datetime.timedelta) -> int:
    """Return how old a piece of evidence is at most when it reaches a peer, in ms."""
    return math.ceil((age + _TRANSIT) / _MILLISECOND)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of one engine that the sender, or all instances of its domain, caused.

    Attributes:
        prefill_tokens: Prompt tokens that are not prefilled yet, by urgency.
        streams: Number of running streams.
        kv_tokens: Tokens that these streams have in the KV cache.
    """

    engine: servers.Incarnation
    prefill_tokens: tuple[int, ...]
    streams: int
    kv_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CachedPrefix:
    """A part of prompts that an engine has in its prefix cache.

    Attributes:
        key: `prompts.part_key` of the part's name.
        tokens: Length of the part.
    """

    engine: servers.Incarnation
    key: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TotalsChunk:
    """The engines that the totals of a beacon cover, as one of `count` hash buckets."""

    number: int = 0
    count: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class StageChange:
    """An engine that is changing its stage.

    Attributes:
        remaining_ms: Time until the change has ended at the latest.
    """

    engine: servers.Incarnation
    stage: servers.Stage
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSpeed:
    """Speed of one engine as the sender has learned it.

    Attributes:
        server: The engine.
        prefill_rate: Prompt tokens a second that it prefills; 0 if not known.
        event_gap_us: Time between two events of its streams, in microseconds; 0 if
            not known.
        samples: Number of answers that the figures rest on.
    """

    server: servers.Incarnation
    prefill_rate: int
    event_gap_us: int
    samples: int


@dataclasses.dataclass(frozen=True, slots=True)
class SilentServer:
    """A server that gave no sign to a request of the sender and was not heard since.

    Attributes:
        server: The server.
        age_ms: Time since then.
    """

    server: servers.Incarnation
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand of clients on a service at the sender, and what it knows of the servers.

    Attributes:
        service: Name of the service.
        prefill: Prompt tokens to prefill a second; 0 for a plain service.
        decode: Tokens to decode a second; 0 for a plain service.
        prefill_rate: Prompt tokens a second that one engine prefills, as learned.
        speeds: Speeds of some of its engines, if they differ.
        silent: Servers that were silent to the sender.
        leaving: Servers that have said that they leave, and whose entries do not.
        unconfirmed: Servers that are listed again after their removal and have not said
            to the sender that they are ready.
    """

    service: str
    prefill: int
    decode: int
    prefill_rate: int
    speeds: tuple[ServerSpeed, ...] = ()
    silent: tuple[SilentServer, ...] = ()
    leaving: tuple[servers.Incarnation, ...] = ()
    unconfirmed: tuple[servers.Incarnation, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance that the sender knows.

    Attributes:
        host: Its host.
        failure_domain: Its failure domain; empty if not known.
        age_ms: Maximum time since an instance heard it.
    """

    host: str
    failure_domain: str
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """An instance of the sender's domain that can watch the platform's store.

    Attributes:
        age_ms: Time since it reported so.
        servers_age_ms: Maximum time since the sender's servers matched the store; None
            in rows of other instances than the sender.
        configuration_age_ms: The same for the sender's configuration.
    """

    instance: str
    age_ms: int
    servers_age_ms: int | None = None
    configuration_age_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A server's connection closed while the server ran a request.

    Attributes:
        digest: `digests.request_digest` of the request, or `digests.part_digest` of a
            part of its prompt.
        cleared: Whether the server proved alive or the request has completed since.
        age_ms: Maximum time since the connection closed.
        ran_for_ms: Time for which the server had run the request; 0 if not known.
        server_alive: Whether the server has responded since, so that it did not crash.
    """

    digest: int
    server: servers.Incarnation
    cleared: bool
    age_ms: int
    ran_for_ms: int = 0
    server_alive: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimit:
    """The limit that a server named in its answers.

    Attributes:
        millihertz: Requests that it accepts in 1,000 s; None if it names no limit any
            more.
        age_ms: Maximum time since the latest answer that says so.
    """

    server: servers.Incarnation
    millihertz: int | None
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leader:
    """The current or last leader.

    Attributes:
        fence: Fencing token of its leadership; a later leader has a higher one.
        released: Whether it has released the lease and sends no more orders under it.
        age_ms: Maximum time since it announced this.
    """

    host: str
    fence: int
    released: bool
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Beacon:
    """State that an instance sends to its peers several times a second.

    Attributes:
        instance: Name of the sender.
        failure_domain: Failure domain of the sender.
        incarnation: Unique for each start of the sender.
        configuration: Version of the configuration in force at the sender.
        servers: Revision of the store up to which the sender knows the servers.
        stopping: Whether the sender is shutting down.
        readers: Candidates to watch the store for the sender's domain, first by name.
        members: Some of the instances that the sender knows.
        loads: Engine loads that the sender caused.
        cached: Parts that the sender just learned to be in engines' prefix caches.
        demands: Demand of the sender's clients, by service.
        totals: Engine loads that all instances of the sender's domain caused, for
            instances of other domains.
        stage_changes: Engines that are changing their stage, as known to the sender.
        chunk: The engines that the totals cover; those of them not listed are idle.
        crash_reports: Requests during which servers crashed.
        leader: The newest leader that the sender knows.
        server_limits: Some of the limits that servers have named lately.
        cut_off_services: Services that the sender has lost the path to.
        part_reports: Parts of prompts that servers answered when they crashed.
    """

    instance: str
    failure_domain: str
    incarnation: str
    configuration: int
    servers: int
    stopping: bool
    readers: tuple[Reader, ...]
    members: tuple[Member, ...]
    loads: tuple[Load, ...] = ()
    cached: tuple[CachedPrefix, ...] = ()
    demands: tuple[Demand, ...] = ()
    totals: tuple[Load, ...] = ()
    stage_changes: tuple[StageChange, ...] = ()
    chunk: TotalsChunk = TotalsChunk()
    crash_reports: tuple[CrashReport, ...] = ()
    leader: Leader | None = None
    server_limits: tuple[ServerLimit, ...] = ()
    cut_off_services: tuple[str, ...] = ()
    part_reports: tuple[CrashReport, ...] = ()
