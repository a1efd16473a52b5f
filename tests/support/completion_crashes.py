"""Engines of the first face that all end under one completion, without a network."""

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


class Engines:
    """Each engine that runs the completion ends; another one takes its place."""

    def __init__(self):
        self.ended = 0

    async def generate(self, address, dispatch):
        self.ended += 1
        yield outcomes.OutcomeUnknown("connection lost", connection_lost=True)


class Choice:
    """Returns a fresh engine each time."""

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


class _ClockWithoutPauses(clock.SystemClock):
    async def sleep(self, duration):
        pass


def instance(engines):
    """Return what answers completions in one instance."""
    time = _ClockWithoutPauses()
    return completion_stream.ResumingStream(
        engines, Choice(), time, rng=random.Random(1)
    )


def _completion(deadline):
    return completion_stream.Completion("r", "caller", "m", "fatal", 10, deadline)


DIGEST = _completion(datetime.timedelta()).digest


async def ask(tries):
    """Send the completion once, as its caller would."""
    time = _ClockWithoutPauses()
    asked = _completion(time.monotonic() + datetime.timedelta(seconds=30))
    return [event async for event in tries.run(asked)]


class Documents:
    """Stands for the part that moves documents, which nothing here does."""

    number = 0

    def offered(self, link, number):
        pass

    def closed(self, link):
        pass


class NoWork:
    """Stands for the table of peers' work."""

    def update(self, peer, work):
        pass

    def forget(self, peer):
        pass


class Instance:
    """One instance: what answers completions, and what tells its peers."""

    def __init__(self, fleet, number, domain):
        self.time = _ClockWithoutPauses()
        self.suspects = suspect_completions.SuspectCompletions(self.time)
        self.tries = completion_stream.ResumingStream(
            fleet.engines,
            Choice(f"i{number}"),
            self.time,
            rng=random.Random(1),
            suspects=self.suspects,
        )
        self.peers = {}
        self.own = incarnations.Identity(f"i{number}/1-0", domain, f"i{number}", 1)
        self.node = node.Node(
            self.own,
            network=Wire(fleet, self),
            documents=Documents(),
            crashes=self.suspects,
            table=view_table.ViewTable(),
            work=work_exchange.WorkExchange(
                work_reports.WorkReport,
                NoWork(),
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


class Wire:
    """An instance's links; messages travel as bytes."""

    def __init__(self, fleet, instance):
        self._fleet = fleet
        self._instance = instance

    def send(self, link, message):
        frame = codec.encode([message])
        self._fleet.under_way.append((self._instance.peers[link], link, frame))

    def close(self, link, reason):
        raise AssertionError(reason)


class Fleet:
    """Instances of two failure domains, linked as the topology has it."""

    def __init__(self, engines, domains):
        self.engines = engines
        self.under_way = collections.deque()
        self.instances = []
        for domain in domains:
            self.start(domain)

    def start(self, domain):
        """Start one more instance; returns it."""
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
        # The same number on both sides, which no other link of either has.
        number = sum(len(instance.peers) for instance in self.instances)
        one.peers[number], other.peers[number] = other, one
        one.node.opened(number, other.hello)
        other.node.opened(number, one.hello)

    def deliver(self):
        """Carry all messages that are under way, and those that follow from them."""
        while self.under_way:
            receiver, link, frame = self.under_way.popleft()
            for message in codec.decode(frame):
                receiver.node.handle(link, message)
