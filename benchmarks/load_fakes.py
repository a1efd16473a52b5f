"""Fake engines and callers on a virtual clock, to test the decisions under load.

An engine divides its time between prefill, in order of arrival, and decode for its
whole batch. Nothing here reads the wall clock or draws random numbers, so a run depends
only on its arrivals.
"""

import collections
import dataclasses
import datetime
import statistics
import typing

from pimentolatch import fleet, results
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
REPORT_INTERVAL_S = 1.0
UNITS_PER_SECOND = 8000.0
_OUTPUT_TOKEN_WORK = 8000.0 / 1200.0
CACHED_PREFIXES = 12
_SINGLE_STREAM_SPEEDUP = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request; `retries` is how often its caller retries it if refused or late."""

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
        """Work of the request, in prompt tokens."""
        return self.prompt_tokens + _OUTPUT_TOKEN_WORK * self.output_tokens


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of one attempt of a caller; times are seconds since it was sent."""

    arrival: Arrival
    sent_at: float
    first_token: float | None = None
    finished: float | None = None
    refused: float | None = None
    refusal: results.Refusal | None = None

    @property
    def good(self) -> bool:
        """Whether the answer was complete within its deadline."""
        return self.finished is not None and self.finished <= self.arrival.deadline_s


@dataclasses.dataclass(slots=True)
class _Stream:
    name: str
    prefill_left: float
    output_tokens: int
    generated: float = 0.0
    emitted: int = 0


class FakeEngine:
    """One engine; `speed` scales its prefill and decode rates."""

    def __init__(self, engine: schema.Engine) -> None:
        self.engine = engine
        self.speed = 1.0
        self.prefilled_tokens = 0.0
        self._batch: list[_Stream] = []
        self._waiting: collections.deque[_Stream] = collections.deque()
        self._cache: collections.OrderedDict[str, None] = collections.OrderedDict()

    def send(self, name: str, arrival: Arrival) -> None:
        prefill_left = float(arrival.prompt_tokens)
        if arrival.prefix:
            if arrival.prefix in self._cache:
                prefill_left = max(1.0, prefill_left - 0.9 * arrival.prompt_tokens)
            self._cache[arrival.prefix] = None
            self._cache.move_to_end(arrival.prefix)
            if len(self._cache) > CACHED_PREFIXES:
                self._cache.popitem(last=False)
        self._waiting.append(_Stream(name, prefill_left, arrival.output_tokens))

    def cancel(self, name: str) -> None:
        self._batch = [stream for stream in self._batch if stream.name != name]
        self._waiting = collections.deque(s for s in self._waiting if s.name != name)

    def step(self) -> list[tuple[str, int, bool]]:
        """Run one step; returns (request, new tokens, whether it ended)."""
        while self._waiting and len(self._batch) < self.engine.streams:
            self._batch.append(self._waiting.popleft())
        time = STEP_S * self.speed
        decoding = [stream for stream in self._batch if stream.prefill_left <= 0]
        time -= self._prefill(time / 2 if decoding else time)
        progress = self._decode(decoding, time)
        self._batch = [
            stream for stream in self._batch if stream.output_tokens > stream.emitted
        ]
        return progress

    def _prefill(self, time: float) -> float:
        rate = self.engine.prefill_tokens_per_s
        budget = time * rate
        for stream in self._batch:
            if stream.prefill_left > 0:
                done = min(stream.prefill_left, budget)
                stream.prefill_left -= done
                budget -= done
                self.prefilled_tokens += done
        return time - budget / rate

    def _decode(
        self, decoding: list[_Stream], time: float
    ) -> list[tuple[str, int, bool]]:
        if not decoding:
            return []
        rate = self.engine.decode_tokens_per_s
        single_stream_rate = _SINGLE_STREAM_SPEEDUP * rate / self.engine.streams
        each = time * min(rate / len(decoding), single_stream_rate)
        progress = []
        for stream in decoding:
            stream.generated += each
            new = min(int(stream.generated), stream.output_tokens) - stream.emitted
            if new:
                stream.emitted += new
                progress.append(
                    (stream.name, new, stream.emitted == stream.output_tokens)
                )
        return progress


def document(
    engines: int, callers: typing.Any = (), **changes: typing.Any
) -> typing.Any:
    """Return a fleet document with identical engines in one failure domain."""
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
    """Request handling of one instance."""

    def arrive(
        self, request: model_queues.Request, now: datetime.timedelta
    ) -> results.Refusal | None:
        """Admit a request, or return a refusal."""

    def schedule(
        self, now: datetime.timedelta
    ) -> tuple[list[dispatcher.Start], list[dispatcher.Expired]]:
        """Return the requests that start now, and those that expired in the queue."""

    def token(self, request_id: str, now: datetime.timedelta) -> None:
        """Record one received token of a request."""

    def end(self, request_id: str, length: int | None, now: datetime.timedelta) -> None:
        """Record the end of a stream.

        Args:
            request_id: The request.
            length: Tokens of a complete answer; None if the caller gave up.
            now: Current time.
        """


