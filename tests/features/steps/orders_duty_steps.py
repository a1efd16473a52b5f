import asyncio
import datetime
import random

import behave
import hypothesis
from hypothesis import strategies

from pimentolatch import clock
from pimentolatch.audit import trail
from pimentolatch.backend import order_client
from pimentolatch.control import drain, leader_lease, reconciler, slots
from pimentolatch.decisions import roles, serving_floor
from pimentolatch.document import schema
from standins import memory_store, object_table

DOMAIN = "north"
STEP = datetime.timedelta(milliseconds=100)


class Lease:
    """Instances that share a lease, on a manual clock."""

    def __init__(self, count):
        self.time = clock.ManualClock()
        self.faults = memory_store.StoreFaults()
        table = object_table.ObjectTable()
        self.leases = {}
        self.stores = []
        for number in range(count):
            name = f"entry-{number}"
            link = memory_store.MemoryStore(
                table, time=self.time, link=name, faults=self.faults
            )
            self.stores.append(link)
            self.leases[name] = leader_lease.LeaderLease(
                link,
                DOMAIN,
                name,
                time=self.time,
                random_source=random.Random(number),
            )
        self.due = dict.fromkeys(self.leases, datetime.timedelta())
        self.held_by = []

    def holders(self):
        return [name for name, lease in self.leases.items() if lease.held]

    def calls(self):
        return sum(link.calls for link in self.stores)

    async def _run(self, duration):
        end = self.time.monotonic() + duration
        while self.time.monotonic() < end:
            for name, lease in self.leases.items():
                if self.time.monotonic() >= self.due[name]:
                    pause = await lease.step()
                    self.due[name] = self.time.monotonic() + pause
            self.held_by.append(self.holders())
            self.time.advance(STEP)

    def run(self, seconds):
        asyncio.run(self._run(datetime.timedelta(seconds=seconds)))


@behave.given("duty: {count:d} instances share the lease of a failure domain")
def share_lease(context, count):
    context.lease = Lease(count)
    context.lease.run(10)
    (context.first,) = context.lease.holders()
    context.epoch = context.lease.leases[context.first].epoch


@behave.when("duty: the holder is cut off from the platform for {seconds:d} s")
def holder_is_cut_off(context, seconds):
    context.lease.faults.cut.add(context.first)
    context.lease.run(seconds)


@behave.when("duty: the holder gives the lease up")
def holder_gives_up(context):
    asyncio.run(context.lease.leases[context.first].release())
    context.lease.due[context.first] += datetime.timedelta(days=1)


@behave.when("duty: the answers of {count:d} writes are lost")
def lose_answers(context, count):
    context.lease.faults.lost_replies = count
    context.lease.run(30)
    assert context.lease.faults.lost_replies == 0


@behave.when("duty: the platform is out for {seconds:d} s")
def platform_is_out(context, seconds):
    context.lease.faults.outage = True
    context.lease.run(seconds)
    context.lease.faults.clear()


@behave.then("duty: no second of the next {seconds:d} saw more than {limit:d} calls")
def no_rush(context, seconds, limit):
    before = context.lease.calls()
    for _ in range(seconds):
        context.lease.run(1)
        after = context.lease.calls()
        assert after - before <= limit, after - before
        before = after


@behave.then("duty: one instance holds it")
def one_holds(context):
    assert len(context.lease.holders()) == 1


@behave.then("duty: at no moment did two instances hold the lease")
def one_holder(context):
    assert max(len(names) for names in context.lease.held_by) == 1


@behave.then("duty: another instance holds it")
def another_holds(context):
    (holder,) = context.lease.holders()
    assert holder != context.first


@behave.then("duty: another instance holds it within one look of the others")
def another_holds_soon(context):
    longest_look = leader_lease.LeaseSettings().duration.total_seconds() * 1.2
    context.lease.run(longest_look + 0.1)
    another_holds(context)


@behave.then("duty: the same instance held it all the time in the same tenure")
def same_tenure(context):
    assert context.lease.holders() == [context.first]
    began = context.lease.held_by.index([context.first])
    assert all(held == [context.first] for held in context.lease.held_by[began:])
    assert context.lease.leases[context.first].epoch == context.epoch


def engine(number, models=("model",), **more):
    return schema.Engine(
        name=f"engine-{number}",
        failure_domain=DOMAIN,
        address={"host": "127.0.0.1", "port": 1000 + number},
        checks_fencing=True,
        models=models,
        **more,
    )


def document(engines, **policy):
    return schema.FleetDocument(
        fleet="test",
        failure_domains=(schema.FailureDomain(name=DOMAIN, region="region"),),
        models=(schema.Model(name="model"), schema.Model(name="other")),
        backend_servers=tuple(engines),
        roles=schema.RolePolicy(**policy),
    )


@strategies.composite
def situations(draw):
    count = draw(strategies.integers(1, 8))
    models = strategies.sampled_from((("model",), ("other",), ("model", "other")))
    engines = [
        engine(
            number,
            draw(models),
            serving=draw(strategies.sampled_from(("active", "active", "withdrawn"))),
        )
        for number in range(count)
    ]
    names = strategies.sets(strategies.sampled_from([e.name for e in engines]))
    draining = draw(names)
    wanted = draw(names)
    return reconciler.ObservedState(
        document(
            engines,
            concurrent_changes=draw(strategies.integers(0, 4)),
            least_serving_share=draw(strategies.sampled_from((0.0, 0.3, 0.5, 0.8, 1))),
        ),
        1,
        DOMAIN,
        {
            name: slots.Slot(name, 1, slots.SlotState.DRAINING)
            for name in sorted(draining)
        },
        {},
        {name: drain.InUse("streams") for name in sorted(draining)},
        unreachable=draw(names),
        leaving=draw(names),
        planned_changes={
            name: roles.RoleChange(name, "decode", "mix") for name in wanted
        },
    )


