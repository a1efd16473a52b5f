"""Discrete-event simulation of a whole fleet, without a network.

Each instance has its own load counts and learns of the other instances' work from
beacons, which arrive with a latency. Engines are queues that prefill prompts at a
fixed rate. All decisions are made by the product's own modules.
"""

import collections
import dataclasses
import datetime
import heapq
import itertools
import random
from collections import abc

from pimentolatch import settings
from pimentolatch.decisions import (
    engine_loads,
    neighbours,
    placement_types,
    prompt_sizes,
    server_speeds,
    stage_plan,
    wait_policy,
)
from pimentolatch.protocol import beacons
from pimentolatch.requests import prompts
from pimentolatch.routes import servers
from tests.support import fleet_parts

# Model of a prefill engine: prefill rate, overhead per prompt in which the engine is
# busy, and delay of the response after the prefill. Typical of current engines.
PREFILL_TOKENS_PER_MS = 56.6
PREFILL_OVERHEAD_MS = 4.0
PREFILL_RESPONSE_MS = 16.0
# Time from the end of the prefill to the first event, and time per output token.
FIRST_EVENT_MS = 40.0
TOKEN_GAP_MS = 6.0
NEAR_LATENCY_MS = 1.0
FAR_LATENCY_MS = 1.4
BEACON_INTERVAL_MS = 400.0
FAR_BEACON_EVERY = 2
PLAN_INTERVAL_MS = 500.0
LIST_LAG_MS = 600.0
NO_ENGINE_RETRY = datetime.timedelta(milliseconds=500)
# Clients wait for the time in the refusal, up to this share of the time that is left
# to their deadline.
MAX_WAIT_SHARE = 1 / 3
# Clients retry this long after they gave up a stream.
TIMEOUT_RETRY_MS = 50.0
# Gap between the events of a stream, and the longest that clients accept.
EVENT_GAP_MS = 40.0
EVENT_GAP_TARGET_MS = 250.0
# The same where the engines' speeds are part of the replay: a dozen tokens an event,
# longer for each other stream.
UNEVEN_GAP_MS = 62.0
GAP_PER_STREAM = 0.007
UNEVEN_GAP_TARGET_MS = 200.0
TOKENS_PER_EVENT = 12


