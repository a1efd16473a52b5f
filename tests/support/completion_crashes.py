"""Instances and engines that all crash under one completion, without a network."""

import collections
import datetime
import itertools
import random

from pimentolatch import clock
from pimentolatch.backend import outcomes
from pimentolatch.decisions import work_reports
from pimentolatch.membership import (
    incarnations,
    leaving_servers,
    node,
    view_table,
    work_exchange,
)
from pimentolatch.protocol import codec, messages
from pimentolatch.requests import completion_stream, suspect_completions


class CrashingEngines:
    """Engines of which each crashes when it runs the completion."""

    def __init__(self):
        self.crashes = 0

    async def generate(self, address, dispatch):
        self.crashes += 1
        yield outcomes.OutcomeUnknown("connection lost", connection_lost=True)


class NewEngineSelector:
    """Selects a new engine for each dispatch."""

    def __init__(self, prefix="e"):
        self._prefix = prefix
        self._numbers = itertools.count()

    def choose(self, asked, failed):
        return _Engine(f"{self._prefix}{next(self._numbers)}")

    def prefill_engine(self, asked):
        return None

    def prefill_ended(self, asked):
        pass

    def dispatched(self, asked, engine):
        pass

    def token_received(self, asked, engine):
        pass

    def dispatch_ended(self, asked, engine, outcome):
        pass


class _Engine:
    def __init__(self, name):
        self.name = name
        self.address = None
        self.prefill_tokens_per_s = 1000.0


class _ClockWithoutSleep(clock.SystemClock):
    async def sleep(self, duration):
        pass


def instance(engines):
    """Return the runner of completions of a single instance."""
    time = _ClockWithoutSleep()
    return completion_stream.ResumingStream(
        engines, NewEngineSelector(), time, rng=random.Random(1)
    )


def _completion(deadline):
    return completion_stream.Completion("r", "caller", "m", "fatal", 10, deadline)


DIGEST = _completion(datetime.timedelta()).digest


async def ask(runner):
    """Run the completion once and return its events."""
    time = _ClockWithoutSleep()
    asked = _completion(time.monotonic() + datetime.timedelta(seconds=30))
    return [event async for event in runner.run(asked)]


class NullDocumentExchange:
    """Replaces the transfer of documents, which is not needed here."""

    number = 0

    def offered(self, link, number):
        pass

    def closed(self, link):
        pass


class NullPeerWork:
    """Replaces the table of peers' work reports."""

    def update(self, peer, work):
        pass

    def forget(self, peer):
        pass


class Instance:
    """One instance: its runner of completions and its node in the membership."""

    def __init__(self, fleet, number, domain):
        self.time = _ClockWithoutSleep()
        self.suspects = suspect_completions.SuspectCompletions(self.time)
        self.runner = completion_stream.ResumingStream(
            fleet.engines,
            NewEngineSelector(f"i{number}"),
            self.time,
            rng=random.Random(1),
            suspects=self.suspects,
        )
        self.peers = {}
        self.own = incarnations.Identity(f"i{number}/1-0", domain, f"i{number}", 1)
        self.node = node.Node(
            self.own,
            network=EncodedLinks(fleet, self),
            documents=NullDocumentExchange(),
            crashes=self.suspects,
            table=view_table.ViewTable(),
            work=work_exchange.WorkExchange(
                work_reports.WorkReport,
                NullPeerWork(),
                self.time,
                datetime.timedelta(seconds=1),
            ),
            leaving=leaving_servers.LeavingServers(
                self.time, datetime.timedelta(seconds=1), lambda servers: None
            ),
            time=self.time,
            suspect_after=datetime.timedelta(seconds=4),
            list_lag=datetime.timedelta(seconds=4),
        )
        self.suspects.on_update(self.node.send_crash_notices)

    @property
    def hello(self):
        own = self.own
        return messages.Hello(1, own.incarnation, own.failure_domain, own.host, 1)


class EncodedLinks:
    """An instance's links to its peers; each message is sent as an encoded frame."""

    def __init__(self, fleet, instance):
        self._fleet = fleet
        self._instance = instance

    def send(self, link, message):
        frame = codec.encode([message])
        self._fleet.in_flight.append((self._instance.peers[link], link, frame))

    def close(self, link, reason):
        raise AssertionError(reason)


class Fleet:
    """Instances of two failure domains, linked as in the product's topology."""

    def __init__(self, engines, domains):
        self.engines = engines
        self.in_flight = collections.deque()
        self.instances = []
        for domain in domains:
            self.start(domain)

    def start(self, domain):
        """Start another instance and return it."""
        started = Instance(self, len(self.instances), domain)
        self.instances.append(started)
        for other in self.instances[:-1]:
            same = other.own.failure_domain == domain
            first = not any(
                peer.own.failure_domain == domain for peer in other.peers.values()
            )
            if same or first and not started.peers:
                self._link(started, other)
        self.deliver()
        return started

    def _link(self, one, other):
        # Both sides use the same number, which is unique in the fleet.
        number = sum(len(instance.peers) for instance in self.instances)
        one.peers[number], other.peers[number] = other, one
        one.node.opened(number, other.hello)
        other.node.opened(number, one.hello)

    def deliver(self):
        """Deliver all messages in flight, and those sent in response."""
        while self.in_flight:
            receiver, link, frame = self.in_flight.popleft()
            for message in codec.decode(frame):
                receiver.node.handle(link, message)
