"""Prompts, engines and instances of a fleet that is replayed without a network."""

import dataclasses
import datetime
import enum
import math
import random

from pimentolatch.decisions import (
    demand_rate,
    neighbours,
    placement,
    placement_types,
    prompt_sizes,
    wait_policy,
)
from pimentolatch.gateway import cache_updates, fleet_state, load_exchange
from pimentolatch.protocol import beacons
from pimentolatch.requests import prompts
from pimentolatch.routes import route_table, servers

SERVICE = "lm"
MS = datetime.timedelta(milliseconds=1)
_NO_TIME = datetime.timedelta()
TRAITS = route_table.EngineTraits(64, 497_579, datetime.timedelta(seconds=3))


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """Prompts of one route.

    Attributes:
        rate: Prompts a second in the whole fleet.
        shared: Tokens of the part that a session shares, as a mean; 0 for none.
        sessions: Sessions that are asked for over and over.
        own: Tokens of each prompt's own part, as a mean.
        shared_sigma: Spread of the shared parts' sizes, as the standard deviation of
            their logarithm; 0 for parts of one size.
        own_sigma: The same of the own parts; 0 for sizes drawn evenly within half of
            the mean.
        deadline_s: Clients wait no longer than this for an answer.
        returns: Whether clients come back once when they are refused.
    """

    name: str
    rate: float
    prefix_tokens: int
    sessions: int
    suffix_tokens: int
    output_tokens: int
    rank: int
    target_ms: float
    prefix_sigma: float = 0.0
    suffix_sigma: float = 0.0
    deadline_s: float = 10.0
    retries: bool = False


class Status(enum.Enum):
    """What became of a client's request."""

    SERVED = "served"
    LATE = "served late"
    REFUSED = "refused"
    LEFT = "left before its first event"


SERVED_STATUSES = (Status.SERVED, Status.LATE)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a request, its size in tokens."""

    kind: str
    tokens: int
    status: Status


@dataclasses.dataclass(slots=True)
class Job:
    """A prompt on its way through the fleet.

    Attributes:
        cost: Tokens that it counts for while it is read.
        ahead: Tokens that were to be read before it, as far as was known.
        declined: Engines that did not take it.
        first_asked: When its client asked first, if it has come back after a refusal.
        large: It is large among the prompts of its kind that its instance has seen.
        prefilled: An engine has prefilled the prompt.
        over: Its client has its answer, or has left.
    """

    kind: RequestKind
    prompt: prompts.Prompt
    arrived: float
    lot: float
    original_arrival: float | None = None
    placement: placement_types.Disaggregated | None = None
    cost: float = 0.0
    queued_ahead: float = 0.0
    dispatched_at: float = 0.0
    declined: set[servers.Incarnation] = dataclasses.field(default_factory=set)
    large: bool = False
    prefilled: bool = False
    finished: bool = False

    @property
    def first_arrival(self) -> float:
        """When its client asked first."""
        return self.arrived if self.original_arrival is None else self.original_arrival

    @property
    def timeout_ms(self) -> float:
        """How long from its arrival its client waits for a first event."""
        gap = wait_policy.client_timeout(self.kind.target_ms * MS, _NO_TIME) / MS
        return min(gap, self.first_arrival + 1000 * self.kind.deadline_s - self.arrived)


def draw_prompt(kind: RequestKind, number: int, rng: random.Random) -> prompts.Prompt:
    """Return a prompt of a kind; prompts of one session share a part of one size."""
    session = rng.randrange(max(1, kind.sessions))
    if kind.suffix_sigma:
        own = _log_normal(rng, kind.suffix_tokens, kind.suffix_sigma)
    else:
        own = max(1, round(kind.suffix_tokens * rng.uniform(0.5, 1.5)))
    parts = [prompts.Part(f"own-{number}", own)]
    if kind.prefix_tokens:
        name = f"{kind.name}-{session}"
        # Drawn by the session's name, so that all its prompts agree on the size.
        size_rng = random.Random(name)
        shared = _log_normal(size_rng, kind.prefix_tokens, kind.prefix_sigma)
        parts.insert(0, prompts.Part(name, shared))
    total = sum(part.tokens for part in parts)
    return prompts.Prompt(
        "m", total, kind.output_tokens, kind.output_tokens, tuple(parts)
    )


def _log_normal(rng: random.Random, mean: float, sigma: float) -> int:
    location = math.log(mean) - sigma**2 / 2
    return max(1, round(rng.lognormvariate(location, sigma)))


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
        self.cached: set[str] = set()
        self.busy = False
        self.changing = False
        self.streams = 0
        self.busy_ms = 0.0

    @property
    def prefills(self) -> bool:
        """Whether the engine reads prompts for others."""
        return self.server.stage is servers.Stage.PREFILL


class Instance:
    """One instance: its counts, and what it hears."""

    def __init__(self, name: str, domain: str, listed: list[servers.Server]) -> None:
        self.name = name
        self.place = neighbours.Place(name, domain)
        self.fleet = fleet_state.FleetState()
        services = {SERVICE: route_table.Service(SERVICE, TRAITS)}
        limits = route_table.ClientLimits(1, 1, MS, MS)
        self.fleet.configure(route_table.Configuration(1, (), services, limits), None)
        self.fleet.replace_servers(1, listed)
        self.loads = self.fleet.loads(SERVICE)
        self.updates = cache_updates.CacheUpdates()
        self.load_exchange = load_exchange.LoadExchange(
            self.fleet, domain, self.updates
        )
        self.placer = placement.Placement(self.loads, domain)
        self.demand = demand_rate.DemandRate()
        self.sizes = prompt_sizes.PromptSizes()
        self.neighbours = neighbours.Neighbours(())

    def beacon(self, now: datetime.timedelta, **fields: object) -> beacons.Beacon:
        """Return what this instance tells of engines."""
        domain = self.place.failure_domain
        head = (self.name, domain, "life", 1, 1, False, (), ())
        changing = self.load_exchange.changing(now)
        return beacons.Beacon(
            *head, loads=self.load_exchange.own(), stage_changes=changing, **fields
        )


# The mix of a kiosk fleet of 195 instances before 39 engines: long briefings in
# sessions that come back about twice, short drafts and checks.
KIOSK = (
    RequestKind("briefing", 51.5, 5382, 900, 6610, 42, 2, 823.0),
    RequestKind("draft", 81.0, 198, 200, 628, 32, 0, 609.0),
    RequestKind("check", 74.0, 568, 200, 1800, 3, 1, 1011.0),
)

# The mix of a fleet that drafts letters, 84 instances before 70 engines: histories and
# offers whose sizes spread widely, short notices. While nothing is kept, it takes 58
# engines to prefill them.
LETTERS = (
    RequestKind("summary", 131.0, 13_300, 590, 3720, 10, 2, 663.0, 0.7, 1.1, 5.5, True),
    RequestKind("offer", 90.0, 6300, 400, 2890, 4, 1, 1045.0, 0.7, 1.0, 3.1, True),
    RequestKind("notice", 139.0, 350, 420, 1110, 14, 0, 1026.0, 0.7, 1.0, 6.2, True),
)
