"""Instances that count and report usage, on random schedules without a network."""

import asyncio
import collections
import dataclasses
import datetime
import random
import types

from pimentolatch import clock
from pimentolatch.decisions import usage
from pimentolatch.gateway.leader import leadership, lease, usage_reports
from pimentolatch.gateway.peers import usage_exchange
from pimentolatch.platform import control_api
from standins import memory_store, object_table

WINDOW = datetime.timedelta(seconds=5)
HANDOVER_GAP = datetime.timedelta(seconds=3)
STEP = datetime.timedelta(milliseconds=500)
NAMES = ("one", "two", "three")
CUSTOMERS = ("north", "south", "east")
DELAY_S = (2.0, 9.0)


@dataclasses.dataclass(frozen=True)
class Call:
    """A usage report as the receiver got it."""

    at: datetime.timedelta
    host: str
    fence: int
    window: int
    counts: tuple


class Receiver:
    """Receiver of usage reports that randomly loses, refuses or delays them."""

    def __init__(self, world, faulty):
        self._world = world
        self._faulty = faulty
        self.highest_fence = 0
        self.accepted = []
        self.sent = []
        self.delayed = []
        self.unresponsive = False

    def for_host(self, host):
        """Return the receiver's client for the instance on a host."""

        async def report(holder, window, counts):
            return await self._report(host, holder, window, counts)

        return types.SimpleNamespace(report_usage=report)

    async def _report(self, host, holder, window, counts):
        now = self._world.time.monotonic()
        call = Call(now, host, holder.fence, window, tuple(sorted(counts.items())))
        if host in self._world.cut_off:
            return control_api.Unanswered("no connection", reached=False)
        self.sent.append(call)
        rng = self._world.rng
        draw = rng.random() if self._faulty else 1.0
        if self.unresponsive or draw < 0.1:
            return control_api.Unanswered("nothing done", reached=True)
        if draw < 0.2:
            self.delayed.append(
                (now + datetime.timedelta(seconds=rng.uniform(*DELAY_S)), call)
            )
            return control_api.Unanswered("carried out late", reached=True)
        if draw < 0.3:
            return control_api.NotNow("too many calls")
        outcome = self._execute(call)
        if draw < 0.4:
            return control_api.Unanswered("carried out", reached=True)
        return outcome

    def execute_delayed(self):
        now = self._world.time.monotonic()
        due = [call for at, call in self.delayed if at <= now]
        self.delayed = [(at, call) for at, call in self.delayed if at > now]
        for call in due:
            self._execute(call)

    def _execute(self, call):
        if call.fence < self.highest_fence:
            return control_api.FencedOff("a higher fence was seen")
        self.highest_fence = call.fence
        self.accepted.append(call)
        return control_api.Accepted()


class UncommittedReporter(usage_reports.UsageReporter):
    """Sends its counts without first committing them to the store."""

    async def _read_record(self):
        if not await self._leadership.acquire():
            return False
        self._record = self._record or usage_reports._Record(0, {})
        return True

    async def _commit(self, window, counts):
        self._record.windows[window] = counts
        return True


class Instance:
    """One incarnation of an instance."""

    def __init__(self, world, name, reporter_type):
        self.world = world
        self.name = name
        self.host = f"host-{name}"
        self.incarnation = f"{name}-{next(world.incarnation_numbers)}"
        origin = usage.Origin(name, self.incarnation)
        self.counter = usage.UsageCounter(origin, WINDOW, world.time.now())
        link = memory_store.MemoryStore(
            world.table, time=world.time, link=name, faults=world.faults
        )
        leader_lease = lease.LeaderLease(
            link, name, self.incarnation, HANDOVER_GAP, world.time
        )
        self.peers = types.SimpleNamespace(live=self.live)
        self.leadership = leadership.Leadership(
            name, self.host, self.peers, leader_lease, world.time, permanent=True
        )
        self.reporter = reporter_type(
            name,
            WINDOW,
            self.counter,
            self.peers,
            self.leadership,
            link,
            world.receiver.for_host(self.host),
            world.time,
        )

    def live(self):
        """Return the peers whose beacons it receives."""
        return [
            types.SimpleNamespace(
                host=other.host, beacon=types.SimpleNamespace(instance=other.name)
            )
            for other in self.world.running()
            if other is not self and self.world.connected(self, other)
        ]


