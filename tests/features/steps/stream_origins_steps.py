import asyncio
import collections
import contextlib
import dataclasses
import datetime
import json
import random
import socket
from unittest import mock

import behave
import cbor2
import hypothesis
import hypothesis.strategies as st
import logbook

from pimentolatch import clock, settings, store
from pimentolatch.decisions import (
    list_continuity,
    neighbours,
    stream_origins,
    version_history,
)
from pimentolatch.gateway import version_record
from pimentolatch.gateway.peers import origin_exchange
from pimentolatch.protocol import origin_messages

SERVICE = "lm"
SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
STREAM = stream_origins.origin_key("stream")
UNKNOWN_STREAM = stream_origins.origin_key("another stream")
BUILD = stream_origins.build_key(SERVICE, "v1")
OTHER_BUILD = stream_origins.build_key(SERVICE, "v2")
# Far above what a datagram on the loopback takes; only a failed scenario waits so long.
PATIENCE_SECONDS = 20
RESEND_DELAY = 60 * MILLISECOND
REPEAT_DELAY = 100 * MILLISECOND
TIMEOUT = 200 * MILLISECOND

KEYS = st.integers(0, 2**64 - 1)
NUMBERS = st.integers(0, 2**53 - 1)
ORIGINS = st.builds(origin_messages.Origin, KEYS, KEYS, st.integers(0, 60_000))
MESSAGES = st.one_of(
    st.lists(ORIGINS, max_size=5).map(
        lambda rows: origin_messages.Announcement(tuple(rows))
    ),
    st.builds(origin_messages.Question, NUMBERS, KEYS),
    st.builds(origin_messages.Answer, NUMBERS, st.none() | KEYS),
)
CBOR_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.integers(), inner, max_size=3)
    ),
    max_leaves=8,
)
VERSIONS = st.sets(st.sampled_from(["", "v1", "v2", "v3", "v4", "v5"]), max_size=3)


