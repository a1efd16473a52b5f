"""Requests, engines and instances of the fleet simulation in `fleet_world`."""

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
    server_speeds,
    wait_policy,
)
from pimentolatch.gateway import fleet_state
from pimentolatch.gateway.peers import cache_updates, load_exchange, speed_exchange
from pimentolatch.protocol import beacons
from pimentolatch.requests import prompts
from pimentolatch.routes import route_table, servers

SERVICE = "lm"
MS = datetime.timedelta(milliseconds=1)
_NO_TIME = datetime.timedelta()
TRAITS = route_table.EngineTraits(64, 497_579, datetime.timedelta(seconds=3))


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests of one route.

    Attributes:
        rate: Requests per second in the whole fleet.
        prefix_tokens: Mean size of the prefix that a session's prompts share; 0 for
            no shared prefix.
        sessions: Number of sessions, each of which sends requests again and again.
        suffix_tokens: Mean size of the part that only one prompt has.
        output_tokens: Tokens of each answer.
        rank: Priority rank; 0 is the highest.
        target_ms: Latency target of the first event.
        prefix_sigma: Standard deviation of the logarithm of the prefix sizes; 0 for
            prefixes of one size.
        suffix_sigma: The same for the suffixes; 0 for sizes that are uniformly
            distributed from 0.5 to 1.5 times the mean.
        deadline_s: Longest time that clients wait for an answer.
        retries: Whether clients retry once after a refusal or a time-out.
        route_rank: Rank of the route if `rank` is that of the customers; or None.
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
    route_rank: int | None = None


class Status(enum.Enum):
    """How a client's request ended."""

    SERVED = "served"
    LATE = "served late"
    REFUSED = "refused"
    LEFT = "left before its first event"


SERVED_STATUSES = (Status.SERVED, Status.LATE)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Status and prompt size, in tokens, of a request that has ended."""

    kind: str
    tokens: int
    status: Status


@dataclasses.dataclass(slots=True)
class Job:
    """A request in the simulation; times are in milliseconds.

    Attributes:
        arrived: When it arrived at its instance.
        lot: Uniform random number from 0 to 1, fixed for the request.
        original_arrival: When the client's first attempt arrived, if this is a retry.
        placement: Where it is placed, if its prefill is disaggregated.
        cost: Tokens that it counts for until its prefill ends.
        queued_ahead: Tokens queued ahead of it, as far as its instance knew.
        dispatched_at: When it was dispatched to its prefill engine.
        declined: Engines that declined it.
        large: It is large among the prompts of its kind that its instance has seen.
        prefilled: An engine has prefilled the prompt.
        finished: The client has its answer, or this attempt has ended without one.
        late: Its first event or a later one was late.
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
    late: bool = False

    @property
    def first_arrival(self) -> float:
        """When the client's first attempt arrived."""
        return self.arrived if self.original_arrival is None else self.original_arrival

    @property
    def timeout_ms(self) -> float:
        """Time from its arrival for which the client waits for the first event."""
        gap = wait_policy.client_timeout(self.kind.target_ms * MS, _NO_TIME) / MS
        return min(gap, self.first_arrival + 1000 * self.kind.deadline_s - self.arrived)


def draw_prompt(kind: RequestKind, number: int, rng: random.Random) -> prompts.Prompt:
    """Return a prompt of a kind; the prompts of a session share one prefix."""
    session = rng.randrange(max(1, kind.sessions))
    if kind.suffix_sigma:
        own = _log_normal(rng, kind.suffix_tokens, kind.suffix_sigma)
    else:
        own = max(1, round(kind.suffix_tokens * rng.uniform(0.5, 1.5)))
    parts = [prompts.Part(f"own-{number}", own)]
    if kind.prefix_tokens:
        name = f"{kind.name}-{session}"
        # Seeded with the session's name: all its prompts share one prefix size.
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
    """A period in which one kind of request arrives `factor` times as often."""

    kind: str
    begins_s: float
    ends_s: float
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Speeds:
    """Speeds of engines, in turn, and slow spells of each.

    Attributes:
        factors: Speed of each engine relative to the model's.
        slow_share: Share of the spells in which an engine is slow.
        slow_factor: By how much it is slower then.
        spell_ms: Length of a spell.
    """

    factors: tuple[float, ...] = (1.0,)
    slow_share: float = 0.0
    slow_factor: float = 1.0
    spell_ms: float = 600.0

    def of(self, number: int, now: float) -> float:
        """Return the speed of an engine at a time in milliseconds."""
        speed = self.factors[number % len(self.factors)]
        spell = random.Random(f"{number}/{now // self.spell_ms}").random()
        return speed / (self.slow_factor if spell < self.slow_share else 1.0)


