"""A fleet, without a network, in which some requests end the servers that run them.

The instances' quarantine and what they tell each other are those of the product; whom
an instance tells is chosen as in the product. Beacons get lost one time in ten. Servers
are counts of what runs; an instance knows the counts of others a quarter second late.
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

# Beacons as in the product: everybody hears everybody every 250 ms, or neighbours
# every 400 ms and one instance of each other domain every 800 ms.
INTERVAL_S = 0.25
INTERVAL_LARGE_S = 0.4
FAR_EVERY = 2
LOST_SHARE = 0.1
# A server ends this long after it began to run the request that ends it.
FATAL_AFTER_S = 0.1
BACK_AFTER_S = 3.0
NOTICED_AFTER_S = 0.005
KILLED_WITHIN_S = 0.5
RUN_S = (0.2, 1.5)
ATTEMPTS = 3
# Time between two attempts of a request that ends servers.
COMES_BACK_S = (0.3, 3.0)
CONTACT_S = 3.0


@dataclasses.dataclass(slots=True)
class Request:
    """One attempt of a client."""

    digest: int
    instance: "Instance"
    fatal: bool
    tries: int = 0
    servers_lost: int = 0
    returned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Sending:
    """A request at a server."""

    request: Request
    server: servers.Server
    begun: datetime.timedelta


class Instance:
    """What one instance knows."""

    def __init__(self, name, domain, time):
        self.place = neighbours.Place(name, domain)
        self.quarantine = quarantine.Quarantine(crash_suspects.Policy(), time)
        self.told = neighbours.Neighbours(())


@dataclasses.dataclass(slots=True)
class Result:
    """What was seen."""

    served: int = 0
    lost: int = 0
    refused_innocent: int = 0
    lost_more_than_one: int = 0
    ends: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    late_sendings: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class CrashReplay:
    """The fleet and its events.

    Args:
        instances, domains, engines: Sizes.
        seed: Draws all.
        rate: Requests a second.
        fatal_after_s: Bounds of the time after which a server ends that runs a
            request which ends it.
    """

    def __init__(
        self,
        instances,
        domains,
        engines,
        seed,
        rate,
        fatal_after_s=(FATAL_AFTER_S, FATAL_AFTER_S),
    ):
        self._draw = random.Random(seed)
        # Drawn apart, so that the other draws are the same whatever the bounds.
        self._draw_fatal = random.Random(seed)
        self._fatal_after_s = fatal_after_s
        self._time = clock.ManualClock()
        self._numbers = itertools.count()
        self._events = []
        self._rate = rate
        self._until = 0.0
        self._lives = itertools.count()
        self._instances = [
            Instance(f"10.{n % domains}.0.{n}", f"d{n % domains}", self._time)
            for n in range(instances)
        ]
        self._by_host = {i.place.host: i for i in self._instances}
        places = [i.place for i in self._instances]
        for instance in self._instances:
            others = [place for place in places if place is not instance.place]
            instance.told = neighbours.choose(instance.place, others)
            instance.quarantine.partial_view = bool(instance.told.far)
        self._running = {}
        self._seen = {}
        for _ in range(engines):
            self._start_server()
        self.result = Result()

    def run(self, seconds, fatal=0, kills=()):
        """Play some seconds; returns what was seen.

        Args:
            seconds: How long requests arrive.
            fatal: How many requests end the servers that run them.
            kills: Pairs of a second and the share of the servers that end then.
        """
        self._until = seconds
        self._at(0.0, self._arrive)
        self._at(0.0, self._look)
        large = bool(self._instances[0].told.far)
        for instance in self._instances:
            self._at(self._draw.uniform(0, INTERVAL_S), self._tell, instance, large, 0)
        for _ in range(fatal):
            digest = self._draw.getrandbits(48)
            self._at(self._draw.uniform(1, 3), self._come_back, digest)
        for second, share in kills:
            self._at(second, self._kill, share)
        while self._events:
            at, _, call, args = heapq.heappop(self._events)
            self._time.advance(datetime.timedelta(seconds=at) - self._time.monotonic())
            call(*args)
        return self.result

    def _at(self, second, call, *args):
        heapq.heappush(self._events, (second, next(self._numbers), call, args))

    def _now(self):
        return self._time.monotonic().total_seconds()

    def _start_server(self):
        name = f"s{next(self._lives)}"
        address = settings.Address.from_text("127.0.0.1:80")
        server = servers.Server(name, "lm", address, "", False, None, 64)
        self._running[server] = []
        self._seen[server] = 0

    def _look(self):
        """Let the instances know how much runs where."""
        self._seen = {server: len(ran) for server, ran in self._running.items()}
        if self._now() < self._until:
            self._at(self._now() + INTERVAL_S, self._look)

    def _arrive(self):
        if self._now() >= self._until:
            return
        self._ask(Request(self._draw.getrandbits(48), self._any_instance(), False))
        self._at(self._now() + self._draw.expovariate(self._rate), self._arrive)

    def _any_instance(self):
        return self._draw.choice(self._instances)

    def _come_back(self, digest):
        if self._now() >= self._until:
            return
        self._ask(Request(digest, self._any_instance(), True))
        self._at(
            self._now() + self._draw.uniform(*COMES_BACK_S), self._come_back, digest
        )

    def _ask(self, request):
        known = request.instance.quarantine
        verdict = known.verdict(request)
        if verdict is not None:
            if not request.fatal:
                self._refuse(request, verdict)
            return
        if request.tries >= ATTEMPTS:
            if not request.fatal:
                self._fail(request)
            return
        if not self._running:
            self._at(self._now() + 0.1, self._ask, request)
            return
        request.tries += 1
        avoided = known.avoided(request, self._running)
        usable = [s for s in self._running if s.incarnation not in avoided]
        server = min(usable, key=lambda s: (self._seen.get(s, 0), self._draw.random()))
        # An instance counts at once what it sends itself.
        self._seen[server] = self._seen.get(server, 0) + 1 / len(self._instances)
        sending = Sending(request, server, self._time.monotonic())
        self._running[server].append(sending)
        if request.fatal:
            ended = self.result.ends[request.digest]
            if len(ended) >= 3 and self._now() > ended[2] + CONTACT_S:
                self.result.late_sendings[request.digest] += 1
            after = self._draw_fatal.uniform(*self._fatal_after_s)
            self._at(self._now() + after, self._end_by, sending)
        else:
            took = self._draw.uniform(*RUN_S)
            self._at(self._now() + took, self._complete, sending)

    def _refuse(self, request, verdict):
        """Refuse a request that ends no server; it comes back if it is to be soon."""
        if verdict.confirmed:
            self.result.refused_innocent += 1
            return
        again = Request(request.digest, self._any_instance(), False, returned=True)
        left = verdict.remaining.total_seconds()
        self._at(self._now() + left + self._draw.uniform(0, 0.1), self._ask, again)

    def _fail(self, request):
        """End an attempt; its client comes back once, through any instance."""
        if request.returned:
            self.result.lost += 1
            return
        again = Request(request.digest, self._any_instance(), False, returned=True)
        self._at(self._now() + self._draw.uniform(0.2, 1.0), self._ask, again)

    def _complete(self, sending):
        if sending not in self._running.get(sending.server, ()):
            return
        self._running[sending.server].remove(sending)
        known = sending.request.instance.quarantine
        known.record_response(sending.server, sending.begun)
        known.record_completion(sending.request)
        self.result.served += 1

    def _end_by(self, sending):
        if sending in self._running.get(sending.server, ()):
            self.result.ends[sending.request.digest].append(self._now())
            self._end(sending.server)

    def _kill(self, share):
        """End some of the servers, one after the other within half a second."""
        for server in list(self._running):
            if self._draw.random() < share:
                at = self._now() + self._draw.uniform(0, KILLED_WITHIN_S)
                self._at(at, self._end, server)

    def _end(self, server):
        if server not in self._running:
            return
        lost = self._running.pop(server)
        self._at(self._now() + BACK_AFTER_S, self._start_server)
        for sending in lost:
            request = sending.request
            known = request.instance.quarantine
            known.record_crash(request, server, sending.begun)
            request.servers_lost += 1
            self.result.lost_more_than_one += (
                not request.fatal and request.servers_lost == 2
            )
        for sending in lost:
            self._at(self._now() + NOTICED_AFTER_S, self._ask, sending.request)

    def _tell(self, instance, large, number):
        known = instance.quarantine
        self._send(instance.told.near, known.take_near())
        if large and number % FAR_EVERY == 0:
            hosts = [self._draw.choice(hosts) for hosts in instance.told.far]
            self._send(hosts, known.take_far())
        if self._now() < self._until:
            interval = INTERVAL_LARGE_S if large else INTERVAL_S
            self._at(self._now() + interval, self._tell, instance, large, number + 1)

    def _send(self, hosts, rows):
        if not rows:
            return
        for host in hosts:
            if self._draw.random() >= LOST_SHARE:
                self._by_host[host].quarantine.receive(rows)