def drawn(examples):
    """Return settings for Hypothesis that draw the same examples in each run."""
    return hypothesis.settings(
        max_examples=examples,
        database=None,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


# Tables of records


@behave.given("origins: a table of {capacity:d} records")
def make_table(context, capacity):
    context.records = stream_origins.OriginTable(capacity)
    context.now = datetime.timedelta(seconds=1000)


@behave.when("origins: {count:d} streams are recorded")
def record_streams(context, count):
    record_streams_for(context, count, 60)


@behave.when("origins: {count:d} streams are recorded for {seconds:d} seconds")
def record_streams_for(context, count, seconds):
    for origin in range(count):
        context.records.record(origin, 1, context.now + seconds * SECOND, context.now)


@behave.when(
    "origins: build {build:d} is recorded for stream {origin:d} for {seconds:d} seconds"
)
def record_build(context, build, origin, seconds):
    context.records.record(origin, build, context.now + seconds * SECOND, context.now)


@behave.when("origins: {seconds:d} second passes")
@behave.when("origins: {seconds:d} seconds pass")
def pass_time(context, seconds):
    context.now += seconds * SECOND


@behave.then("origins: the table holds {count:d} records")
def holds_records(context, count):
    assert len(context.records) == count, len(context.records)


@behave.then("origins: stream {origin:d} is known")
def is_known(context, origin):
    assert context.records.find(origin, context.now) is not None


@behave.then("origins: stream {origin:d} is unknown")
def is_unknown(context, origin):
    assert context.records.find(origin, context.now) is None
    assert not context.records.is_ambiguous(origin, context.now)


@behave.then("origins: stream {origin:d} is ambiguous")
def is_ambiguous(context, origin):
    assert context.records.find(origin, context.now) is None
    assert context.records.is_ambiguous(origin, context.now)


@behave.then("origins: stream {origin:d} was begun by build {build:d}")
def was_begun_by(context, origin, build):
    found = context.records.find(origin, context.now)
    assert found == build, found


@behave.then("origins: the builds of these services and versions have different keys")
def keys_differ(context):
    rows = [(row["service"], row["version"]) for row in context.table]
    keys = {stream_origins.build_key(*row) for row in rows}
    assert len(keys) == len(rows), rows
    assert all(0 <= key < 2**64 for key in keys), keys


# Hosts that keep records


def make_places(instances, domains):
    return [
        neighbours.Place(f"10.{n % domains}.0.{n}", f"domain-{n % domains}")
        for n in range(instances)
    ]


def origin_keys(count):
    return [stream_origins.origin_key(f"request-{n}") for n in range(count)]


@behave.given("origins: {instances:d} instances in {domains:d} failure domains")
def given_places(context, instances, domains):
    context.places = make_places(instances, domains)


@behave.then(
    "origins: each of {streams:d} streams is kept by {hosts:d} hosts"
    " in {domains:d} failure domains"
)
def kept_in_domains(context, streams, hosts, domains):
    domain_of = {place.host: place.failure_domain for place in context.places}
    for origin in origin_keys(streams):
        chosen = stream_origins.replica_hosts(origin, context.places)
        assert len(chosen) == len(set(chosen)) == hosts, chosen
        assert len({domain_of[host] for host in chosen}) == domains, chosen


@behave.then(
    "origins: each host keeps between half and twice its share of {streams:d} streams"
)
def share_is_fair(context, streams):
    counts = collections.Counter(
        host
        for origin in origin_keys(streams)
        for host in stream_origins.replica_hosts(origin, context.places)
    )
    share = 3 * streams / len(context.places)
    assert len(counts) == len(context.places), counts
    assert share / 2 <= min(counts.values()), counts
    assert max(counts.values()) <= 2 * share, counts


@behave.then(
    "origins: for {streams:d} streams the order in which instances are known"
    " makes no difference"
)
def order_makes_no_difference(context, streams):
    rng = random.Random(5)
    for origin in origin_keys(streams):
        shuffled = rng.sample(context.places, len(context.places))
        for choose in stream_origins.replica_hosts, stream_origins.query_hosts:
            assert choose(origin, shuffled) == choose(origin, context.places)


@behave.then(
    "origins: for {streams:d} streams a query that misses any one instance"
    " reaches 2 that keep it"
)
def query_overlaps(context, streams):
    for origin in origin_keys(streams):
        replicas = set(stream_origins.replica_hosts(origin, context.places))
        for missing in context.places:
            view = [place for place in context.places if place != missing]
            queried = stream_origins.query_hosts(origin, view)
            assert len(replicas.intersection(queried)) >= 2, (replicas, queried)


@behave.then(
    "origins: for {streams:d} streams a query reaches 2 if any one instance"
    " is unknown to the recorder"
)
def query_overlaps_smaller_view(context, streams):
    for origin in origin_keys(streams):
        queried = set(stream_origins.query_hosts(origin, context.places))
        for missing in context.places:
            view = [place for place in context.places if place != missing]
            replicas = stream_origins.replica_hosts(origin, view)
            assert len(queried.intersection(replicas)) >= 2, (replicas, queried)


@behave.then("origins: {count:d} hosts are queried")
def hosts_are_queried(context, count):
    hosts = stream_origins.query_hosts(STREAM, context.places)
    assert len(set(hosts)) == len(hosts) == count, hosts
    replicas = stream_origins.replica_hosts(STREAM, context.places)
    assert set(replicas) <= set(hosts), (replicas, hosts)


# Histories of versions


def versions_of(text):
    names = {"unknown": "", "nothing": None}
    found = {names.get(name, name) for name in text.split(",")}
    return frozenset(found - {None})


@behave.when('origins: versions are listed as "{listed}"')
def list_versions(context, listed):
    context.history = version_history.VersionHistory()
    for observation in listed.split():
        second, versions = observation.split("=")
        found = versions_of(versions)
        picture = {SERVICE: found} if found else {}
        context.history.observe(picture | {"other": {"v9"}}, int(second) * SECOND)


def sole_version(history, seconds):
    """Return the sole version after some seconds, or None."""
    found = history.sole_version(SERVICE, seconds * SECOND)
    return None if isinstance(found, version_history.Ambiguity) else found


@behave.then('origins: after {seconds:d} seconds the sole version is "{sole}"')
def sole_version_is(context, seconds, sole):
    found = sole_version(context.history, seconds)
    assert found == (None if sole == "none" else sole), found


@behave.then("origins: a history without observations has no sole version")
def no_history(context):
    history = version_history.VersionHistory()
    found = history.sole_version(SERVICE, 1000 * SECOND)
    assert found is version_history.Ambiguity.NOT_OBSERVED, found


def complete_sole_version(pictures, now):
    """Return the sole version by all (second, versions) observations ever made."""
    if now - pictures[0][0] < 60:
        return None
    found = resumable_versions(pictures, now)
    return next(iter(found)) or None if len(found) == 1 else None


def resumable_versions(pictures, now):
    """Return the versions that were listed in the last 60 s, by all observations."""
    ends = [second for second, _ in pictures[1:]] + [now + 1]
    recent = [
        versions
        for (_, versions), end in zip(pictures, ends, strict=True)
        if now - end < 60
    ]
    return set().union(*recent)


@behave.then("origins: {count:d} drawn histories agree with one that forgets nothing")
def histories_agree(context, count):
    results = set()

    @drawn(count)
    @hypothesis.given(
        st.lists(st.tuples(st.integers(1, 40), VERSIONS), min_size=1, max_size=12)
    )
    def check(steps):
        history = version_history.VersionHistory()
        pictures = []
        second = 0
        for pause, versions in steps:
            for now in range(second, second + pause if pictures else 0):
                expected = complete_sole_version(pictures, now)
                assert sole_version(history, now) == expected
                results.add(expected)
            second += pause
            pictures.append((second, versions))
            history.observe({SERVICE: versions}, second * SECOND)

    check()
    assert {None, "v1", "v2"} <= results, results


@behave.then(
    "origins: {count:d} drawn histories that begin late agree with one that forgets"
    " nothing"
)
def late_histories_agree(context, count):
    results = set()

    @drawn(count)
    @hypothesis.given(
        st.lists(st.tuples(st.integers(1, 40), VERSIONS), min_size=2, max_size=12),
        st.integers(0, 200),
    )
    def check(steps, start):
        keeper, late = version_history.VersionHistory(), None
        pictures, record = [], {}
        seconds = (versions for pause, versions in steps for _ in range(pause))
        for now, versions in enumerate(seconds):
            pictures.append((now, versions))
            keeper.observe({SERVICE: versions}, now * SECOND)
            record = keeper.next_record(record, now * SECOND)
            if now == start:
                late = version_history.VersionHistory()
                late.observe({SERVICE: versions}, now * SECOND)
                late.recall(record)
            elif late is not None:
                late.observe({SERVICE: versions}, now * SECOND)
                found = late.sole_version(SERVICE, now * SECOND, SECOND)
                expected = resumable_versions(pictures, now)
                if not isinstance(found, version_history.Ambiguity):
                    assert {found} == expected, (found, expected)
                results.add((found in expected, len(expected) == 1))

    check()
    # It must not refuse everything either.
    assert {(True, True), (False, False)} <= results, results


@behave.when("origins: the store's record is {value}")
def write_record(context, value):
    found = store.Found("streams", 1, json.loads(value))
    source = mock.Mock(get=mock.AsyncMock(return_value=found))
    context.history = mock.Mock(observed_for=lambda now: SECOND)
    record = version_record.VersionRecord(
        context.history, source, mock.Mock(), clock.SystemClock()
    )
    assert asyncio.run(record.recall()) is None


@behave.then("origins: it is recalled as {record}")
def recalled_as(context, record):
    (call,) = context.history.recall.call_args_list
    recalled = {name: list(versions) for name, versions in call.args[0].items()}
    assert recalled == json.loads(record), recalled


# Messages


@behave.then("origins: {count:d} drawn messages are decoded as they were encoded")
def messages_round_trip(context, count):
    kinds = set()

    @drawn(count)
    @hypothesis.given(MESSAGES)
    def check(message):
        kinds.add(type(message))
        assert origin_messages.decode(origin_messages.encode(message)) == message

    check()
    assert len(kinds) == 3, kinds


def longest_announcement(count):
    row = origin_messages.Origin(2**64 - 1, 2**64 - 1, 60_000)
    return origin_messages.Announcement((row,) * count)


@behave.then("origins: the longest announcement fits into {size:d} bytes")
def longest_fits(context, size):
    message = longest_announcement(origin_messages.MAX_ORIGINS)
    datagram = origin_messages.encode(message)
    assert len(datagram) <= size, len(datagram)
    assert origin_messages.decode(datagram) == message


@behave.then("origins: a longer announcement is not encoded")
def longer_is_refused(context):
    try:
        origin_messages.encode(longest_announcement(origin_messages.MAX_ORIGINS + 1))
    except ValueError:
        return
    raise AssertionError("an announcement that is too long was encoded")


DATAGRAMS = {
    "nothing": b"",
    "text": b"GET / HTTP/1.1\r\n\r\n",
    "no list": cbor2.dumps({0: 1}),
    "an empty list": cbor2.dumps([]),
    "a version alone": cbor2.dumps([1]),
    "a later version": cbor2.dumps([2, 2, 5, 6]),
    "an unknown kind": cbor2.dumps([1, 9, 5, 6]),
    "a question without origin": cbor2.dumps([1, 2, 5]),
    "a question with a negative number": cbor2.dumps([1, 2, -1, 6]),
    "a question with a key of 65 bits": cbor2.dumps([1, 2, 5, 2**64]),
    "a question with a text as key": cbor2.dumps([1, 2, 5, "6"]),
    "an answer with a field too many": cbor2.dumps([1, 3, 5, 6, 7]),
    "an answer with a text as build": cbor2.dumps([1, 3, 5, "6"]),
    "origins that are no list": cbor2.dumps([1, 1, {5: 6}]),
    "an origin that is a number": cbor2.dumps([1, 1, [5]]),
    "an origin that counts too long": cbor2.dumps([1, 1, [[5, 6, 60_001]]]),
    "51 origins": cbor2.dumps([1, 1, [[5, 6, 7]] * 51]),
}


@behave.then("origins: each of these datagrams is malformed")
def datagrams_are_malformed(context):
    for row in context.table:
        decoded = origin_messages.decode(DATAGRAMS[row["datagram"]])
        assert isinstance(decoded, origin_messages.Malformed), (row, decoded)
        assert decoded.reason, row


def is_decoded(datagram):
    decoded = origin_messages.decode(datagram)
    assert isinstance(decoded, origin_messages.Message | origin_messages.Malformed)


@behave.then("origins: {count:d} drawn datagrams are decoded or malformed")
def drawn_datagrams(context, count):
    @drawn(count)
    @hypothesis.given(st.binary(max_size=40) | CBOR_VALUES.map(cbor2.dumps))
    def check(datagram):
        is_decoded(datagram)

    check()

    @drawn(count)
    @hypothesis.given(st.integers(0, 4), st.lists(CBOR_VALUES, max_size=3))
    def check_kinds(kind, values):
        is_decoded(cbor2.dumps([1, kind, *values]))

    check_kinds()


@behave.then("origins: {count:d} damaged messages are decoded or malformed")
def damaged_messages(context, count):
    @drawn(count)
    @hypothesis.given(MESSAGES, st.integers(0, 200), st.integers(0, 255))
    def check(message, position, value):
        datagram = bytearray(origin_messages.encode(message))
        datagram[position % len(datagram)] = value
        is_decoded(bytes(datagram))
        is_decoded(bytes(datagram[: position % len(datagram)]))

    check()


@behave.then("origins: an instance logs a malformed datagram with its sender")
def malformed_is_logged(context):
    exchange = origin_exchange.OriginExchange(
        settings.Address(host="127.0.0.1", port=1), list, clock.ManualClock()
    )
    with logbook.TestHandler() as log:
        for datagram in DATAGRAMS.values():
            exchange.datagram_received(datagram, ("127.0.71.9", 1))
    assert len(log.records) == len(DATAGRAMS), log.formatted_records
    for record in log.records:
        assert record.level == logbook.WARNING, record
        assert record.kwargs["sender"] == "127.0.71.9", record.kwargs
        assert record.kwargs["reason"], record.kwargs


# Exchanges between instances


class Exchange(origin_exchange.OriginExchange):
    """Exchange that counts what it sends and receives, and may lose datagrams.

    Attributes:
        lost: Number of datagrams, the first ones, that are not received.
        answers: Whether it processes what it receives.
        received: Number of datagrams that arrived.
        questions: The questions that were sent.
    """

    def __init__(self, address, places, time):
        super().__init__(address, places, time)
        self.lost = 0
        self.answers = True
        self.received = 0
        self.questions = []

    def datagram_received(self, data, addr):
        self.received += 1
        if self.answers and self.received > self.lost:
            super().datagram_received(data, addr)

    def send(self, hosts, datagrams):
        hosts = list(hosts)
        for datagram in datagrams:
            message = origin_messages.decode(datagram)
            if isinstance(message, origin_messages.Question):
                self.questions += [message for _ in hosts]
        super().send(hosts, datagrams)


class Fleet:
    """Instances on hosts of their own that exchange datagrams over the loopback.

    Attributes:
        exchanges: The exchanges by host.
        clocks: The clocks of the instances by host; they stand still.
    """

    def __init__(self, instances, domains):
        self._places = [
            neighbours.Place(f"127.0.71.{n + 1}", f"domain-{n % domains}")
            for n in range(instances)
        ]
        port = free_port(self._places[0].host)
        self.clocks = {place.host: CountingClock() for place in self._places}
        self.exchanges = {
            place.host: Exchange(
                settings.Address(host=place.host, port=port),
                lambda own=place: [other for other in self._places if other != own],
                self.clocks[place.host],
            )
            for place in self._places
        }

    async def __aenter__(self):
        for exchange in self.exchanges.values():
            await exchange.start()
        return self

    async def __aexit__(self, *_):
        for exchange in self.exchanges.values():
            exchange.close()
        await asyncio.sleep(0)


class CountingClock(clock.ManualClock):
    """Clock that counts how often somebody sleeps on it."""

    def __init__(self):
        super().__init__()
        self.sleeps = 0

    async def sleep(self, duration):
        self.sleeps += 1
        await super().sleep(duration)


def free_port(host):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def until(condition):
    async with asyncio.timeout(PATIENCE_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.002)


async def find(exchange, origin):
    """Look up a stream; the clock stands still, so no timeout ends this."""
    async with asyncio.timeout(PATIENCE_SECONDS):
        return await exchange.find(origin)


@behave.given("origins: {instances:d} running instance in {domains:d} failure domain")
@behave.given("origins: {instances:d} running instances in {domains:d} failure domains")
def given_fleet(context, instances, domains):
    context.fleet = Fleet(instances, domains)


@behave.given(
    "origins: {instances:d} running instances that lose the first datagram they receive"
)
def given_lossy_fleet(context, instances):
    context.fleet = Fleet(instances, 3)
    for exchange in context.fleet.exchanges.values():
        exchange.lost = 1


@behave.when("origins: the first one records a stream and terminates")
def record_and_terminate(context):
    context.repeat = False


@behave.when("origins: the first one records a stream, repeats it and terminates")
def record_repeat_and_terminate(context):
    context.repeat = True


async def play_record(fleet, repeat):
    """Let the first instance record a stream and terminate; return the others."""
    first, *others = fleet.exchanges.values()
    transmissions = 2 if repeat else 1
    task = asyncio.create_task(first.run())
    first.record(STREAM, BUILD, stream_origins.LIFETIME, repeat=repeat)
    await until(lambda: sum(other.received for other in others) == 3)
    if repeat:
        own_clock = next(iter(fleet.clocks.values()))
        await until(lambda: own_clock.sleeps)
        own_clock.advance(REPEAT_DELAY)
    await until(lambda: sum(other.received for other in others) == 3 * transmissions)
    first.close()
    task.cancel()
    return others


@behave.then("origins: every other instance finds the build")
def others_find(context):
    async def play():
        async with context.fleet as fleet:
            others = await play_record(fleet, context.repeat)
            for other in others:
                other.lost = 0
                assert await find(other, STREAM) == BUILD
                assert other.pending_questions == 0
                asked = len(other.questions)
                assert await find(other, STREAM) == BUILD
                assert len(other.questions) == asked
            assert any(other.questions for other in others)

    asyncio.run(play())


@behave.then("origins: a stream that nobody recorded is not found, before any timeout")
def not_found(context):
    async def play():
        async with context.fleet as fleet:
            first = next(iter(fleet.exchanges.values()))
            assert await find(first, UNKNOWN_STREAM) is None
            assert len(first.questions) == len(fleet.exchanges) - 1
            assert first.pending_questions == 0

    asyncio.run(play())


@behave.then("origins: it finds what it has recorded and nothing else")
def finds_own(context):
    async def play():
        async with context.fleet as fleet:
            (own,) = fleet.exchanges.values()
            (own_clock,) = fleet.clocks.values()
            own.record(STREAM, BUILD, 2 * stream_origins.LIFETIME, repeat=False)
            assert await find(own, STREAM) == BUILD
            assert await find(own, UNKNOWN_STREAM) is None
            own_clock.advance(stream_origins.LIFETIME)
            assert await find(own, STREAM) is None

    asyncio.run(play())


@behave.then("origins: it never sleeps on its clock until a record is to be repeated")
def never_sleeps(context):
    async def play():
        async with context.fleet as fleet:
            (own,) = fleet.exchanges.values()
            (own_clock,) = fleet.clocks.values()
            task = asyncio.create_task(own.run())
            own.record(STREAM, BUILD, stream_origins.LIFETIME, repeat=False)
            for _ in range(20):
                await asyncio.sleep(0)
            assert own_clock.sleeps == 0
            for count in (1, 2):
                own.record(STREAM, BUILD, stream_origins.LIFETIME, repeat=True)
                await until(lambda expected=count: own_clock.sleeps == expected)
                own_clock.advance(REPEAT_DELAY)
                for _ in range(20):
                    await asyncio.sleep(0)
                assert own_clock.sleeps == count
            task.cancel()

    asyncio.run(play())


@behave.given("origins: a peer that answers and one that is silent")
def given_silent_peer(context):
    context.during = []


@behave.when("origins: a stream that nobody recorded is looked up")
def look_up_unknown(context):
    context.origin = UNKNOWN_STREAM


@behave.when("origins: a stream that the answering peer knows is looked up")
def look_up_known(context):
    context.origin = STREAM


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """A lookup at one of three instances, of which one receives but never answers."""

    fleet: Fleet
    own: Exchange
    answering: Exchange
    silent: Exchange
    task: asyncio.Task

    async def end_by_timeout(self):
        """Let the time of the lookup pass; return what it found."""
        own_clock = next(iter(self.fleet.clocks.values()))
        assert not self.task.done()
        own_clock.advance(RESEND_DELAY)
        await until(lambda: self.silent.received == 2 and own_clock.sleeps == 2)
        assert not self.task.done()
        own_clock.advance(TIMEOUT - RESEND_DELAY)
        async with asyncio.timeout(PATIENCE_SECONDS):
            return await self.task


@contextlib.asynccontextmanager
async def lookup(context):
    """Start a lookup at the first of three instances; both peers get the question."""
    async with Fleet(3, 3) as fleet:
        own, answering, silent = fleet.exchanges.values()
        silent.answers = False
        answering.datagram_received(
            origin_messages.encode(
                origin_messages.Announcement(
                    (origin_messages.Origin(STREAM, BUILD, 60_000),)
                )
            ),
            ("127.0.71.9", 1),
        )
        answering.received = 0
        task = asyncio.create_task(own.find(context.origin))
        await until(lambda: answering.received and silent.received and own.received)
        yield Lookup(fleet, own, answering, silent, task)
        task.cancel()


@behave.then("origins: the silent peer is asked again and the other one is not")
def asked_again(context):
    async def play():
        async with lookup(context) as run:
            await run.end_by_timeout()
            assert run.silent.received == 2, run.silent.received
            assert run.answering.received == 1, run.answering.received
            assert len({question.number for question in run.own.questions}) == 1

    asyncio.run(play())


@behave.when(
    "origins: answers arrive from a host that was not asked and to no question"
)
def foreign_answers(context):
    def answer(own, number, host):
        message = origin_messages.Answer(number, OTHER_BUILD)
        own.datagram_received(origin_messages.encode(message), (host, 1))

    def act(own):
        number = own.questions[0].number
        answer(own, number, "127.0.71.9")
        answer(own, number + 1, "127.0.71.3")
        # The answering peer has already answered otherwise.
        answer(own, number, "127.0.71.2")

    context.during.append(act)


@behave.then("origins: the lookup ends with nothing when its time is over")
def ends_with_nothing(context):
    async def play():
        async with lookup(context) as run:
            for act in context.during:
                act(run.own)
            assert await run.end_by_timeout() is None
            assert run.own.pending_questions == 0

    asyncio.run(play())


@behave.then("origins: the lookup ends with the build, before any timeout")
def ends_with_build(context):
    async def play():
        async with lookup(context) as run:
            async with asyncio.timeout(PATIENCE_SECONDS):
                assert await run.task == BUILD
            assert run.own.pending_questions == 0

    asyncio.run(play())


@behave.then("origins: a stream recorded with two builds is not looked up at peers")
def contradicted_not_found(context):
    async def play():
        async with Fleet(3, 3) as fleet:
            own, answering, _ = fleet.exchanges.values()
            own.record(STREAM, BUILD, stream_origins.LIFETIME, repeat=False)
            await until(lambda: answering.received)
            assert await find(answering, STREAM) == BUILD
            row = origin_messages.Origin(STREAM, OTHER_BUILD, 1000)
            own.datagram_received(
                origin_messages.encode(origin_messages.Announcement((row,))),
                ("127.0.71.3", 1),
            )
            assert await find(own, STREAM) is None
            assert not own.questions

    asyncio.run(play())


@behave.then("origins: when the lookup is cancelled, no question and no task is left")
def nothing_left(context):
    async def play():
        async with lookup(context) as run:
            assert run.own.pending_questions == 1
            run.task.cancel()
            await asyncio.wait([run.task], timeout=PATIENCE_SECONDS)
            assert run.task.cancelled()
            assert run.own.pending_questions == 0
            await until(lambda: len(asyncio.all_tasks()) == 1)

    asyncio.run(play())


# Lists between which servers may come and go


def names_of(text):
    return [] if text == "nothing" else text.split(",")


@behave.when('origins: servers are listed as "{listed}"')
def list_servers(context, listed):
    context.continuity = list_continuity.ListContinuity()
    confirmed_at = 0.0 * SECOND
    for revision, observation in enumerate(listed.split(), start=1):
        second, names = observation.split("=")
        now = float(second) * SECOND
        context.continuity.observe(revision, names_of(names), confirmed_at, now)
        confirmed_at = now
    context.listed_at = [float(item.split("=")[0]) for item in listed.split()]


@behave.when('origins: since the gap the entries of "{removed}" were removed')
def removed_since(context, removed):
    gap = context.continuity.gap
    context.unseen = context.continuity.close(gap, names_of(removed))


@behave.when("origins: servers may have been listed unseen until {second:d}")
def listed_unseen(context, second):
    context.history.restart(second * SECOND)


@behave.then("origins: there is no gap")
def no_gap(context):
    assert context.continuity.gap is None, context.continuity.gap


@behave.then("origins: there is a gap after {after:g} until {until:g}")
def gap_is(context, after, until):
    gap = context.continuity.gap
    assert context.listed_at[gap.revision - 1] == after, gap
    assert gap.ended_at == until * SECOND, gap


@behave.then("origins: servers were {seen}")
def servers_were(context, seen):
    assert context.unseen == (seen == "unseen"), context.unseen
