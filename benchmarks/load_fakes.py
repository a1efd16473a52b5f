"""Fake engines and callers on a virtual clock, for the decisions under load.

An engine shares its time between reading prompts, in order, and writing tokens for its
whole batch. Nothing here takes wall time or randomness of its own, so a run depends
only on its arrivals.
"""

import collections
import dataclasses
import datetime
import statistics
import typing

from pimentolatch import (
    fleet,
    results,
)
from pimentolatch.backend import outcomes
from pimentolatch.decisions import (
    dispatcher,
    model_queues,
    outstanding_work,
    request_work,
)
from pimentolatch.document import schema

__all__ = ["Arrival", "Baseline", "Fleet", "Outcome", "Ours", "document", "run"]

MODEL = "badge-draft"
STEP_S = 0.02
SHARES_EVERY_S = 1.0
UNITS_PER_SECOND = 8000.0
_WEIGHT = 8000.0 / 1200.0
CACHED_PREFIXES = 12
_LONE_STREAM_SPEED = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request; `retries` is how often its caller asks again, refused or late."""

    at: float
    caller: str
    kind: str
    prompt_tokens: int
    output_tokens: int
    deadline_s: float
    prefix: str = ""
    retries: int = 0

    @property
    def units(self) -> float:
        """Work in prompt tokens."""
        return self.prompt_tokens + _WEIGHT * self.output_tokens


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a caller received for one try; times are seconds since it asked."""

    arrival: Arrival
    asked: float
    first_token: float | None = None
    finished: float | None = None
    refused: float | None = None
    refusal: results.Refusal | None = None

    @property
    def good(self) -> bool:
        """Whether the answer was whole within its deadline."""
        return self.finished is not None and self.finished <= self.arrival.deadline_s


@dataclasses.dataclass(slots=True)
class _Stream:
    name: str
    unread: float
    left: int
    written: float = 0.0
    told: int = 0


class FakeEngine:
    """One engine; `speed` scales all it does."""

    def __init__(self, engine: schema.Engine) -> None:
        self.engine = engine
        self.speed = 1.0
        self.read_tokens = 0.0
        self._batch: list[_Stream] = []
        self._waiting: collections.deque[_Stream] = collections.deque()
        self._cache: collections.OrderedDict[str, None] = collections.OrderedDict()

    def send(self, name: str, arrival: Arrival) -> None:
        unread = float(arrival.prompt_tokens)
        if arrival.prefix:
            if arrival.prefix in self._cache:
                unread = max(1.0, unread - 0.9 * arrival.prompt_tokens)
            self._cache[arrival.prefix] = None
            self._cache.move_to_end(arrival.prefix)
            if len(self._cache) > CACHED_PREFIXES:
                self._cache.popitem(last=False)
        self._waiting.append(_Stream(name, unread, arrival.output_tokens))

    def cancel(self, name: str) -> None:
        self._batch = [stream for stream in self._batch if stream.name != name]
        self._waiting = collections.deque(s for s in self._waiting if s.name != name)

    def step(self) -> list[tuple[str, int, bool]]:
        """Run for one step; returns (request, new tokens, whether it ended)."""
        while self._waiting and len(self._batch) < self.engine.streams:
            self._batch.append(self._waiting.popleft())
        time = STEP_S * self.speed
        writing = [stream for stream in self._batch if stream.unread <= 0]
        time -= self._read(time / 2 if writing else time)
        news = self._write(writing, time)
        self._batch = [stream for stream in self._batch if stream.left > stream.told]
        return news

    def _read(self, time: float) -> float:
        rate = self.engine.prefill_tokens_per_s
        budget = time * rate
        for stream in self._batch:
            if stream.unread > 0:
                done = min(stream.unread, budget)
                stream.unread -= done
                budget -= done
                self.read_tokens += done
        return time - budget / rate

    def _write(
        self, writing: list[_Stream], time: float
    ) -> list[tuple[str, int, bool]]:
        if not writing:
            return []
        rate = self.engine.decode_tokens_per_s
        alone = _LONE_STREAM_SPEED * rate / self.engine.streams
        each = time * min(rate / len(writing), alone)
        news = []
        for stream in writing:
            stream.written += each
            new = min(int(stream.written), stream.left) - stream.told
            if new:
                stream.told += new
                news.append((stream.name, new, stream.told == stream.left))
        return news