class UsageWorld:
    """Three instances, the store and the receiver of reports.

    Args:
        seed: Seed of all random choices.
        faulty: Whether faults are injected.
        reporter_type: Class of the usage reporter.
    """

    def __init__(self, seed, faulty=True, reporter_type=usage_reports.UsageReporter):
        self.rng = random.Random(seed)
        self.time = clock.ManualClock()
        self.faults = memory_store.StoreFaults()
        self.table = object_table.ObjectTable()
        self.incarnation_numbers = iter(range(1_000_000))
        self.receiver = Receiver(self, faulty)
        self.cut_off = set()
        self.frozen = {}
        self._faulty = faulty
        self._reporter_type = reporter_type
        self.true_counts_by_window = collections.defaultdict(collections.Counter)
        self.instances = {name: Instance(self, name, reporter_type) for name in NAMES}

    def running(self):
        """Return the instances that are not frozen."""
        now = self.time.monotonic()
        return [
            instance
            for instance in self.instances.values()
            if self.frozen.get(instance.host, datetime.timedelta()) <= now
        ]

    def connected(self, one, two):
        return (one.host in self.cut_off) == (two.host in self.cut_off)

    async def play(self, seconds):
        """Run for some seconds, then end all faults."""
        for number in range(round(seconds / STEP.total_seconds())):
            if self._faulty and self.rng.random() < 0.15:
                self._inject_fault()
            await self._step(number)
        self._heal()

    async def settle(self):
        """Run on without faults or new requests until all due reports were sent."""
        for number in range(60):
            await self._step(number, start_requests=False)

    async def _step(self, number, start_requests=True):
        self.time.advance(STEP)
        self.receiver.execute_delayed()
        running = self.running()
        for instance in running:
            if start_requests:
                self._start_requests(instance)
        if number % 2 == 0:
            self._send_rows(running)
        for instance in running:
            self._send_announcements(instance, running)
        for instance in running:
            await self._run_reporter(instance)

    async def _run_reporter(self, instance):
        await instance.leadership.acquire()
        if self._faulty and self.rng.random() < 0.03:
            # Frozen between two steps of a report: it resumes with outdated state.
            self.frozen[instance.host] = self.time.monotonic() + datetime.timedelta(
                seconds=self.rng.uniform(1, 9)
            )
            return
        if instance.leadership.active:
            await instance.reporter.report_due()

    def _start_requests(self, instance):
        now = self.time.now()
        for customer in CUSTOMERS:
            for _ in range(self.rng.randrange(4)):
                if instance.counter.count_started(customer, now):
                    self.true_counts_by_window[usage.window_of(now, WINDOW)][
                        customer
                    ] += 1

    def _send_rows(self, running):
        for instance in running:
            others = [
                other
                for other in running
                if other is not instance and self.connected(instance, other)
            ]
            live = {other.name for other in others}
            rows = [
                *instance.counter.own_rows(self.time.now()),
                *instance.counter.rows_of_terminated(live),
            ]
            for other in others:
                for row in rows:
                    if not self._faulty or self.rng.random() < 0.9:
                        other.counter.merge(row)

    def _send_announcements(self, instance, running):
        for other in running:
            if other is not instance and self.connected(instance, other):
                other.leadership.receive(instance.leadership.announcement())

    def _inject_fault(self):
        name = self.rng.choice(NAMES)
        instance = self.instances[name]
        fault = self.rng.choice(
            ("lose", "late", "store cut", "store out", "kill", "cut off", "silent")
            + 3 * ("heal",)
        )
        if fault == "lose":
            self.faults.lost_replies = 1
        elif fault == "late":
            self.faults.late_writes = 1
        elif fault == "store cut":
            self.faults.cut.add(name)
        elif fault == "store out":
            self.faults.outage = True
        elif fault == "kill":
            self.instances[name] = Instance(self, name, self._reporter_type)
        elif fault == "cut off":
            self.cut_off.add(instance.host)
            self.faults.cut.add(name)
        elif fault == "silent":
            self.receiver.unresponsive = True
        else:
            self._heal()

    def _heal(self):
        self.faults.clear()
        self.cut_off.clear()
        self.receiver.unresponsive = False

    def hold_store(self, name):
        """Return the store of an instance, which answers once it is told to."""
        lease_of = self.instances[name].leadership._lease
        lease_of._store = HeldStore(lease_of._store, self.time)
        return lease_of._store

    def contents(self):
        """Return the distinct contents that were accepted for each window."""
        found = collections.defaultdict(set)
        for call in self.receiver.accepted:
            found[call.window].add(call.counts)
        return found

    def hosts_by_fence(self):
        """Return the hosts that have sent each fencing token."""
        found = collections.defaultdict(set)
        for call in self.receiver.sent:
            found[call.fence].add(call.host)
        return found

    def min_handover_gap(self):
        """Return the shortest time between consecutive calls of different hosts."""
        pairs = zip(self.receiver.sent, self.receiver.sent[1:], strict=False)
        gaps = [b.at - a.at for a, b in pairs if a.host != b.host]
        return min(gaps, default=datetime.timedelta.max)

    def min_return_time(self):
        """Return the shortest time from a host's last call to its next one.

        Only the cases count in which exactly one other host called in between.
        """
        runs = []
        for call in self.receiver.sent:
            if not runs or runs[-1][0] != call.host:
                runs.append((call.host, call.at, call.at))
            else:
                runs[-1] = (call.host, runs[-1][1], call.at)
        spans = [
            c[1] - a[2]
            for a, _, c in zip(runs, runs[1:], runs[2:], strict=False)
            if a[0] == c[0]
        ]
        return min(spans, default=datetime.timedelta.max)