class FleetSimulation:
    """Instances that dispatch arriving prompts to engines.

    Args:
        domains: Number of failure domains.
        instances: Number of instances in each failure domain.
        engines: Number of engines in the fleet.
        prefill_engines: How many of the engines prefill; the others decode.
        seed: Seed for arrivals, prompts and the receivers of beacons.
        speeds: Speeds of the engines; by default all are equal and steady.
        speed_ratio: Setting of the instances from which speeds count.
    """

    def __init__(
        self,
        domains: int,
        instances: int,
        engines: int,
        prefill_engines: int,
        seed: int,
        speeds: fleet_parts.Speeds | None = None,
        speed_ratio: float | None = server_speeds.DEFAULT_RATIO,
    ) -> None:
        self._speeds = speeds
        self.random = random.Random(seed)
        self.now = 0.0
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.names = [f"d{n}" for n in range(domains)]
        listed = [self._server(n, n < prefill_engines) for n in range(engines)]
        self.engines = {
            server.server_id: fleet_parts.Engine(server, number)
            for number, server in enumerate(listed)
        }
        self.instances = {
            f"{domain}-{n}": fleet_parts.Instance(
                f"{domain}-{n}", domain, listed, speed_ratio
            )
            for domain in self.names
            for n in range(instances)
        }
        self._weight = 1.0
        # Instances that no beacon reaches.
        self.deaf: set[str] = set()
        self._choose_neighbours(instances)
        self.late: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.done: collections.Counter[str] = collections.Counter()
        self.late_answers = 0
        self.first_event_times: list[tuple[float, float]] = []
        self.outcomes: list[fleet_parts.Outcome] = []
        self.prefilled_tokens = 0
        self.repeated_tokens = 0
        self.stage_changes: list[tuple[float, stage_plan.Change]] = []
        self._ever_prefilled: set[str] = set()
        self._planner = stage_plan.StagePlanner()
        self._revision = 1
        self._bursts: abc.Sequence[fleet_parts.Burst] = ()

    def _server(self, number: int, prefills: bool) -> servers.Server:
        stage = servers.Stage.PREFILL if prefills else servers.Stage.DECODE
        address = settings.Address.from_text(f"10.0.0.{number}:80")
        domain = self.names[number % len(self.names)]
        name = f"engine-{number:02}"
        return servers.Server(
            name, fleet_parts.SERVICE, address, domain, False, stage, 64
        )

    def _choose_neighbours(self, instances: int) -> None:
        places = [instance.place for instance in self.instances.values()]
        for instance in self.instances.values():
            others = [place for place in places if place != instance.place]
            instance.neighbours = neighbours.choose(instance.place, others)
            instance.load_exchange.partial_view = bool(instance.neighbours.far)
            instance.loads.partial_view = instance.load_exchange.partial_view
            near = [neighbours.Place(h, "d") for h in instance.neighbours.near]
            linked = [neighbours.Place(str(n), "d") for n in range(instances - 1)]
            self._weight = neighbours.domain_weights(linked, near).get("d", 1.0)

    def schedule(self, when: float, call: abc.Callable[[], None]) -> None:
        """Schedule a call at a simulated time in milliseconds."""
        heapq.heappush(self._events, (when, next(self._numbers), call))

    def run(
        self,
        kinds: abc.Sequence[fleet_parts.RequestKind],
        seconds: float,
        bursts: abc.Sequence[fleet_parts.Burst] = (),
        *,
        plan_stages: bool = False,
    ) -> None:
        """Simulate arrivals for a time, then run until no events are left.

        Args:
            kinds: Kinds of requests that arrive.
            seconds: Time in which requests arrive.
            bursts: Periods in which a kind arrives at another rate.
            plan_stages: Whether the first instance plans changes of engines' stages.
        """
        self._bursts = bursts
        until = 1000 * seconds
        if plan_stages:
            self.schedule(PLAN_INTERVAL_MS, lambda: self._plan(until))
        for kind in kinds:
            self._arrive(kind, until)
        for instance in self.instances.values():
            first = self.random.uniform(0, BEACON_INTERVAL_MS)
            self.schedule(first, lambda i=instance: self._send_beacons(i, 0, until))
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            call()

    @property
    def time(self) -> datetime.timedelta:
        """Simulated time as the decision modules expect it."""
        return datetime.timedelta(seconds=100) + self.now * fleet_parts.MS

    def _arrive(self, kind: fleet_parts.RequestKind, until: float) -> None:
        rate = kind.rate
        for burst in self._bursts:
            now_s = self.now / 1000
            if burst.kind == kind.name and burst.begins_s <= now_s < burst.ends_s:
                rate *= burst.factor
        when = self.now + self.random.expovariate(rate) * 1000
        if when < until:
            self.schedule(when, lambda: self._receive(kind, until))

    def _receive(self, kind: fleet_parts.RequestKind, until: float) -> None:
        self._arrive(kind, until)
        self.submit(self.random.choice(list(self.instances.values())), kind)

    def submit(
        self, instance: fleet_parts.Instance, kind: fleet_parts.RequestKind
    ) -> None:
        """Send a request of a kind to an instance now."""
        number = next(self._numbers)
        prompt = fleet_parts.draw_prompt(kind, number, self.random)
        self._start_job(instance, kind, prompt, self.random.random())

    def _start_job(
        self,
        instance: fleet_parts.Instance,
        kind: fleet_parts.RequestKind,
        prompt: prompts.Prompt,
        lot: float,
        original_arrival: float | None = None,
    ) -> None:
        job = fleet_parts.Job(kind, prompt, self.now, lot, original_arrival)
        size = instance.sizes.classify(kind.name, prompt.tokens)
        job.large = size is not prompt_sizes.SizeClass.REST
        timeout_at = self.now + job.timeout_ms
        self.schedule(timeout_at, lambda: self._time_out(job))
        expires_at = (
            wait_policy.refusal_time(timeout_at * fleet_parts.MS) / fleet_parts.MS
        )
        self.schedule(max(self.now, expires_at), lambda: self._expire(job))
        self._dispatch(instance, job)

    def _time_out(self, job: fleet_parts.Job) -> None:
        """Have the client give up if it has received no event."""
        if job.finished:
            return
        self._release_prefill_tokens(job)
        if not self._schedule_retry(job, TIMEOUT_RETRY_MS):
            self._finish(job, fleet_parts.Status.LEFT)

    def _expire(self, job: fleet_parts.Job) -> None:
        """Refuse the request if its prompt is not prefilled yet."""
        if job.finished or job.prefilled:
            return
        self._release_prefill_tokens(job)
        self._refuse(job, wait_policy.retry_after(job.lot))

    def _release_prefill_tokens(self, job: fleet_parts.Job) -> None:
        if job.placement is not None:
            job.placement.prefill_engine.prefill_tokens[job.placement.level] -= job.cost
            job.cost = 0.0

    def _finish(self, job: fleet_parts.Job, status: fleet_parts.Status) -> None:
        job.finished = True
        self.outcomes.append(
            fleet_parts.Outcome(job.kind.name, job.prompt.tokens, status)
        )

    def _refuse(self, job: fleet_parts.Job, retry_after: datetime.timedelta) -> None:
        """Refuse a request; its client may retry."""
        self.refused[job.kind.name] += 1
        if not self._schedule_retry(job, retry_after / fleet_parts.MS):
            self._finish(job, fleet_parts.Status.REFUSED)

    def _schedule_retry(self, job: fleet_parts.Job, wait_ms: float) -> bool:
        """Schedule the client's only retry, at any instance.

        Returns:
            Whether the client retries.
        """
        left = job.first_arrival + 1000 * job.kind.deadline_s - self.now
        may_return = job.kind.retries and job.original_arrival is None
        if not may_return or wait_ms > left * MAX_WAIT_SHARE:
            return False
        job.finished = True
        instance = self.random.choice(list(self.instances.values()))
        prompt, lot = job.prompt, self.random.random()
        self.schedule(
            self.now + wait_ms,
            lambda: self._start_job(instance, job.kind, prompt, lot, job.arrived),
        )
        return True

    def _dispatch(self, instance: fleet_parts.Instance, job: fleet_parts.Job) -> None:
        kind, prompt = job.kind, job.prompt
        target = kind.target_ms * fleet_parts.MS
        timeout = job.timeout_ms * fleet_parts.MS
        elapsed = (self.now - job.arrived) * fleet_parts.MS
        request = placement_types.PlacementRequest(
            prompt,
            kind.rank,
            job.large,
            target - elapsed,
            timeout - elapsed,
            job.lot,
            kind.route_rank,
            UNEVEN_GAP_TARGET_MS * fleet_parts.MS,
        )
        placement = instance.placer.choose(
            request, fleet_parts.TRAITS, self.time, frozenset(job.declined)
        )
        disaggregated = isinstance(placement, placement_types.Disaggregated)
        if not job.declined:
            cost = (
                instance.loads.prefill_cost(placement.tokens) if disaggregated else 0.0
            )
            instance.demand.add(cost, kind.output_tokens, self.time)
        if isinstance(placement, placement_types.NoEngine):
            self._refuse(job, NO_ENGINE_RETRY)
            return
        if isinstance(placement, placement_types.Infeasible):
            self._refuse(job, placement.retry_after)
            return
        if isinstance(placement, placement_types.Colocated):
            self._decode(instance, job, placement)
            return
        job.placement = placement
        prefill_engine = placement.prefill_engine
        job.cost = instance.loads.prefill_cost(placement.tokens)
        job.queued_ahead = prefill_engine.total_prefill_tokens(
            self.time, placement.level
        )
        prefill_engine.prefill_tokens[placement.level] += job.cost
        job.dispatched_at = self.now
        latency = self._latency(instance, prefill_engine.server)
        self.schedule(self.now + latency, lambda: self._enqueue_prefill(instance, job))

    def _latency(self, instance: fleet_parts.Instance, server: servers.Server) -> float:
        near = server.failure_domain == instance.place.failure_domain
        return NEAR_LATENCY_MS if near else FAR_LATENCY_MS

    def _enqueue_prefill(
        self, instance: fleet_parts.Instance, job: fleet_parts.Job
    ) -> None:
        engine = self.engines[job.placement.prefill_engine.server.server_id]
        if job.finished:
            return
        if engine.changing:
            self._decline(instance, job)
            return
        entry = (job.placement.level, next(self._numbers), instance, job)
        heapq.heappush(engine.queue, entry)
        if not engine.busy:
            self._prefill_next(engine)

    def _decline(self, instance: fleet_parts.Instance, job: fleet_parts.Job) -> None:
        prefill_engine, level = job.placement.prefill_engine, job.placement.level
        prefill_engine.prefill_tokens[level] -= job.cost
        instance.loads.declined(prefill_engine, self.time)
        job.declined.add(prefill_engine.server.incarnation)
        self._dispatch(instance, job)

    def _plan(self, until: float) -> None:
        """Let the first instance plan and carry out its changes of stage."""
        first = next(iter(self.instances.values()))
        demand = sum(i.demand.rate(self.time).prefill for i in self.instances.values())
        rate = max(i.loads.prefill_rate for i in self.instances.values())
        planned = self._planner.plan(
            first.loads,
            fleet_parts.TRAITS,
            EVENT_GAP_TARGET_MS,
            demand,
            rate,
            self.time,
        )
        for change in planned:
            self._planner.changed(change, self.time)
            self.stage_changes.append((self.now, change))
            engine = self.engines[change.engine.server_id]
            engine.changing = True
            duration = (
                fleet_parts.TRAITS.stage_change_time + stage_plan.STREAM_DRAIN_TIME
            )
            first.fleet.engine_load(change.engine).begin_change(
                engine_loads.StageChange(change.stage, self.time + duration)
            )
            self._finish_change(engine, change)
        if self.now < until:
            self.schedule(self.now + PLAN_INTERVAL_MS, lambda: self._plan(until))

    def _finish_change(
        self, engine: fleet_parts.Engine, change: stage_plan.Change
    ) -> None:
        if engine.busy or engine.streams:
            self.schedule(self.now + 20, lambda: self._finish_change(engine, change))
            return

        def apply() -> None:
            engine.changing = False
            engine.server = dataclasses.replace(engine.server, stage=change.stage)

        def publish() -> None:
            self._revision += 1
            for instance in self.instances.values():
                instance.fleet.update_servers(self._revision, [engine.server], [])

        duration = fleet_parts.TRAITS.stage_change_time / fleet_parts.MS
        self.schedule(self.now + duration, apply)
        self.schedule(self.now + duration + LIST_LAG_MS, publish)

    def _prefill_next(self, engine: fleet_parts.Engine) -> None:
        while engine.queue and engine.queue[0][-1].finished:
            heapq.heappop(engine.queue)
        engine.busy = bool(engine.queue)
        if not engine.queue:
            return
        _, _, instance, job = heapq.heappop(engine.queue)
        cached, kv_source = set(engine.cached), job.placement.kv_source
        if kv_source is not None:
            cached |= self.engines[kv_source.server.server_id].cached
        uncached = 0
        for part in job.prompt.parts:
            if part.name in cached:
                continue
            uncached += part.tokens
            if part.name in self._ever_prefilled:
                self.repeated_tokens += part.tokens
        self._ever_prefilled.update(part.name for part in job.prompt.parts[:-1])
        self.prefilled_tokens += uncached
        took = PREFILL_OVERHEAD_MS + uncached / PREFILL_TOKENS_PER_MS
        took /= self._speed(engine)
        engine.busy_ms += took
        self.schedule(self.now + took, lambda: self._prefill_next(engine))
        done = self.now + took + PREFILL_RESPONSE_MS
        self.schedule(done, lambda: self._complete_prefill(engine, instance, job))

    def _complete_prefill(
        self,
        engine: fleet_parts.Engine,
        instance: fleet_parts.Instance,
        job: fleet_parts.Job,
    ) -> None:
        engine.cached.update(part.name for part in job.prompt.parts[:-1])
        if job.finished:
            return
        placement, loads = job.placement, instance.loads
        placement.prefill_engine.prefill_tokens[placement.level] -= job.cost
        loads.record_prefill(
            placement.prefill_engine,
            placement.tokens,
            (self.now - job.dispatched_at) * fleet_parts.MS,
            job.queued_ahead,
            self.time,
        )
        placement.prefill_engine.prefix_cache.add_prompt(
            job.prompt, fleet_parts.TRAITS.kv_tokens
        )
        instance.updates.add(placement.prefill_engine.server.incarnation, job.prompt)
        self.first_event_times.append(
            (
                placement.expected / fleet_parts.MS,
                self.now - job.dispatched_at + FIRST_EVENT_MS,
            )
        )
        self._decode(instance, job, placement)

    def _decode(
        self,
        instance: fleet_parts.Instance,
        job: fleet_parts.Job,
        placement: placement_types.Disaggregated | placement_types.Colocated,
    ) -> None:
        job.prefilled = True
        decode_engine = placement.engine
        uncached = (
            placement.tokens if isinstance(placement, placement_types.Colocated) else 0
        )
        kv_tokens = job.prompt.tokens + job.kind.output_tokens
        engine = self.engines[decode_engine.server.server_id]
        engine.streams += 1
        decode_engine.streams += 1
        decode_engine.kv_tokens += kv_tokens
        decode_engine.prefill_tokens[placement.level] += uncached
        took = FIRST_EVENT_MS + 2 * uncached / PREFILL_TOKENS_PER_MS

        def first() -> None:
            decode_engine.prefill_tokens[placement.level] -= uncached
            if job.finished:
                return
            self.done[job.kind.name] += 1
            status = fleet_parts.Status.SERVED
            if self.now > job.first_arrival + job.kind.target_ms:
                self.late[job.kind.name] += 1
                job.late = True
                status = fleet_parts.Status.LATE
            self._finish(job, status)

        def end() -> None:
            engine.streams -= 1
            self.late_answers += job.late
            if self._speeds is None:
                instance.loads.observe_event_gap(
                    decode_engine, EVENT_GAP_MS * fleet_parts.MS
                )
            decode_engine.streams -= 1
            decode_engine.kv_tokens -= kv_tokens

        def event(left: int) -> None:
            if not left:
                end()
                return
            gap = UNEVEN_GAP_MS * (1 + GAP_PER_STREAM * engine.streams)
            gap /= self._speed(engine)

            def arrive() -> None:
                took = gap * fleet_parts.MS
                instance.loads.record_event_gap(decode_engine, took, self.time)
                job.late |= gap > UNEVEN_GAP_TARGET_MS
                event(left - 1)

            self.schedule(self.now + gap, arrive)

        self.schedule(self.now + took, first)
        if self._speeds is not None:
            events = job.kind.output_tokens // TOKENS_PER_EVENT
            self.schedule(self.now + took, lambda: event(events))
            return
        self.schedule(self.now + took + TOKEN_GAP_MS * job.kind.output_tokens, end)

    def _speed(self, engine: fleet_parts.Engine) -> float:
        if self._speeds is None:
            return 1.0
        return self._speeds.of(engine.number, self.now)

    def _send_beacons(
        self, instance: fleet_parts.Instance, number: int, until: float
    ) -> None:
        near = instance.beacon(self.time, cached=instance.updates.take_near())
        for host in instance.neighbours.near:
            self._deliver(self.instances[host], near, self._weight, NEAR_LATENCY_MS)
        if number % FAR_BEACON_EVERY == 0:
            totals = instance.load_exchange.totals(self.time)
            cached = instance.updates.take_far()
            far = [
                instance.beacon(
                    self.time,
                    totals=loads,
                    chunk=chunk,
                    cached=() if chunk.number else cached,
                )
                for chunk, loads in totals
            ]
            for hosts in instance.neighbours.far:
                receiver = self.instances[self.random.choice(hosts)]
                for message in far:
                    self._deliver(receiver, message, 1.0, FAR_LATENCY_MS)
        if self.now < until:
            later = self.now + BEACON_INTERVAL_MS
            self.schedule(
                later, lambda: self._send_beacons(instance, number + 1, until)
            )

    def _deliver(
        self,
        receiver: fleet_parts.Instance,
        beacon: beacons.Beacon,
        weight: float,
        latency: float,
    ) -> None:
        if receiver.name in self.deaf:
            return

        def receive() -> None:
            receiver.load_exchange.receive(beacon, weight, self.time)
            receiver.speed_exchange.receive(
                beacon, self.time, partial_view=receiver.load_exchange.partial_view
            )

        self.schedule(self.now + latency, receive)

    def max_to_mean_work(self) -> float:
        """Return the prefill time of the busiest engine relative to the mean."""
        worked = [engine.busy_ms for engine in self.engines.values() if engine.prefills]
        return max(worked) * len(worked) / sum(worked)
