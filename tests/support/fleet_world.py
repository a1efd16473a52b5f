"""Replays prompts through the decisions of a whole fleet, without a network.

Every instance has its own counts and hears of the others by beacons that take their
time, as in a fleet; engines are queues that read prompts at a fixed rate. What is
decided is decided by the modules that serve.
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
    stage_plan,
    wait_policy,
)
from pimentolatch.protocol import beacons
from pimentolatch.requests import prompts
from pimentolatch.routes import servers
from tests.support import fleet_parts

# An engine that reads: tokens in a millisecond, the time that each prompt keeps it
# busy besides, and how much later its answer comes. As engines of today do.
READING_RATE = 56.6
OVERHEAD_MS = 4.0
ANSWER_MS = 16.0
# From the end of reading to the first event, and one token after the other.
HANDOVER_MS = 40.0
TOKEN_MS = 6.0
NEAR_WAY_MS = 1.0
FAR_WAY_MS = 1.4
NEAR_BEACON_MS = 400.0
FAR_BEACONS = 2
PLAN_MS = 500.0
LIST_LAG_MS = 600.0
NO_ENGINE_RETRY = datetime.timedelta(milliseconds=500)
# Clients wait for as long as they are told, up to this share of the time they have.
MOST_WAITED = 1 / 3
# Clients that gave a stream up ask again after this.
AGAIN_MS = 50.0
# Pauses between the events of a stream, and the longest that callers accept.
EVENT_MS = 40.0
PAUSE_TARGET_MS = 250.0


class Fleet:
    """Instances before engines, with prompts arriving.

    Args:
        domains: Failure domains.
        instances: Instances in each.
        engines: Engines in the fleet.
        reading: Those that read; the others write.
        seed: Draws arrivals and whom beacons reach.
    """

    def __init__(
        self, domains: int, instances: int, engines: int, reading: int, seed: int
    ) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.names = [f"d{n}" for n in range(domains)]
        listed = [self._server(n, n < reading) for n in range(engines)]
        self.engines = {
            server.server_id: fleet_parts.Engine(server) for server in listed
        }
        self.instances = {
            f"{domain}-{n}": fleet_parts.Instance(f"{domain}-{n}", domain, listed)
            for domain in self.names
            for n in range(instances)
        }
        self._weight = 1.0
        self._meet(instances)
        self.late: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.done: collections.Counter[str] = collections.Counter()
        self.errors: list[tuple[float, float]] = []
        self.outcomes: list[fleet_parts.Outcome] = []
        self.tokens_read = 0
        self.tokens_again = 0
        self.orders: list[tuple[float, stage_plan.Change]] = []
        self._ever_read: set[str] = set()
        self._planner = stage_plan.StagePlanner()
        self._revision = 1
        self._bursts: abc.Sequence[fleet_parts.Burst] = ()

    def _server(self, number: int, reads: bool) -> servers.Server:
        stage = servers.Stage.PREFILL if reads else servers.Stage.DECODE
        address = settings.Address.from_text(f"10.0.0.{number}:80")
        domain = self.names[number % len(self.names)]
        name = f"engine-{number:02}"
        return servers.Server(
            name, fleet_parts.SERVICE, address, domain, False, stage, 64
        )

    def _meet(self, instances: int) -> None:
        places = [instance.place for instance in self.instances.values()]
        for instance in self.instances.values():
            others = [place for place in places if place != instance.place]
            instance.told = neighbours.choose(instance.place, others)
            instance.work.partial_view = bool(instance.told.far)
            instance.loads.partial_view = instance.work.partial_view
            heard = [neighbours.Place(h, "d") for h in instance.told.near]
            known = [neighbours.Place(str(n), "d") for n in range(instances - 1)]
            self._weight = neighbours.domain_weights(known, heard).get("d", 1.0)

    def at(self, when: float, call: abc.Callable[[], None]) -> None:
        """Have something called at a moment, in milliseconds."""
        heapq.heappush(self._events, (when, next(self._numbers), call))

    def run(
        self,
        kinds: abc.Sequence[fleet_parts.Kind],
        seconds: float,
        bursts: abc.Sequence[fleet_parts.Burst] = (),
        *,
        plans: bool = False,
    ) -> None:
        """Have prompts arrive for some seconds, and wait for what is under way.

        Args:
            kinds: What arrives.
            seconds: For how long.
            bursts: When something arrives more or less often.
            plans: Whether stages are planned, by the first instance.
        """
        self._bursts = bursts
        until = 1000 * seconds
        if plans:
            self.at(PLAN_MS, lambda: self._plan(until))
        for kind in kinds:
            self._arrive(kind, until)
        for instance in self.instances.values():
            first = self.random.uniform(0, NEAR_BEACON_MS)
            self.at(first, lambda i=instance: self._tell(i, 0, until))
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            call()

    @property
    def time(self) -> datetime.timedelta:
        """The time, as the decisions take it."""
        return datetime.timedelta(seconds=100) + self.now * fleet_parts.MS

    def _arrive(self, kind: fleet_parts.Kind, until: float) -> None:
        rate = kind.rate
        for burst in self._bursts:
            now_s = self.now / 1000
            if burst.kind == kind.name and burst.begins_s <= now_s < burst.ends_s:
                rate *= burst.factor
        when = self.now + self.random.expovariate(rate) * 1000
        if when < until:
            self.at(when, lambda: self._take(kind, until))

    def _take(self, kind: fleet_parts.Kind, until: float) -> None:
        self._arrive(kind, until)
        self.offer(self.random.choice(list(self.instances.values())), kind)

    def offer(self, instance: fleet_parts.Instance, kind: fleet_parts.Kind) -> None:
        """Have an instance asked for a prompt now."""
        number = next(self._numbers)
        prompt = fleet_parts.draw_prompt(kind, number, self.random)
        self._ask(instance, kind, prompt, self.random.random())

    def _ask(
        self,
        instance: fleet_parts.Instance,
        kind: fleet_parts.Kind,
        prompt: prompts.Prompt,
        lot: float,
        first_asked: float | None = None,
    ) -> None:
        job = fleet_parts.Job(kind, prompt, self.now, lot, first_asked)
        size = instance.sizes.classify(kind.name, prompt.tokens)
        job.large = size is not prompt_sizes.SizeClass.REST
        leaves_at = self.now + job.patience_ms
        self.at(leaves_at, lambda: self._leave(job))
        refused_at = (
            wait_policy.refusal_time(leaves_at * fleet_parts.MS) / fleet_parts.MS
        )
        self.at(max(self.now, refused_at), lambda: self._take_back(job))
        self._place(instance, job)

    def _leave(self, job: fleet_parts.Job) -> None:
        """Have a client leave that has seen no event."""
        if job.over:
            return
        self._forget(job)
        if not self._return(job, AGAIN_MS):
            self._end(job, fleet_parts.Fate.LEFT)

    def _take_back(self, job: fleet_parts.Job) -> None:
        """Refuse a request whose prompt is not prefilled yet."""
        if job.over or job.prefilled:
            return
        self._forget(job)
        self._refuse(job, wait_policy.retry_after(job.lot))

    def _forget(self, job: fleet_parts.Job) -> None:
        if job.place is not None:
            job.place.prefill_engine.prefill_tokens[job.place.level] -= job.cost
            job.cost = 0.0

    def _end(self, job: fleet_parts.Job, fate: fleet_parts.Fate) -> None:
        job.over = True
        self.outcomes.append(
            fleet_parts.Outcome(job.kind.name, job.prompt.tokens, fate)
        )

    def _refuse(self, job: fleet_parts.Job, retry_after: datetime.timedelta) -> None:
        """Refuse a request; its client may come back."""
        self.refused[job.kind.name] += 1
        if not self._return(job, retry_after / fleet_parts.MS):
            self._end(job, fleet_parts.Fate.REFUSED)

    def _return(self, job: fleet_parts.Job, wait_ms: float) -> bool:
        """Have a client come back once, at any instance; False if it does not."""
        left = job.begun + 1000 * job.kind.deadline_s - self.now
        may_return = job.kind.returns and job.first_asked is None
        if not may_return or wait_ms > left * MOST_WAITED:
            return False
        job.over = True
        instance = self.random.choice(list(self.instances.values()))
        prompt, lot = job.prompt, self.random.random()
        self.at(
            self.now + wait_ms,
            lambda: self._ask(instance, job.kind, prompt, lot, job.arrived),
        )
        return True

    def _place(self, instance: fleet_parts.Instance, job: fleet_parts.Job) -> None:
        kind, prompt = job.kind, job.prompt
        target = kind.target_ms * fleet_parts.MS
        patience = job.patience_ms * fleet_parts.MS
        gone = (self.now - job.arrived) * fleet_parts.MS
        asked = placement_types.PlacementRequest(
            prompt, kind.rank, job.large, target - gone, patience - gone, job.lot
        )
        place = instance.chooser.choose(
            asked, fleet_parts.TRAITS, self.time, frozenset(job.declined)
        )
        apart = isinstance(place, placement_types.Disaggregated)
        if not job.declined:
            cost = instance.loads.prefill_cost(place.tokens) if apart else 0.0
            instance.demand.add(cost, kind.output, self.time)
        if isinstance(place, placement_types.NoEngine):
            self._refuse(job, NO_ENGINE_RETRY)
            return
        if isinstance(place, placement_types.Infeasible):
            self._refuse(job, place.retry_after)
            return
        if isinstance(place, placement_types.Colocated):
            self._write(instance, job, place)
            return
        job.place = place
        reader = place.prefill_engine
        job.cost = instance.loads.prefill_cost(place.tokens)
        job.ahead = reader.total_prefill_tokens(self.time, place.level)
        reader.prefill_tokens[place.level] += job.cost
        job.sent = self.now
        way = self._way(instance, reader.server)
        self.at(self.now + way, lambda: self._queue(instance, job))

    def _way(self, instance: fleet_parts.Instance, server: servers.Server) -> float:
        near = server.failure_domain == instance.place.failure_domain
        return NEAR_WAY_MS if near else FAR_WAY_MS

    def _queue(self, instance: fleet_parts.Instance, job: fleet_parts.Job) -> None:
        engine = self.engines[job.place.prefill_engine.server.server_id]
        if job.over:
            return
        if engine.changing:
            self._decline(instance, job)
            return
        entry = (job.place.level, next(self._numbers), instance, job)
        heapq.heappush(engine.queue, entry)
        if not engine.busy:
            self._read_next(engine)

    def _decline(self, instance: fleet_parts.Instance, job: fleet_parts.Job) -> None:
        reader, level = job.place.prefill_engine, job.place.level
        reader.prefill_tokens[level] -= job.cost
        instance.loads.declined(reader, self.time)
        job.declined.add(reader.server.incarnation)
        self._place(instance, job)

    def _plan(self, until: float) -> None:
        """Have the first instance plan, and the engines do what it says."""
        first = next(iter(self.instances.values()))
        demand = sum(i.demand.rate(self.time).prefill for i in self.instances.values())
        rate = max(i.loads.prefill_rate for i in self.instances.values())
        planned = self._planner.plan(
            first.loads, fleet_parts.TRAITS, PAUSE_TARGET_MS, demand, rate, self.time
        )
        for change in planned:
            self._planner.changed(change, self.time)
            self.orders.append((self.now, change))
            engine = self.engines[change.engine.server_id]
            engine.changing = True
            away = fleet_parts.TRAITS.stage_change_time + stage_plan.STREAM_DRAIN_TIME
            first.known.engine_load(change.engine).begin_change(
                engine_loads.StageChange(change.stage, self.time + away)
            )
            self._end_change(engine, change)
        if self.now < until:
            self.at(self.now + PLAN_MS, lambda: self._plan(until))

    def _end_change(
        self, engine: fleet_parts.Engine, change: stage_plan.Change
    ) -> None:
        if engine.busy or engine.writing:
            self.at(self.now + 20, lambda: self._end_change(engine, change))
            return

        def back() -> None:
            engine.changing = False
            engine.server = dataclasses.replace(engine.server, stage=change.stage)

        def listed() -> None:
            self._revision += 1
            for instance in self.instances.values():
                instance.known.update_servers(self._revision, [engine.server], [])

        away = fleet_parts.TRAITS.stage_change_time / fleet_parts.MS
        self.at(self.now + away, back)
        self.at(self.now + away + LIST_LAG_MS, listed)

    def _read_next(self, engine: fleet_parts.Engine) -> None:
        while engine.queue and engine.queue[0][-1].over:
            heapq.heappop(engine.queue)
        engine.busy = bool(engine.queue)
        if not engine.queue:
            return
        _, _, instance, job = heapq.heappop(engine.queue)
        kept, donor = set(engine.kept), job.place.kv_source
        if donor is not None:
            kept |= self.engines[donor.server.server_id].kept
        unread = 0
        for part in job.prompt.parts:
            if part.name in kept:
                continue
            unread += part.tokens
            if part.name in self._ever_read:
                self.tokens_again += part.tokens
        self._ever_read.update(part.name for part in job.prompt.parts[:-1])
        self.tokens_read += unread
        took = OVERHEAD_MS + unread / READING_RATE
        engine.worked_ms += took
        self.at(self.now + took, lambda: self._read_next(engine))
        done = self.now + took + ANSWER_MS
        self.at(done, lambda: self._was_read(engine, instance, job))

    def _was_read(
        self,
        engine: fleet_parts.Engine,
        instance: fleet_parts.Instance,
        job: fleet_parts.Job,
    ) -> None:
        engine.kept.update(part.name for part in job.prompt.parts[:-1])
        if job.over:
            return
        place, loads = job.place, instance.loads
        place.prefill_engine.prefill_tokens[place.level] -= job.cost
        loads.observe_prefill(
            place.tokens, (self.now - job.sent) * fleet_parts.MS, job.ahead
        )
        place.prefill_engine.prefix_cache.add_prompt(
            job.prompt, fleet_parts.TRAITS.kv_tokens
        )
        instance.updates.add(place.prefill_engine.server.incarnation, job.prompt)
        self.errors.append(
            (place.expected / fleet_parts.MS, self.now - job.sent + HANDOVER_MS)
        )
        self._write(instance, job, place)

    def _write(
        self,
        instance: fleet_parts.Instance,
        job: fleet_parts.Job,
        place: placement_types.Disaggregated | placement_types.Colocated,
    ) -> None:
        job.prefilled = True
        writer = place.engine
        unread = place.tokens if isinstance(place, placement_types.Colocated) else 0
        held = job.prompt.tokens + job.kind.output
        at = self.engines[writer.server.server_id]
        at.writing += 1
        writer.streams += 1
        writer.kv_tokens += held
        writer.prefill_tokens[place.level] += unread
        took = HANDOVER_MS + 2 * unread / READING_RATE

        def first() -> None:
            writer.prefill_tokens[place.level] -= unread
            if job.over:
                return
            self.done[job.kind.name] += 1
            fate = fleet_parts.Fate.SERVED
            if self.now > job.begun + job.kind.target_ms:
                self.late[job.kind.name] += 1
                fate = fleet_parts.Fate.LATE
            self._end(job, fate)

        def end() -> None:
            at.writing -= 1
            instance.loads.observe_event_gap(writer, EVENT_MS * fleet_parts.MS)
            writer.streams -= 1
            writer.kv_tokens -= held

        self.at(self.now + took, first)
        self.at(self.now + took + TOKEN_MS * job.kind.output, end)

    def _tell(self, instance: fleet_parts.Instance, number: int, until: float) -> None:
        near = instance.beacon(self.time, cached=instance.updates.take_near())
        for host in instance.told.near:
            self._deliver(self.instances[host], near, self._weight, NEAR_WAY_MS)
        if number % FAR_BEACONS == 0:
            totals = instance.work.totals(self.time)
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
            for hosts in instance.told.far:
                receiver = self.instances[self.random.choice(hosts)]
                for piece in far:
                    self._deliver(receiver, piece, 1.0, FAR_WAY_MS)
        if self.now < until:
            later = self.now + NEAR_BEACON_MS
            self.at(later, lambda: self._tell(instance, number + 1, until))

    def _deliver(
        self,
        receiver: fleet_parts.Instance,
        beacon: beacons.Beacon,
        weight: float,
        way: float,
    ) -> None:
        self.at(
            self.now + way, lambda: receiver.work.receive(beacon, weight, self.time)
        )

    def busiest(self) -> float:
        """Return the work of the busiest reading engine as a multiple of the mean."""
        worked = [engine.worked_ms for engine in self.engines.values() if engine.reads]
        return max(worked) * len(worked) / sum(worked)