def check_bounds(situation):
    steps = reconciler.next_steps(situation)
    begun = {
        step.slot.engine
        for step in steps
        if isinstance(step, reconciler.BeginDrain)
        and step.reason != "withdrawn by the document"
    }
    returned = {
        step.slot.engine for step in steps if isinstance(step, reconciler.AbandonDrain)
    }
    active = [e for e in situation.engines if e.serving == "active"]
    away = situation.leaving | situation.unreachable
    changing = {e.name for e in active if e.name in situation.slots_by_engine}
    policy = situation.document.roles
    if begun:
        assert len(begun | changing) <= policy.concurrent_changes
    for model in ("model", "other"):
        of_model = [e for e in active if model in e.models]
        least = serving_floor.min_serving(len(of_model), policy.least_serving_share)
        before = {e.name for e in of_model} - away - changing
        after = (before - begun) | (returned & {e.name for e in of_model})
        assert len(after) >= min(least, len(before)), (model, begun, before)


@behave.when("duty: random situations of up to 8 engines are decided on")
def random_situations(context):
    @hypothesis.settings(
        derandomize=True, database=None, max_examples=300, deadline=None
    )
    @hypothesis.given(situations())
    def decide(situation):
        check_bounds(situation)
        context.decided = getattr(context, "decided", 0) + 1

    decide()


@behave.then("duty: no decision takes more out of service than the document allows")
def bounds_were_kept(context):
    assert context.decided >= 300


def steps_while_two_drain(concurrent_changes, unreachable=()):
    draining = ("engine-1", "engine-2")
    return reconciler.next_steps(
        reconciler.ObservedState(
            document(
                [engine(1), engine(2), engine(3)],
                concurrent_changes=concurrent_changes,
                least_serving_share=0.3,
            ),
            1,
            DOMAIN,
            {name: slots.Slot(name, 1, slots.SlotState.DRAINING) for name in draining},
            {name: order_client.Unreachable("down") for name in unreachable},
            {name: drain.InUse("streams") for name in draining},
            unreachable=set(unreachable),
        )
    )


@behave.when("duty: 2 of 3 engines drain and the third can't be reached")
def two_drain(context):
    context.steps = steps_while_two_drain(2, ("engine-3",))


@behave.when("duty: 2 of 3 engines drain where one change at once is allowed")
def too_many_drain(context):
    context.steps = steps_while_two_drain(1)


@behave.then("duty: at least one drain is given up")
def drain_given_up(context):
    kinds = [type(step) for step in context.steps]
    assert kinds.count(reconciler.AbandonDrain) == 1, context.steps


@behave.given("audit: two instances that write one trail")
def two_writers(context):
    context.time = clock.ManualClock()
    context.faults = memory_store.StoreFaults()
    context.stored = object_table.ObjectTable()
    context.writers = [
        trail.AuditTrail(
            memory_store.MemoryStore(
                context.stored, time=context.time, faults=context.faults
            ),
            DOMAIN,
            f"entry-{number}",
            context.time,
        )
        for number in range(2)
    ]
    context.noted = []


def note(context, writer):
    detail = f"change {len(context.noted)}"
    context.noted.append(detail)
    writer.add(1, "order", "engine-1", "done", detail)


async def _flush(writer):
    for _ in range(50):
        if await writer.flush():
            return
    raise AssertionError("the records were never written")


async def _note_in_turns(context, changes, lost):
    for number in range(changes):
        writer = context.writers[number // 10 % 2]
        if number % (changes // lost) == 0:
            context.faults.lost_replies += 1
        note(context, writer)
        if number % 10 == 9:
            await _flush(writer)


@behave.when(
    "audit: they note {changes:d} changes in turns while {lost:d} answers are lost"
)
def note_in_turns(context, changes, lost):
    asyncio.run(_note_in_turns(context, changes, lost))


@behave.when("audit: the platform is out while {changes:d} changes are noted")
def note_in_outage(context, changes):
    async def run():
        writer = context.writers[0]
        context.faults.outage = True
        for _ in range(changes):
            note(context, writer)
            assert not await writer.flush()
        context.faults.clear()
        await _flush(writer)

    asyncio.run(run())


@behave.then("audit: the newest {count:d} changes are there, once each and in order")
def newest_changes(context, count):
    reader = trail.AuditReader(
        memory_store.MemoryStore(context.stored, time=context.time)
    )
    found = asyncio.run(reader.latest(DOMAIN, count))
    assert [record.detail for record in found] == context.noted[-count:]


@behave.then("audit: no more pages are kept than the bound")
def pages_are_bounded(context):
    pages = context.stored.list_objects(trail.PAGE_KIND)
    written = len(context.noted) // trail.RECORDS_PER_PAGE
    assert trail.PAGES - 1 <= len(pages) <= trail.PAGES + 1, len(pages)
    assert written > trail.PAGES


@behave.then('slots: "{event}" is refused in the state "{state}"')
def step_is_refused(context, event, state):
    slot = slots.Slot("engine-1", 1, slots.SlotState(state))
    try:
        moved = slot.after_event(slots.Event(event))
    except ValueError:
        return
    raise AssertionError(moved)
