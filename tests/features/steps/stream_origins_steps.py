import collections
import datetime
import random

import behave
import cbor2
import hypothesis
import hypothesis.strategies as st

from pimentolatch.decisions import neighbours, stream_origins, version_history
from pimentolatch.protocol import origin_messages

SERVICE = "lm"
SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
STREAM = stream_origins.origin_key("stream")
UNKNOWN_STREAM = stream_origins.origin_key("another stream")
BUILD = stream_origins.build_key(SERVICE, "v1")
OTHER_BUILD = stream_origins.build_key(SERVICE, "v2")
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


@behave.then('origins: after {seconds:d} seconds the sole version is "{sole}"')
def sole_version_is(context, seconds, sole):
    found = context.history.sole_version(SERVICE, seconds * SECOND)
    assert found == (None if sole == "none" else sole), found


@behave.then("origins: a history without observations has no sole version")
def no_history(context):
    history = version_history.VersionHistory()
    assert history.sole_version(SERVICE, 1000 * SECOND) is None


def complete_sole_version(pictures, now):
    """Return the sole version by all (second, versions) observations ever made."""
    if now - pictures[0][0] < 60:
        return None
    ends = [second for second, _ in pictures[1:]] + [now + 1]
    recent = [
        versions
        for (_, versions), end in zip(pictures, ends, strict=True)
        if now - end < 60
    ]
    found = set().union(*recent)
    return next(iter(found)) or None if len(found) == 1 else None


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
                assert history.sole_version(SERVICE, now * SECOND) == expected
                results.add(expected)
            second += pause
            pictures.append((second, versions))
            history.observe({SERVICE: versions}, second * SECOND)

    check()
    assert {None, "v1", "v2"} <= results, results


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
