"""Simulates a fleet in which some requests crash the servers that run them.

There is no network. The quarantine, the notices between instances and the choice of
receivers are the product's. One beacon in ten is lost. Servers are represented by the
dispatches that they run; these counts are refreshed every quarter second for all
instances.
"""

import collections
import dataclasses
import datetime
import heapq
import itertools
import random

from pimentolatch import clock, settings
from pimentolatch.decisions import crash_suspects, neighbours
from pimentolatch.gateway import quarantine
from pimentolatch.routes import servers

# Beacons as in the product: in a small fleet every instance sends to every other each
# 250 ms; in a large one it sends to its neighbours each 400 ms and to one instance of
# each other failure domain each 800 ms.
BEACON_INTERVAL_S = 0.25
LARGE_FLEET_BEACON_INTERVAL_S = 0.4
FAR_BEACON_EVERY = 2
BEACON_LOSS_RATE = 0.1
# Time after which a server crashes that runs a fatal request.
CRASH_AFTER_S = 0.1
RESTART_AFTER_S = 3.0
CRASH_DETECTION_S = 0.005
KILLED_WITHIN_S = 0.5
RUN_S = (0.2, 1.5)
ATTEMPTS = 3
# Time between two attempts of a fatal request.
FATAL_RETRY_S = (0.3, 3.0)
PROPAGATION_S = 3.0


@dataclasses.dataclass(slots=True)
class Request:
    """One attempt of a client.

    Attributes:
        fatal: Whether it crashes the servers that run it.
        attempts: Number of dispatches so far.
        crashes: Number of servers that crashed while they ran it.
        retried: Whether the client has already retried.
    """

    digest: int
    instance: "Instance"
    fatal: bool
    attempts: int = 0
    crashes: int = 0
    retried: bool = False
    part_digests: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """One dispatch of a request to a server."""

    request: Request
    server: servers.Server
    started: datetime.timedelta


class Instance:
    """One instance: its quarantine and its neighbours."""

    def __init__(self, name, domain, time):
        self.place = neighbours.Place(name, domain)
        self.quarantine = quarantine.Quarantine(crash_suspects.Policy(), time)
        self.neighbours = neighbours.Neighbours(())