def document(
    engines: int, callers: typing.Any = (), **changes: typing.Any
) -> typing.Any:
    """Return a fleet document of equal engines in one failure domain."""
    servers = [
        {
            "kind": "engine",
            "name": f"engine-{number}",
            "failure_domain": "hakodate",
            "address": {"host": "192.0.2.1", "port": 1000 + number},
            "checks_fencing": True,
            "models": [MODEL],
        }
        for number in range(engines)
    ]
    return schema.FleetDocument.model_validate(
        {
            "fleet": "kitaguni",
            "failure_domains": [{"name": "hakodate", "region": "hokkaido"}],
            "models": [{"name": MODEL}],
            "backend_servers": servers,
            "callers": callers,
        }
        | changes
    )


class Policy(typing.Protocol):
    """What one instance does with its requests."""

    def arrive(
        self, request: model_queues.Request, now: datetime.timedelta
    ) -> results.Refusal | None:
        """Take a request, or refuse it."""

    def move(
        self, now: datetime.timedelta
    ) -> tuple[list[dispatcher.Start], list[dispatcher.Expired]]:
        """Return what starts now, and what is given up."""

    def token(self, request_id: str, now: datetime.timedelta) -> None:
        """Count one token of a request as received."""

    def end(self, request_id: str, length: int | None, now: datetime.timedelta) -> None:
        """The stream ended whole, or (None) its caller went away."""


class Baseline:
    """Least connections, first come, first served, no limits, no refusals."""

    def __init__(self, view: fleet.View, name: str) -> None:
        self._view = view
        self._work = outstanding_work.OutstandingWork()
        self._new: list[str] = []
        self._sent: dict[str, str] = {}

    def arrive(
        self, request: model_queues.Request, now: datetime.timedelta
    ) -> results.Refusal | None:
        """See `Policy.arrive`."""
        self._new.append(request.request_id)
        return None

    def move(
        self, now: datetime.timedelta
    ) -> tuple[list[dispatcher.Start], list[dispatcher.Expired]]:
        """See `Policy.move`."""
        started: list[dispatcher.Start] = []
        document = self._view.document
        assert document is not None
        for request_id in self._new:
            engine = min(
                document.engines,
                key=lambda one: (self._work.requests(one.name), one.name),
            )
            self._work.begin(engine.name)
            self._sent[request_id] = engine.name
            started.append(dispatcher.Start(request_id, engine))
        self._new = []
        return started, []

    def token(self, request_id: str, now: datetime.timedelta) -> None:
        """See `Policy.token`."""

    def end(self, request_id: str, length: int | None, now: datetime.timedelta) -> None:
        """See `Policy.end`."""
        if engine := self._sent.pop(request_id, None):
            self._work.end(engine)


class Ours:
    """The decisions of `pimentolatch`."""

    def __init__(self, view: fleet.View, name: str) -> None:
        self._view = view
        self.decisions = dispatcher.Dispatcher(name, "hakodate")

    def arrive(
        self, request: model_queues.Request, now: datetime.timedelta
    ) -> results.Refusal | None:
        """See `Policy.arrive`."""
        answer = self.decisions.arrive(self._view, request, now)
        return answer if isinstance(answer, results.Refusal) else None

    def move(
        self, now: datetime.timedelta
    ) -> tuple[list[dispatcher.Start], list[dispatcher.Expired]]:
        """See `Policy.move`."""
        expired = self.decisions.expire(now)
        return self.decisions.start(self._view, now), expired

    def token(self, request_id: str, now: datetime.timedelta) -> None:
        """See `Policy.token`."""
        self.decisions.token(request_id, now)

    def end(self, request_id: str, length: int | None, now: datetime.timedelta) -> None:
        """See `Policy.end`."""
        outcome = None if length is None else outcomes.Finished(length)
        self.decisions.ended(request_id, outcome, now)
        self.decisions.leave(request_id, now)