class Engine:
    """An engine that prefills queued prompts in order of priority.

    Attributes:
        cached: Names of the prompt parts in its prefix cache.
        busy: Whether it is prefilling a prompt.
        changing: Whether it is changing its stage.
        streams: Number of streams that it decodes.
        busy_ms: Total time spent on prefill.
    """

    def __init__(self, server: servers.Server, number: int) -> None:
        self.server = server
        self.number = number
        self.queue: list[tuple[int, int, Instance, Job]] = []
        self.cached: set[str] = set()
        self.busy = False
        self.changing = False
        self.streams = 0
        self.busy_ms = 0.0

    @property
    def prefills(self) -> bool:
        """Whether the engine runs the prefill stage for other engines."""
        return self.server.stage is servers.Stage.PREFILL


class Instance:
    """One instance: its load counts and what it receives from peers."""

    def __init__(
        self,
        name: str,
        domain: str,
        listed: list[servers.Server],
        speed_ratio: float | None = server_speeds.DEFAULT_RATIO,
    ) -> None:
        self.name = name
        self.place = neighbours.Place(name, domain)
        self.fleet = fleet_state.FleetState(speed_ratio=speed_ratio)
        services = {SERVICE: route_table.Service(SERVICE, TRAITS)}
        limits = route_table.ClientLimits(1, 1, MS, MS)
        self.fleet.configure(route_table.Configuration(1, (), services, limits), None)
        self.fleet.replace_servers(1, listed)
        self.loads = self.fleet.loads(SERVICE)
        self.updates = cache_updates.CacheUpdates()
        self.load_exchange = load_exchange.LoadExchange(
            self.fleet, domain, self.updates
        )
        self.speed_exchange = speed_exchange.SpeedExchange(self.fleet, domain)
        self.placer = placement.Placement(self.loads, domain)
        self.demand = demand_rate.DemandRate()
        self.sizes = prompt_sizes.PromptSizes()
        self.neighbours = neighbours.Neighbours(())

    def beacon(self, now: datetime.timedelta, **fields: object) -> beacons.Beacon:
        """Return a beacon with this instance's load on engines."""
        domain = self.place.failure_domain
        head = (self.name, domain, "life", 1, 1, False, (), ())
        changing = self.load_exchange.changing(now)
        loads = self.load_exchange.own()
        named = {load.engine for load in (*loads, *fields.get("totals", ()))}
        speeds = self.speed_exchange.rows(
            SERVICE, named, now, of_domain="totals" in fields
        )
        demands = (beacons.Demand(SERVICE, 0, 0, 0, speeds),)
        return beacons.Beacon(
            *head, loads=loads, stage_changes=changing, demands=demands, **fields
        )


# Workload of a kiosk fleet with 195 instances and 39 engines: long briefings in
# sessions that return about twice, short drafts and checks.
KIOSK = (
    RequestKind("briefing", 51.5, 5382, 900, 6610, 42, 2, 823.0),
    RequestKind("draft", 81.0, 198, 200, 628, 32, 0, 609.0),
    RequestKind("check", 74.0, 568, 200, 1800, 3, 1, 1011.0),
)

# Workload of a fleet that drafts letters, with 84 instances and 70 engines: histories
# and offers of widely varying size, short notices. With empty prefix caches, prefilling
# it takes 58 engines.
LETTERS = (
    RequestKind("summary", 131.0, 13_300, 590, 3720, 10, 2, 663.0, 0.7, 1.1, 5.5, True),
    RequestKind("offer", 90.0, 6300, 400, 2890, 4, 1, 1045.0, 0.7, 1.0, 3.1, True),
    RequestKind("notice", 139.0, 350, 420, 1110, 14, 0, 1026.0, 0.7, 1.0, 6.2, True),
)

# Workload of an assistant whose customers all have the rank 1, with 59 instances and 45
# engines: digests that are long and soon due, chat replies, labels with time to spare.
ASSISTANT = (
    RequestKind("digest", 40.0, 5382, 841, 6610, 29, 1, 545.0, 0.7, 1.4, 10.9, True, 0),
    RequestKind("reply", 82.2, 198, 993, 628, 22, 1, 519.0, 0.7, 1.0, 8.3, True, 1),
    RequestKind("label", 83.3, 568, 1744, 1800, 2, 1, 2022.0, 0.7, 1.3, 2.5, True, 2),
)