@dataclasses.dataclass(slots=True)
class Result:
    """Counts over a run.

    Attributes:
        served: Requests that were answered.
        lost: Harmless requests without an answer although their client had retried.
        refused_innocent: Requests in quarantine that crash no server.
        lost_two_servers: Requests that crash no server but lost at least two.
        crashes: Times of the crashes by the digest of the fatal request, in seconds.
        late_dispatches: Dispatches of a fatal request, by its digest, that began more
            than `PROPAGATION_S` after its third crash.
    """

    served: int = 0
    lost: int = 0
    refused_innocent: int = 0
    lost_two_servers: int = 0
    crashes: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    late_dispatches: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class CrashReplay:
    """Discrete-event simulation of the fleet.

    Args:
        instances, domains, engines: Number of each in the fleet.
        seed: Seed of all random choices.
        rate: Requests per second.
        crash_after_s: Bounds of the time after which a server crashes that runs a
            fatal request.
    """

    def __init__(
        self,
        instances,
        domains,
        engines,
        seed,
        rate,
        crash_after_s=(CRASH_AFTER_S, CRASH_AFTER_S),
    ):
        self._rng = random.Random(seed)
        # A separate generator, so that the bounds do not change other random choices.
        self._fatal_rng = random.Random(seed)
        self._crash_after_s = crash_after_s
        self._time = clock.ManualClock()
        self._numbers = itertools.count()
        self._events = []
        self._rate = rate
        self._until = 0.0
        self._server_numbers = itertools.count()
        self._instances = [
            Instance(f"10.{n % domains}.0.{n}", f"d{n % domains}", self._time)
            for n in range(instances)
        ]
        self._by_host = {i.place.host: i for i in self._instances}
        places = [i.place for i in self._instances]
        for instance in self._instances:
            others = [place for place in places if place is not instance.place]
            instance.neighbours = neighbours.choose(instance.place, others)
            instance.quarantine.set_partial_view(bool(instance.neighbours.far))
        self._running = {}
        self._observed_counts = {}
        for _ in range(engines):
            self._start_server()
        self.result = Result()

    def run(self, seconds, fatal=0, kills=()):
        """Run the simulation.

        Args:
            seconds: Time in which requests arrive.
            fatal: Number of fatal requests.
            kills: Pairs of a time in seconds and the share of the servers that are
                killed then.

        Returns:
            The counts.
        """
        self._until = seconds
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._sample_counts)
        large = bool(self._instances[0].neighbours.far)
        for instance in self._instances:
            self._schedule(
                self._rng.uniform(0, BEACON_INTERVAL_S),
                self._send_beacons,
                instance,
                large,
                0,
            )
        for _ in range(fatal):
            digest = self._rng.getrandbits(48)
            self._schedule(self._rng.uniform(1, 3), self._repeat_fatal, digest)
        for second, share in kills:
            self._schedule(second, self._kill, share)
        while self._events:
            at, _, call, args = heapq.heappop(self._events)
            self._time.advance(datetime.timedelta(seconds=at) - self._time.monotonic())
            call(*args)
        return self.result

    def _schedule(self, second, call, *args):
        heapq.heappush(self._events, (second, next(self._numbers), call, args))

    def _now(self):
        return self._time.monotonic().total_seconds()

    def _start_server(self):
        name = f"s{next(self._server_numbers)}"
        address = settings.Address.from_text("127.0.0.1:80")
        server = servers.Server(name, "lm", address, "", False, None, 64)
        self._running[server] = []
        self._observed_counts[server] = 0

    def _sample_counts(self):
        """Refresh the number of dispatches at each server that instances see."""
        self._observed_counts = {
            server: len(dispatches) for server, dispatches in self._running.items()
        }
        if self._now() < self._until:
            self._schedule(self._now() + BEACON_INTERVAL_S, self._sample_counts)

    def _arrive(self):
        if self._now() >= self._until:
            return
        self._dispatch(Request(self._rng.getrandbits(48), self._any_instance(), False))
        self._schedule(self._now() + self._rng.expovariate(self._rate), self._arrive)

    def _any_instance(self):
        return self._rng.choice(self._instances)

    def _repeat_fatal(self, digest):
        if self._now() >= self._until:
            return
        self._dispatch(Request(digest, self._any_instance(), True))
        self._schedule(
            self._now() + self._rng.uniform(*FATAL_RETRY_S), self._repeat_fatal, digest
        )

    def _dispatch(self, request):
        crash_quarantine = request.instance.quarantine
        verdict = crash_quarantine.verdict(request)
        if verdict is not None:
            if not request.fatal:
                self._refuse(request, verdict)
            return
        if request.attempts >= ATTEMPTS:
            if not request.fatal:
                self._fail(request)
            return
        if not self._running:
            self._schedule(self._now() + 0.1, self._dispatch, request)
            return
        request.attempts += 1
        avoided = crash_quarantine.avoided(request, self._running)
        usable = [s for s in self._running if s.incarnation not in avoided]
        server = min(
            usable, key=lambda s: (self._observed_counts.get(s, 0), self._rng.random())
        )
        # An instance counts its own dispatches at once.
        self._observed_counts[server] = self._observed_counts.get(server, 0) + 1 / len(
            self._instances
        )
        dispatch = Dispatch(request, server, self._time.monotonic())
        self._running[server].append(dispatch)
        if request.fatal:
            crash_times = self.result.crashes[request.digest]
            if len(crash_times) >= 3 and self._now() > crash_times[2] + PROPAGATION_S:
                self.result.late_dispatches[request.digest] += 1
            delay = self._fatal_rng.uniform(*self._crash_after_s)
            self._schedule(self._now() + delay, self._crash_by, dispatch)
        else:
            duration = self._rng.uniform(*RUN_S)
            self._schedule(self._now() + duration, self._complete, dispatch)

    def _refuse(self, request, verdict):
        """Refuse a harmless request; unless it is in quarantine, its client retries."""
        if verdict.confirmed:
            self.result.refused_innocent += 1
            return
        retry = Request(request.digest, self._any_instance(), False, retried=True)
        left = verdict.remaining.total_seconds()
        self._schedule(
            self._now() + left + self._rng.uniform(0, 0.1), self._dispatch, retry
        )

    def _fail(self, request):
        """Fail a client's attempt; the client retries once, at any instance."""
        if request.retried:
            self.result.lost += 1
            return
        retry = Request(request.digest, self._any_instance(), False, retried=True)
        self._schedule(self._now() + self._rng.uniform(0.2, 1.0), self._dispatch, retry)

    def _complete(self, dispatch):
        if dispatch not in self._running.get(dispatch.server, ()):
            return
        self._running[dispatch.server].remove(dispatch)
        crash_quarantine = dispatch.request.instance.quarantine
        crash_quarantine.record_response(dispatch.server, dispatch.started)
        crash_quarantine.record_completion(dispatch.request)
        self.result.served += 1

    def _crash_by(self, dispatch):
        if dispatch in self._running.get(dispatch.server, ()):
            self.result.crashes[dispatch.request.digest].append(self._now())
            self._crash(dispatch.server)

    def _kill(self, share):
        """Kill a share of the servers at random times within half a second."""
        for server in list(self._running):
            if self._rng.random() < share:
                at = self._now() + self._rng.uniform(0, KILLED_WITHIN_S)
                self._schedule(at, self._crash, server)

    def _crash(self, server):
        if server not in self._running:
            return
        lost = self._running.pop(server)
        self._schedule(self._now() + RESTART_AFTER_S, self._start_server)
        for dispatch in lost:
            request = dispatch.request
            crash_quarantine = request.instance.quarantine
            crash_quarantine.record_crash(request, server, dispatch.started)
            request.crashes += 1
            self.result.lost_two_servers += not request.fatal and request.crashes == 2
        for dispatch in lost:
            self._schedule(
                self._now() + CRASH_DETECTION_S, self._dispatch, dispatch.request
            )

    def _send_beacons(self, instance, large, number):
        crash_quarantine = instance.quarantine
        self._send(instance.neighbours.near, crash_quarantine.take_near())
        if large and number % FAR_BEACON_EVERY == 0:
            hosts = [self._rng.choice(hosts) for hosts in instance.neighbours.far]
            self._send(hosts, crash_quarantine.take_far())
        if self._now() < self._until:
            interval = LARGE_FLEET_BEACON_INTERVAL_S if large else BEACON_INTERVAL_S
            self._schedule(
                self._now() + interval, self._send_beacons, instance, large, number + 1
            )

    def _send(self, hosts, reports):
        if reports == quarantine.CrashReports():
            return
        for host in hosts:
            if self._rng.random() >= BEACON_LOSS_RATE:
                self._by_host[host].quarantine.receive(reports)
