"""Prompts, engines and instances of a fleet that is replayed without a network."""

import dataclasses
import datetime

from pimentolatch.decisions import demand_rate, neighbours, placement, places
from pimentolatch.gateway import cache_updates, knowledge, peer_work
from pimentolatch.protocol import beacons
from pimentolatch.requests import prompts
from pimentolatch.routes import servers, table

SERVICE = "lm"
MS = datetime.timedelta(milliseconds=1)
TRAITS = table.EngineTraits(64, 497_579, datetime.timedelta(seconds=3))


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Prompts of one route.

    Attributes:
        rate: Prompts a second in the whole fleet.
        shared: Tokens of the part that a session shares; 0 for none.
        sessions: Sessions that are asked for over and over.
        own: Tokens of each prompt's own part, as a mean.
    """

    name: str
    rate: float
    shared: int
    sessions: int
    own: int
    output: int
    rank: int
    target_ms: float


@dataclasses.dataclass(slots=True)
class Job:
    """A prompt on its way through the fleet.

    Attributes:
        cost: Tokens that it counts for while it is read.
        ahead: Tokens that were to be read before it, as far as was known.
        declined: Engines that did not take it.
    """

    kind: Kind
    prompt: prompts.Prompt
    arrived: float
    lot: float
    place: places.Apart | None = None
    cost: float = 0.0
    ahead: float = 0.0
    sent: float = 0.0
    declined: set[servers.Incarnation] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """A time in which one kind of prompts comes more or less often."""

    kind: str
    begins_s: float
    ends_s: float
    factor: float


class Engine:
    """A queue that reads prompts, the most urgent first."""

    def __init__(self, server: servers.Server) -> None:
        self.server = server
        self.queue: list[tuple[int, int, Instance, Job]] = []
        self.kept: set[str] = set()
        self.busy = False
        self.changing = False
        self.writing = 0
        self.worked_ms = 0.0

    @property
    def reads(self) -> bool:
        """Whether the engine reads prompts for others."""
        return self.server.stage is servers.Stage.PREFILL


class Instance:
    """One instance: its counts, and what it hears."""

    def __init__(self, name: str, domain: str, listed: list[servers.Server]) -> None:
        self.name = name
        self.place = neighbours.Place(name, domain)
        self.known = knowledge.Knowledge()
        services = {SERVICE: table.Service(SERVICE, TRAITS)}
        limits = table.ClientLimits(1, 1, MS, MS)
        self.known.configure(table.Configuration(1, (), services, limits), None)
        self.known.list_servers(1, listed)
        self.loads = self.known.loads(SERVICE)
        self.updates = cache_updates.CacheUpdates()
        self.work = peer_work.PeerWork(self.known, domain, self.updates)
        self.chooser = placement.Placement(self.loads, domain)
        self.demand = demand_rate.DemandRate()
        self.told = neighbours.Neighbours(())

    def beacon(self, now: datetime.timedelta, **fields: object) -> beacons.Beacon:
        """Return what this instance tells of engines."""
        domain = self.place.failure_domain
        head = (self.name, domain, "life", 1, 1, False, (), ())
        changing = self.work.changing(now)
        return beacons.Beacon(*head, loads=self.work.own(), changing=changing, **fields)


# The mix of a kiosk fleet of 195 instances before 39 engines: long briefings in
# sessions that come back about twice, short drafts and checks.
KIOSK = (
    Kind("briefing", 51.5, 5382, 900, 6610, 42, 2, 823.0),
    Kind("draft", 81.0, 198, 200, 628, 32, 0, 609.0),
    Kind("check", 74.0, 568, 200, 1800, 3, 1, 1011.0),
)