class Baseline:
    """Least connections, first come first served, without limits or refusals."""

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

    def schedule(
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
    """The dispatcher of `pimentolatch`."""

    def __init__(self, view: fleet.View, name: str) -> None:
        self._view = view
        self.decisions = dispatcher.Dispatcher(name, "hakodate")

    def arrive(
        self, request: model_queues.Request, now: datetime.timedelta
    ) -> results.Refusal | None:
        """See `Policy.arrive`."""
        answer = self.decisions.arrive(self._view, request, now)
        return answer if isinstance(answer, results.Refusal) else None

    def schedule(
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
    """Instances and their engines, with the outcomes of all requests."""

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
        self._last_exchange = 0.0
        if policy is Ours:
            for instance in self.policies:
                instance.decisions.set_instances(frozenset(names), instances)

    def submit(self, arrival: Arrival, now: float) -> list[Arrival]:
        """Send a request to an instance; returns the retry if it is refused."""
        number = len(self.outcomes)
        name = f"r{number}"
        outcome = Outcome(arrival, now)
        self.outcomes.append(outcome)
        instance = self.policies[number % len(self.policies)]
        start = arrival.prefix or name
        prompt = (start + "/").ljust(
            request_work.CHARACTERS_PER_TOKEN * arrival.prompt_tokens
        )
        if arrival.prefix:
            prompt = prompt[: -len(name)] + name
        request = model_queues.Request(
            name, arrival.caller, MODEL, prompt, 1000, _time(now + arrival.deadline_s)
        )
        self._ids[name] = outcome, instance
        refusal = instance.arrive(request, _time(now))
        return [] if refusal is None else self._record_refusal(name, refusal, now)

    def step(self, now: float) -> list[Arrival]:
        """Run instances and engines for one step; returns the retries it causes."""
        retries: list[Arrival] = []
        for instance in self.policies:
            started, expired = instance.schedule(_time(now))
            for item in expired:
                retries += self._record_refusal(item.request_id, item.refusal, now)
            for item in started:
                self._placed[item.request_id] = item.engine.name
                outcome, _ = self._ids[item.request_id]
                self.engines[item.engine.name].send(item.request_id, outcome.arrival)
        for engine in self.engines.values():
            for name, tokens, ended in engine.step():
                self._deliver(name, tokens, ended, now + STEP_S)
        retries += self._expire(now)
        self._exchange_reports(now)
        return retries

    def _deliver(self, name: str, tokens: int, ended: bool, now: float) -> None:
        outcome, instance = self._ids[name]
        if outcome.first_token is None:
            outcome.first_token = now - outcome.sent_at
        for _ in range(tokens):
            instance.token(name, _time(now))
        if ended:
            outcome.finished = now - outcome.sent_at
            instance.end(name, outcome.arrival.output_tokens, _time(now))
            del self._ids[name]

    def _record_refusal(
        self, name: str, refusal: results.Refusal, now: float
    ) -> list[Arrival]:
        outcome, _ = self._ids.pop(name)
        outcome.refused, outcome.refusal = now - outcome.sent_at, refusal
        wait = refusal.retry_after
        return [] if wait is None else _retry(outcome, now + wait.total_seconds())

    def _expire(self, now: float) -> list[Arrival]:
        retries: list[Arrival] = []
        for name, (outcome, instance) in list(self._ids.items()):
            if now - outcome.sent_at > outcome.arrival.deadline_s:
                if name in self._placed:
                    self.engines[self._placed[name]].cancel(name)
                instance.end(name, None, _time(now))
                del self._ids[name]
                retries += _retry(outcome, now)
        return retries

    def _exchange_reports(self, now: float) -> None:
        if now - self._last_exchange < REPORT_INTERVAL_S or not isinstance(
            self.policies[0], Ours
        ):
            return
        self._last_exchange = now
        reports = [instance.decisions.shares(_time(now)) for instance in self.policies]
        for number, instance in enumerate(self.policies):
            for other, report in enumerate(reports):
                if other != number:
                    instance.decisions.peers.update(
                        f"entry-{other}", report, _time(now)
                    )


def run(
    fakes: Fleet,
    arrivals: typing.Iterable[Arrival],
    until: float,
    speeds: dict[str, float] | None = None,
) -> list[Outcome]:
    """Run a load until a time; `speeds` sets speed factors of engines by name."""
    for name, speed in (speeds or {}).items():
        fakes.engines[name].speed = speed
    pending = sorted(arrivals, key=lambda arrival: arrival.at, reverse=True)
    for number in range(round(until / STEP_S)):
        now = number * STEP_S
        retries: list[Arrival] = []
        while pending and pending[-1].at <= now:
            retries += fakes.submit(pending.pop(), now)
        retries += fakes.step(now)
        if retries:
            pending = sorted(pending + retries, key=lambda a: a.at, reverse=True)
    return fakes.outcomes


def percentile(values: list[float], share: float) -> float:
    """Return the percentile at a share from 0 to 1; 0 without values."""
    if len(values) < 2:
        return values[0] if values else 0.0
    return statistics.quantiles(values, n=100, method="inclusive")[
        round(share * 100) - 1
    ]


def _retry(outcome: Outcome, at: float) -> list[Arrival]:
    arrival = outcome.arrival
    if arrival.retries <= 0:
        return []
    return [dataclasses.replace(arrival, at=at, retries=arrival.retries - 1)]


def _time(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)