class Fleet:
    """Instances before engines, and what their callers received."""

    def __init__(
        self, chosen: schema.FleetDocument, policy: typing.Any, instances: int = 1
    ) -> None:
        view = fleet.View(fleet.Configuration(1, "", chosen))
        self.engines = {e.name: FakeEngine(e) for e in chosen.engines}
        names = [f"entry-{number}" for number in range(instances)]
        self.policies = [policy(view, name) for name in names]
        self.outcomes: list[Outcome] = []
        self._ids: dict[str, tuple[Outcome, typing.Any]] = {}
        self._placed: dict[str, str] = {}
        self._shared = 0.0
        if policy is Ours:
            for own in self.policies:
                own.decisions.set_instances(frozenset(names), instances)

    def ask(self, arrival: Arrival, now: float) -> list[Arrival]:
        """Let a caller ask; returns what it asks later because it was refused."""
        number = len(self.outcomes)
        name = f"r{number}"
        outcome = Outcome(arrival, now)
        self.outcomes.append(outcome)
        own = self.policies[number % len(self.policies)]
        start = arrival.prefix or name
        prompt = (start + "/").ljust(
            request_work.CHARACTERS_PER_TOKEN * arrival.prompt_tokens
        )
        if arrival.prefix:
            prompt = prompt[: -len(name)] + name
        request = model_queues.Request(
            name, arrival.caller, MODEL, prompt, 1000, _time(now + arrival.deadline_s)
        )
        self._ids[name] = outcome, own
        refusal = own.arrive(request, _time(now))
        return [] if refusal is None else self._refused(name, refusal, now)

    def step(self, now: float) -> list[Arrival]:
        """Run everything for one step; returns what is asked again later."""
        again: list[Arrival] = []
        for own in self.policies:
            started, expired = own.move(_time(now))
            for item in expired:
                again += self._refused(item.request_id, item.refusal, now)
            for item in started:
                self._placed[item.request_id] = item.engine.name
                outcome, _ = self._ids[item.request_id]
                self.engines[item.engine.name].send(item.request_id, outcome.arrival)
        for engine in self.engines.values():
            for name, tokens, ended in engine.step():
                self._told(name, tokens, ended, now + STEP_S)
        again += self._given_up(now)
        self._share(now)
        return again

    def _told(self, name: str, tokens: int, ended: bool, now: float) -> None:
        outcome, own = self._ids[name]
        if outcome.first_token is None:
            outcome.first_token = now - outcome.asked
        for _ in range(tokens):
            own.token(name, _time(now))
        if ended:
            outcome.finished = now - outcome.asked
            own.end(name, outcome.arrival.output_tokens, _time(now))
            del self._ids[name]

    def _refused(
        self, name: str, refusal: results.Refusal, now: float
    ) -> list[Arrival]:
        outcome, _ = self._ids.pop(name)
        outcome.refused, outcome.refusal = now - outcome.asked, refusal
        wait = refusal.retry_after
        return [] if wait is None else _again(outcome, now + wait.total_seconds())

    def _given_up(self, now: float) -> list[Arrival]:
        again: list[Arrival] = []
        for name, (outcome, own) in list(self._ids.items()):
            if now - outcome.asked > outcome.arrival.deadline_s:
                if name in self._placed:
                    self.engines[self._placed[name]].cancel(name)
                own.end(name, None, _time(now))
                del self._ids[name]
                again += _again(outcome, now)
        return again

    def _share(self, now: float) -> None:
        if now - self._shared < SHARES_EVERY_S or not isinstance(
            self.policies[0], Ours
        ):
            return
        self._shared = now
        told = [own.decisions.shares(_time(now)) for own in self.policies]
        for number, own in enumerate(self.policies):
            for other, share in enumerate(told):
                if other != number:
                    own.decisions.peers.update(f"entry-{other}", share, _time(now))


def run(
    fakes: Fleet,
    arrivals: typing.Iterable[Arrival],
    until: float,
    speeds: dict[str, float] | None = None,
) -> list[Outcome]:
    """Run a load to a time; `speeds` slows engines from the start."""
    for name, speed in (speeds or {}).items():
        fakes.engines[name].speed = speed
    coming = sorted(arrivals, key=lambda arrival: arrival.at, reverse=True)
    for number in range(round(until / STEP_S)):
        now = number * STEP_S
        again: list[Arrival] = []
        while coming and coming[-1].at <= now:
            again += fakes.ask(coming.pop(), now)
        again += fakes.step(now)
        if again:
            coming = sorted(coming + again, key=lambda a: a.at, reverse=True)
    return fakes.outcomes


def percentile(values: list[float], share: float) -> float:
    """Return a percentile, 0 for no values."""
    if len(values) < 2:
        return values[0] if values else 0.0
    return statistics.quantiles(values, n=100, method="inclusive")[
        round(share * 100) - 1
    ]


def _again(outcome: Outcome, at: float) -> list[Arrival]:
    arrival = outcome.arrival
    if arrival.retries <= 0:
        return []
    return [dataclasses.replace(arrival, at=at, retries=arrival.retries - 1)]


def _time(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)
