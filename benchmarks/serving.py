"""Drives the decision modules against fake engines through one load."""

import collections
import dataclasses
import datetime
import functools
import heapq
import itertools
import math
from collections import abc

from benchmarks import (
    fakes,
    patterns,
    runs,
)
from pimentolatch.decisions import (
    demand,
    disaggregation,
    engine_states,
)

__all__ = ["WINDOW_S", "Run", "serve"]

ENTRIES = 2
HEARTBEAT_S = 1.0
PLAN_EVERY_S = 5.0
# Age of what the planner is told of the engines.
REPORT_LAG_S = 3.0
RETRY_S = 1.0
_BELIEVED_PREFIXES = 24
WINDOW_S = 20.0
_AFTERWARDS_S = 90.0


class Run:
    """One load served once."""

    def __init__(
        self, scenario: runs.Scenario, planner: runs.Planner, options: runs.Options
    ) -> None:
        self.outcome = runs.Outcome()
        self._scenario = scenario
        self._planner = planner
        self._options = options
        self._costs = disaggregation.Costs(adaptive=options.adaptive_limit)
        self._slots = [
            runs.Slot(n, fakes.FakeEngine(engine, self.outcome.times))
            for n, engine in enumerate(scenario.engines)
        ]
        self._by_name = {slot.fake.engine.name: slot for slot in self._slots}
        count = len(self._slots)
        self._own = [runs.Counts(count) for _ in range(ENTRIES)]
        self._published = [runs.Counts(count) for _ in range(ENTRIES)]
        self._prefixes: list[list[collections.OrderedDict[int, None]]] = [
            [collections.OrderedDict() for _ in range(count)] for _ in range(ENTRIES)
        ]
        self._totals = [demand.Totals(f"entry-{n}", "1") for n in range(ENTRIES)]
        self._history = demand.History()
        self._reports: collections.deque[tuple[engine_states.EngineState, ...]]
        self._reports = collections.deque()
        self._timers: list[tuple[float, int, abc.Callable[[float], None]]] = []
        self._order = itertools.count()

    def run(self) -> runs.Outcome:
        """Serve the whole load."""
        self._at(HEARTBEAT_S, self._heartbeat)
        self._at(PLAN_EVERY_S, self._plan)
        for fault in self._scenario.faults:
            self._at(fault.at, functools.partial(self._begin_fault, fault))
            self._at(fault.until, functools.partial(self._end_fault, fault))
        jobs = iter(job.copy() for job in self._scenario.jobs)
        job = next(jobs, None)
        end = patterns.LENGTH_S + _AFTERWARDS_S
        while True:
            arrival = job.arrived if job else math.inf
            slot = min(self._slots, key=lambda s: s.next_event)
            timer = self._timers[0][0]
            now = min(arrival, slot.next_event, timer)
            if now > end:
                return self.outcome
            if slot.next_event <= now:
                self._advance(now, slot)
            elif job is not None and arrival <= now:
                self._arrive(now, job)
                job = next(jobs, None)
            else:
                heapq.heappop(self._timers)[2](now)

    def _at(self, when: float, what: abc.Callable[[float], None]) -> None:
        heapq.heappush(self._timers, (when, next(self._order), what))

    def _arrive(self, now: float, job: fakes.Job) -> None:
        is_long = job.prompt_tokens >= demand.LONG_PROMPT_TOKENS
        outcome = self.outcome
        outcome.offered += 1
        outcome.long_offered += is_long
        outcome.offered_by_caller[job.caller] += 1
        self._totals[job.entry] = self._totals[job.entry].plus(
            job.prompt_tokens, job.output_tokens
        )
        self._place(now, job)

    def _place(self, now: float, job: fakes.Job) -> None:
        loads = [self._load(job, slot) for slot in self._slots if slot.routable]
        if not self._options.apart:
            loads = [load for load in loads if load.role != "prefill"] or loads
        prompt = disaggregation.RequestSize(
            job.prompt_tokens + job.delivered, job.output_tokens - job.delivered
        )
        path = disaggregation.choose_path(prompt, loads, self._costs)
        if isinstance(path, disaggregation.NoEngine):
            if now + RETRY_S < job.deadline:
                self._at(now + RETRY_S, functools.partial(self._place_again, job))
            else:
                self.outcome.refused += 1
            return
        if self._options.admission and now + path.finish_s > job.deadline:
            self.outcome.refused += 1
            return
        self._send(now, job, path)

    def _place_again(self, job: fakes.Job, now: float) -> None:
        self._place(now, job)

    def _load(self, job: fakes.Job, slot: runs.Slot) -> disaggregation.EngineLoad:
        own, other = self._own[job.entry], self._published[1 - job.entry]
        n, engine = slot.number, slot.fake.engine
        known = job.prefix in self._prefixes[job.entry][n]
        return disaggregation.EngineLoad(
            engine.name,
            slot.fake.role,
            engine.streams,
            engine.prefill_tokens_per_s,
            engine.decode_tokens_per_s,
            own.streams[n] + other.streams[n],
            own.prompt[n] + other.prompt[n],
            self._expected_output(slot, own, other),
            job.prefix_tokens if known and self._options.prefix_locality else 0,
        )

    def _expected_output(
        self, slot: runs.Slot, own: runs.Counts, other: runs.Counts
    ) -> float:
        """Tokens still to come; streams of the batch are taken to be half done."""
        n, batch = slot.number, slot.fake.engine.streams
        streams = own.streams[n] + other.streams[n]
        running = min(batch, streams) / max(1, streams)
        return (own.output[n] + other.output[n]) * (1.0 - 0.5 * running)

    def _send(
        self,
        now: float,
        job: fakes.Job,
        path: disaggregation.Colocated | disaggregation.Disaggregated,
    ) -> None:
        writer = self._by_name[path.engine]
        reader = writer
        if isinstance(path, disaggregation.Disaggregated):
            reader = self._by_name[path.prefill_engine]
            writer.inbound += 1
        job.reader, job.writer = reader.fake.engine.name, writer.fake.engine.name
        job.transferring = reader is not writer
        job.counted_prompt = float(job.prompt_tokens + job.delivered)
        counts = self._own[job.entry]
        counts.prompt[reader.number] += job.counted_prompt
        counts.streams[reader.number] += 1
        if job.transferring:
            counts.streams[writer.number] += 1
        counts.output[writer.number] += job.output_tokens
        believed = self._prefixes[job.entry][reader.number]
        believed[job.prefix] = None
        believed.move_to_end(job.prefix)
        if len(believed) > _BELIEVED_PREFIXES:
            believed.popitem(last=False)
        self._advance(now, reader)
        reader.fake.read(job)
        reader.next_event = reader.fake.next_event()

    def _advance(self, now: float, slot: runs.Slot) -> None:
        read, written = slot.fake.advance(now)
        for job in read:
            self._own[job.entry].prompt[slot.number] -= job.counted_prompt
            job.counted_prompt = 0.0
            if job.transferring:
                self._own[job.entry].streams[slot.number] -= 1
                later = now + self._costs.transfer_s(job.prompt_tokens + job.delivered)
                self._at(later, functools.partial(self._received, job))
            else:
                slot.fake.write(job)
        for job in written:
            self._finished(now, job)
        slot.next_event = slot.fake.next_event()
        if slot.order and slot.changing_until == math.inf:
            self._begin_change(now, slot)

    def _received(self, job: fakes.Job, now: float) -> None:
        slot = self._by_name[job.writer]
        slot.inbound -= 1
        job.transferring = False
        if slot.down:
            self._lost(now, job)
            return
        self._advance(now, slot)
        slot.fake.write(job)
        slot.next_event = slot.fake.next_event()

    def _forget(self, job: fakes.Job) -> None:
        counts = self._own[job.entry]
        writer = self._by_name[job.writer].number
        counts.streams[writer] -= 1
        counts.output[writer] -= job.output_tokens
        if job.counted_prompt:
            reader = self._by_name[job.reader].number
            counts.prompt[reader] -= job.counted_prompt
            if job.transferring:
                counts.streams[reader] -= 1
        job.counted_prompt = 0.0

    def _lost(self, now: float, job: fakes.Job) -> None:
        self._forget(job)
        if job.transferring:
            self._by_name[job.writer].inbound -= 1
            job.transferring = False
        self._place(now, job)

    def _finished(self, now: float, job: fakes.Job) -> None:
        self._forget(job)
        outcome = self.outcome
        outcome.first_tokens.append(job.first_token - job.arrived)
        if now > job.deadline:
            outcome.late += 1
            return
        outcome.good += 1
        outcome.long_good += job.prompt_tokens >= demand.LONG_PROMPT_TOKENS
        outcome.good_by_window[int(job.arrived / WINDOW_S)] += 1
        outcome.good_by_caller[job.caller] += 1

    def _begin_change(self, now: float, slot: runs.Slot) -> None:
        if slot.fake.idle and slot.inbound == 0 and not slot.down:
            cost = self._scenario.policy.change_cost_s
            slot.changing_until = now + cost
            self._at(now + cost, functools.partial(self._end_change, slot))

    def _end_change(self, slot: runs.Slot, now: float) -> None:
        if slot.order is None or slot.changing_until > now:
            return
        slot.fake.take_role(slot.order.role)
        slot.role_since = datetime.timedelta(seconds=now)
        self._release(slot)

    def _release(self, slot: runs.Slot) -> None:
        slot.order = None
        slot.changing_until = math.inf
        for entry in self._prefixes:
            entry[slot.number].clear()

    def _begin_fault(self, fault: patterns.Fault, now: float) -> None:
        slot = self._slots[fault.engine]
        slot.since = datetime.timedelta(seconds=now)
        if fault.kind != "crash":
            slot.withdrawn = True
            return
        self._advance(now, slot)
        slot.down = True
        self._release(slot)
        for job in slot.fake.crash():
            self._lost(now, job)
        slot.next_event = math.inf

    def _end_fault(self, fault: patterns.Fault, now: float) -> None:
        slot = self._slots[fault.engine]
        slot.since = datetime.timedelta(seconds=now)
        if fault.kind == "crash":
            slot.down = False
        else:
            slot.withdrawn = False

    def _heartbeat(self, now: float) -> None:
        self._published = [counts.copy() for counts in self._own]
        self._totals = [
            dataclasses.replace(totals, uptime_s=now) for totals in self._totals
        ]
        for slot in self._slots:
            if slot.order and slot.changing_until == math.inf:
                self._begin_change(now, slot)
        self._reports.append(tuple(self._state(slot) for slot in self._slots))
        while len(self._reports) > REPORT_LAG_S / HEARTBEAT_S + 1:
            self._reports.popleft()
        self._at(now + HEARTBEAT_S, self._heartbeat)

    def _state(self, slot: runs.Slot) -> engine_states.EngineState:
        condition = engine_states.Condition.SERVING
        if slot.withdrawn:
            condition = engine_states.Condition.WITHDRAWN
        elif slot.down:
            condition = engine_states.Condition.UNCERTAIN
        return engine_states.EngineState(
            slot.fake.engine, slot.fake.role, condition, slot.since
        )

    def _known(
        self, report: engine_states.EngineState, slot: runs.Slot
    ) -> engine_states.EngineState:
        """Roles come from the order slots, which are never late; the rest from reports.

        A late report still shows the old role when a change has just ended, and the
        same change would be ordered again.
        """
        if slot.order:
            return dataclasses.replace(
                report, role=slot.order.role, condition=engine_states.Condition.CHANGING
            )
        times = [t for t in (report.since, slot.role_since) if t is not None]
        return dataclasses.replace(
            report, role=slot.fake.role, since=max(times, default=None)
        )

    def _plan(self, now: float) -> None:
        moment = datetime.timedelta(seconds=now)
        self._history.observe(moment, self._totals)
        states = [
            self._known(report, slot)
            for report, slot in zip(self._reports[0], self._slots, strict=True)
        ]
        for change in self._planner.plan(
            moment, states, self._history.samples, self._scenario.policy
        ):
            slot = self._by_name[change.engine]
            if slot.order or slot.down or slot.withdrawn or now > patterns.LENGTH_S:
                continue
            slot.order = change
            self.outcome.changes.append((now, change))
            self._begin_change(now, slot)
        self._at(now + PLAN_EVERY_S, self._plan)


def serve(
    scenario: runs.Scenario,
    planner: runs.Planner,
    options: runs.Options | None = None,
) -> runs.Outcome:
    """Serve a load and return what callers received."""
    return Run(scenario, planner, options or runs.Options()).run()
