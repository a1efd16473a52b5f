"""Discrete-event simulation of the decision modules with fake engines."""

import collections
import dataclasses
import datetime
import functools
import heapq
import itertools
import math
from collections import abc

from benchmarks import fakes, patterns, simulation_types
from pimentolatch.decisions import demand, disaggregation, engine_states

__all__ = ["WINDOW_S", "Simulation", "simulate"]

ENTRIES = 2
HEARTBEAT_S = 1.0
PLAN_INTERVAL_S = 5.0
# Age of the engine states that the planner sees.
REPORT_LAG_S = 3.0
RETRY_S = 1.0
_TRACKED_PREFIXES = 24
WINDOW_S = 20.0
_DRAIN_S = 90.0


class Simulation:
    """One run of a load."""

    def __init__(
        self,
        scenario: simulation_types.Scenario,
        planner: simulation_types.Planner,
        options: simulation_types.Options,
    ) -> None:
        self.outcome = simulation_types.Outcome()
        self._scenario = scenario
        self._planner = planner
        self._options = options
        self._costs = disaggregation.Costs(adaptive=options.adaptive_limit)
        self._slots = [
            simulation_types.EngineSlot(n, fakes.FakeEngine(engine, self.outcome.times))
            for n, engine in enumerate(scenario.engines)
        ]
        self._by_name = {slot.engine.engine.name: slot for slot in self._slots}
        count = len(self._slots)
        self._local_counts = [
            simulation_types.WorkCounts(count) for _ in range(ENTRIES)
        ]
        self._published = [simulation_types.WorkCounts(count) for _ in range(ENTRIES)]
        self._prefixes: list[list[collections.OrderedDict[int, None]]] = [
            [collections.OrderedDict() for _ in range(count)] for _ in range(ENTRIES)
        ]
        self._totals = [demand.Totals(f"entry-{n}", "1") for n in range(ENTRIES)]
        self._history = demand.History()
        self._reports: collections.deque[tuple[engine_states.EngineState, ...]]
        self._reports = collections.deque()
        self._timers: list[tuple[float, int, abc.Callable[[float], None]]] = []
        self._timer_numbers = itertools.count()

    def run(self) -> simulation_types.Outcome:
        """Serve the whole load and return the outcome."""
        self._schedule(HEARTBEAT_S, self._heartbeat)
        self._schedule(PLAN_INTERVAL_S, self._plan)
        for fault in self._scenario.faults:
            self._schedule(fault.at, functools.partial(self._begin_fault, fault))
            self._schedule(fault.until, functools.partial(self._end_fault, fault))
        jobs = iter(job.copy() for job in self._scenario.jobs)
        job = next(jobs, None)
        end = patterns.DURATION_S + _DRAIN_S
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

    def _schedule(self, at: float, callback: abc.Callable[[float], None]) -> None:
        heapq.heappush(self._timers, (at, next(self._timer_numbers), callback))

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
        loads = [self._engine_load(job, slot) for slot in self._slots if slot.routable]
        if not self._options.disaggregate:
            loads = [load for load in loads if load.role != "prefill"] or loads
        prompt = disaggregation.RequestSize(
            job.prompt_tokens + job.delivered, job.output_tokens - job.delivered
        )
        path = disaggregation.choose_path(prompt, loads, self._costs)
        if isinstance(path, disaggregation.NoEngine):
            if now + RETRY_S < job.deadline:
                self._schedule(
                    now + RETRY_S, functools.partial(self._retry_placement, job)
                )
            else:
                self.outcome.refused += 1
            return
        if self._options.admission and now + path.finish_s > job.deadline:
            self.outcome.refused += 1
            return
        self._send(now, job, path)

    def _retry_placement(self, job: fakes.Job, now: float) -> None:
        self._place(now, job)

    def _engine_load(
        self, job: fakes.Job, slot: simulation_types.EngineSlot
    ) -> disaggregation.EngineLoad:
        local, remote = self._local_counts[job.entry], self._published[1 - job.entry]
        n, engine = slot.number, slot.engine.engine
        cached = job.prefix in self._prefixes[job.entry][n]
        return disaggregation.EngineLoad(
            engine.name,
            slot.engine.role,
            engine.streams,
            engine.prefill_tokens_per_s,
            engine.decode_tokens_per_s,
            local.streams[n] + remote.streams[n],
            local.prompt[n] + remote.prompt[n],
            self._expected_output(slot, local, remote),
            job.prefix_tokens if cached and self._options.prefix_locality else 0,
        )

    def _expected_output(
        self,
        slot: simulation_types.EngineSlot,
        local: simulation_types.WorkCounts,
        remote: simulation_types.WorkCounts,
    ) -> float:
        """Return the output tokens left, taking streams in the batch as half done."""
        n, batch = slot.number, slot.engine.engine.streams
        streams = local.streams[n] + remote.streams[n]
        running = min(batch, streams) / max(1, streams)
        return (local.output[n] + remote.output[n]) * (1.0 - 0.5 * running)

    def _send(
        self,
        now: float,
        job: fakes.Job,
        path: disaggregation.Colocated | disaggregation.Disaggregated,
    ) -> None:
        decode_slot = self._by_name[path.engine]
        prefill_slot = decode_slot
        if isinstance(path, disaggregation.Disaggregated):
            prefill_slot = self._by_name[path.prefill_engine]
            decode_slot.inbound += 1
        job.prefill_engine, job.decode_engine = (
            prefill_slot.engine.engine.name,
            decode_slot.engine.engine.name,
        )
        job.transferring = prefill_slot is not decode_slot
        job.counted_prompt = float(job.prompt_tokens + job.delivered)
        counts = self._local_counts[job.entry]
        counts.prompt[prefill_slot.number] += job.counted_prompt
        counts.streams[prefill_slot.number] += 1
        if job.transferring:
            counts.streams[decode_slot.number] += 1
        counts.output[decode_slot.number] += job.output_tokens
        prefixes = self._prefixes[job.entry][prefill_slot.number]
        prefixes[job.prefix] = None
        prefixes.move_to_end(job.prefix)
        if len(prefixes) > _TRACKED_PREFIXES:
            prefixes.popitem(last=False)
        self._advance(now, prefill_slot)
        prefill_slot.engine.prefill(job)
        prefill_slot.next_event = prefill_slot.engine.next_event()

    def _advance(self, now: float, slot: simulation_types.EngineSlot) -> None:
        prefilled, completed = slot.engine.advance(now)
        for job in prefilled:
            self._local_counts[job.entry].prompt[slot.number] -= job.counted_prompt
            job.counted_prompt = 0.0
            if job.transferring:
                self._local_counts[job.entry].streams[slot.number] -= 1
                transferred_at = now + self._costs.transfer_s(
                    job.prompt_tokens + job.delivered
                )
                self._schedule(
                    transferred_at, functools.partial(self._transfer_ended, job)
                )
            else:
                slot.engine.decode(job)
        for job in completed:
            self._finished(now, job)
        slot.next_event = slot.engine.next_event()
        if slot.order and slot.changing_until == math.inf:
            self._begin_change(now, slot)

    def _transfer_ended(self, job: fakes.Job, now: float) -> None:
        slot = self._by_name[job.decode_engine]
        slot.inbound -= 1
        job.transferring = False
        if slot.down:
            self._place_lost(now, job)
            return
        self._advance(now, slot)
        slot.engine.decode(job)
        slot.next_event = slot.engine.next_event()

    def _remove_counts(self, job: fakes.Job) -> None:
        counts = self._local_counts[job.entry]
        decode_slot = self._by_name[job.decode_engine].number
        counts.streams[decode_slot] -= 1
        counts.output[decode_slot] -= job.output_tokens
        if job.counted_prompt:
            prefill_slot = self._by_name[job.prefill_engine].number
            counts.prompt[prefill_slot] -= job.counted_prompt
            if job.transferring:
                counts.streams[prefill_slot] -= 1
        job.counted_prompt = 0.0

    def _place_lost(self, now: float, job: fakes.Job) -> None:
        self._remove_counts(job)
        if job.transferring:
            self._by_name[job.decode_engine].inbound -= 1
            job.transferring = False
        self._place(now, job)

    def _finished(self, now: float, job: fakes.Job) -> None:
        self._remove_counts(job)
        outcome = self.outcome
        outcome.first_tokens.append(job.first_token - job.arrived)
        if now > job.deadline:
            outcome.late += 1
            return
        outcome.good += 1
        outcome.long_good += job.prompt_tokens >= demand.LONG_PROMPT_TOKENS
        outcome.good_by_window[int(job.arrived / WINDOW_S)] += 1
        outcome.good_by_caller[job.caller] += 1

    def _begin_change(self, now: float, slot: simulation_types.EngineSlot) -> None:
        if slot.engine.idle and slot.inbound == 0 and not slot.down:
            cost = self._scenario.policy.change_cost_s
            slot.changing_until = now + cost
            self._schedule(now + cost, functools.partial(self._end_change, slot))

    def _end_change(self, slot: simulation_types.EngineSlot, now: float) -> None:
        if slot.order is None or slot.changing_until > now:
            return
        slot.engine.set_role(slot.order.role)
        slot.role_since = datetime.timedelta(seconds=now)
        self._clear_order(slot)

    def _clear_order(self, slot: simulation_types.EngineSlot) -> None:
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
        self._clear_order(slot)
        for job in slot.engine.crash():
            self._place_lost(now, job)
        slot.next_event = math.inf

    def _end_fault(self, fault: patterns.Fault, now: float) -> None:
        slot = self._slots[fault.engine]
        slot.since = datetime.timedelta(seconds=now)
        if fault.kind == "crash":
            slot.down = False
        else:
            slot.withdrawn = False

    def _heartbeat(self, now: float) -> None:
        self._published = [counts.copy() for counts in self._local_counts]
        self._totals = [
            dataclasses.replace(totals, uptime_s=now) for totals in self._totals
        ]
        for slot in self._slots:
            if slot.order and slot.changing_until == math.inf:
                self._begin_change(now, slot)
        self._reports.append(tuple(self._state(slot) for slot in self._slots))
        while len(self._reports) > REPORT_LAG_S / HEARTBEAT_S + 1:
            self._reports.popleft()
        self._schedule(now + HEARTBEAT_S, self._heartbeat)

    def _state(self, slot: simulation_types.EngineSlot) -> engine_states.EngineState:
        condition = engine_states.Condition.SERVING
        if slot.withdrawn:
            condition = engine_states.Condition.WITHDRAWN
        elif slot.down:
            condition = engine_states.Condition.UNCERTAIN
        return engine_states.EngineState(
            slot.engine.engine, slot.engine.role, condition, slot.since
        )

    def _planner_view(
        self, report: engine_states.EngineState, slot: simulation_types.EngineSlot
    ) -> engine_states.EngineState:
        """Return the engine state for the planner, with the role from the order slot.

        Order slots are always up to date, while the other fields come from reports,
        which are delayed. With the role of a delayed report, the planner would see the
        old role after a change and order the same change again.
        """
        if slot.order:
            return dataclasses.replace(
                report, role=slot.order.role, condition=engine_states.Condition.CHANGING
            )
        times = [t for t in (report.since, slot.role_since) if t is not None]
        return dataclasses.replace(
            report, role=slot.engine.role, since=max(times, default=None)
        )

    def _plan(self, now: float) -> None:
        moment = datetime.timedelta(seconds=now)
        self._history.observe(moment, self._totals)
        states = [
            self._planner_view(report, slot)
            for report, slot in zip(self._reports[0], self._slots, strict=True)
        ]
        for change in self._planner.plan(
            moment, states, self._history.samples, self._scenario.policy
        ):
            slot = self._by_name[change.engine]
            if slot.order or slot.down or slot.withdrawn or now > patterns.DURATION_S:
                continue
            slot.order = change
            self.outcome.changes.append((now, change))
            self._begin_change(now, slot)
        self._schedule(now + PLAN_INTERVAL_S, self._plan)


def simulate(
    scenario: simulation_types.Scenario,
    planner: simulation_types.Planner,
    options: simulation_types.Options | None = None,
) -> simulation_types.Outcome:
    """Serve a load once and return the outcome."""
    return Simulation(scenario, planner, options or simulation_types.Options()).run()
