import asyncio
import dataclasses
import datetime
import random

import behave

from pimentolatch import clock
from pimentolatch.gateway.leader import lease
from standins import memory_store, object_table

LEASE = datetime.timedelta(seconds=3)
TENTH = datetime.timedelta(milliseconds=100)
STEPS = 60


@dataclasses.dataclass(frozen=True)
class Order:
    """An order as it reached the engine's address."""

    at: datetime.timedelta
    holder: str
    fence: int
    life: int
    count: int


class HastyLease(lease.LeaderLease):
    """A lease that is taken over without watching it for long enough."""

    def _is_abandoned(self, version):
        return True


class Schedule:
    """Three instances, a store and an engine under one drawn schedule."""

    def __init__(self, seed, kind):
        self.chance = random.Random(seed)
        self.clock = clock.ManualClock()
        self.faults = memory_store.StoreFaults()
        table = object_table.ObjectTable()
        self.leases = {}
        for name in ("one", "two", "three"):
            link = memory_store.MemoryStore(
                table, time=self.clock, link=name, faults=self.faults
            )
            self.leases[name] = kind(link, name, "life", LEASE, self.clock)
        self.life = self.count = 0
        self.sent = []
        self.late = []
        self.carried_out = []
        self.restarted_between = 0

    async def play(self):
        for _ in range(STEPS):
            action = self.chance.choice(
                [self.order, self.order, self.order, self.fault, self.restart]
            )
            await action()
            await self.pass_time(self.chance.choice((0.1, 0.3, 1.0, 2.5, 4.0)))

    async def pass_time(self, seconds):
        for _ in range(round(seconds * 10)):
            self.clock.advance(TENTH)
            for _ in range(4):
                await asyncio.sleep(0)
            now = self.clock.monotonic()
            due = [order for at, order in self.late if at <= now]
            self.late = [(at, order) for at, order in self.late if at > now]
            for order in due:
                self.carry_out(order)

    async def order(self):
        """Take the lease, be paused perhaps, ask for the count, and order."""
        name = self.chance.choice(list(self.leases))
        held = self.leases[name]
        if not await held.acquire():
            return
        await self.pass_time(self.chance.choice((0, 0, 0, 1.0, 3.0)))
        life, count = self.life, self.count
        if self.chance.random() < 0.15:
            # Between report and order; the order's connection ends with the old life.
            self.life, self.count = self.life + 1, 0
            self.restarted_between += 1
        if not held.valid():
            return
        order = Order(self.clock.monotonic(), name, held.fence, life, count)
        self.sent.append(order)
        if self.chance.random() < 0.3:
            delay = datetime.timedelta(seconds=self.chance.uniform(2, 12))
            self.late.append((self.clock.monotonic() + delay, order))
        else:
            self.carry_out(order)

    def carry_out(self, order):
        if order.life == self.life and order.count == self.count:
            self.count += 1
            self.carried_out.append((order, self.life, self.count))

    async def fault(self):
        what = self.chance.choice(("lose", "late", "cut", "out", "heal", "heal"))
        if what == "lose":
            self.faults.lost_replies = 1
        elif what == "late":
            self.faults.late_writes = 1
        elif what == "cut":
            self.faults.cut.add(self.chance.choice(list(self.leases)))
        elif what == "out":
            self.faults.outage = True
        else:
            self.faults.clear()

    async def restart(self):
        if self.chance.random() < 0.3:
            self.life, self.count = self.life + 1, 0

    def closest(self):
        """Return the shortest time between orders of two holders."""
        pairs = zip(self.sent, self.sent[1:], strict=False)
        gaps = [b.at - a.at for a, b in pairs if a.holder != b.holder]
        return min(gaps, default=datetime.timedelta.max)


def play(context, count, kind):
    context.schedules = []
    for seed in range(count):
        schedule = Schedule(seed, kind)
        asyncio.run(schedule.play())
        context.schedules.append(schedule)


@behave.when("orders: {count:d} schedules are played")
def played(context, count):
    play(context, count, lease.LeaderLease)


@behave.when("orders: {count:d} schedules are played without the wait")
def played_hastily(context, count):
    play(context, count, HastyLease)


@behave.then("orders: orders of two holders were always a lease apart")
def lease_apart(context):
    for seed, schedule in enumerate(context.schedules):
        assert schedule.closest() >= LEASE, (seed, schedule.sent)
        fences = [order.fence for order in schedule.sent]
        assert fences == sorted(fences), (seed, fences)
        by_fence = {}
        for order in schedule.sent:
            assert by_fence.setdefault(order.fence, order.holder) == order.holder


@behave.then("orders: no order was carried out by another life or after a newer one")
def carried_out_rightly(context):
    for schedule in context.schedules:
        for order, life, count in schedule.carried_out:
            assert order.life == life and order.count == count - 1


@behave.then(
    "orders: holders changed in some schedule, and the engine started again before an"
    " order"
)
def schedules_reach(context):
    holders = [{order.holder for order in s.sent} for s in context.schedules]
    assert sum(len(names) > 1 for names in holders) > 20, holders
    assert sum(s.restarted_between for s in context.schedules) > 20


@behave.then("orders: in some schedule orders of two holders were closer than a lease")
def shown(context):
    assert any(schedule.closest() < LEASE for schedule in context.schedules)