def play(seed, faulty=True, reporter_type=usage_reports.UsageReporter, seconds=60):
    """Run one world until all due reports were sent."""
    world = UsageWorld(seed, faulty, reporter_type)

    async def play_to_end():
        await world.play(seconds)
        await world.settle()

    asyncio.run(play_to_end())
    return world


def play_store_cut(offset, duration):
    """Cut the leader off from the store for a time, then let all reports be sent.

    Args:
        offset: When the cut begins, counted from the end of a window.
        duration: How long it lasts.
    """
    world = UsageWorld(1, faulty=False)
    start = 4 * WINDOW + offset

    async def play_to_end():
        for number in range(round(12 * WINDOW / STEP)):
            if world.time.monotonic() == start:
                (leader,) = (i for i in world.running() if i.leadership.active)
                world.faults.cut.add(leader.name)
            elif world.time.monotonic() == start + duration:
                world.faults.clear()
            await world._step(number)
        await world.settle()

    asyncio.run(play_to_end())
    return world


class HeldStore:
    """Store that answers once it is told to.

    Attributes:
        answers: Set while calls are answered.
    """

    def __init__(self, found, time):
        self._found = found
        self.time = time
        self.answers = asyncio.Event()
        self.answers.set()

    async def get(self, kind, name):
        await self.answers.wait()
        return await self._found.get(kind, name)

    async def put(self, kind, name, value, *, if_version):
        await self.answers.wait()
        return await self._found.put(kind, name, value, if_version=if_version)

    def stored_fence(self):
        """Return the fence of the lease in the store."""
        return self._found._table.get("pimentolatch-leases", "stages").value["fence"]


class _Exchange(usage_exchange.UsageExchange):
    """Hands its datagrams to the other exchange at once."""

    def __init__(self, pair, instance):
        address = types.SimpleNamespace(host=instance.host, port=1)
        super().__init__(
            address,
            instance.counter,
            instance.peers,
            instance.leadership,
            instance.time,
        )
        self._pair = pair

    def send(self, hosts, datagrams):
        for host in hosts:
            for datagram in datagrams:
                self._pair.exchanges[host].datagram_received(
                    datagram, (self._address.host, 1)
                )


class ExchangePair:
    """Two instances and the sockets over which they exchange counts."""

    def __init__(self):
        self.world = UsageWorld(1, faulty=False)
        self.world.instances.pop("three")
        self.one, self.two = (self.world.instances[name] for name in ("one", "two"))
        for instance in (self.one, self.two):
            instance.time = self.world.time
        self.exchanges = {
            instance.host: _Exchange(self, instance)
            for instance in (self.one, self.two)
        }

    def start_leading(self):
        """Have the first instance become the leader."""
        self.world.time.advance(datetime.timedelta(seconds=4))
        assert asyncio.run(self.one.leadership.acquire())
