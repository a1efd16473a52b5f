import asyncio
import datetime
import random
import types

import behave
import hypothesis
import hypothesis.strategies as st

from pimentolatch import backoff, call_budget, clock, store
from pimentolatch.decisions import work_reports
from pimentolatch.membership import (
    acknowledgements,
    incarnations,
    leaving_servers,
    node,
    registrations,
    topology,
    view_table,
    views,
    work_exchange,
)
from pimentolatch.protocol import codec, messages
from pimentolatch.requests import suspect_completions

LAG = datetime.timedelta(seconds=30)
DOMAIN = "north"
FUZZ = hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
KINDS = tuple(codec._NUMBERS)


def seconds(number):
    return datetime.timedelta(seconds=number)


def name_of(instance, start=16):
    return f"{instance}/{start:x}-0"


def introduction(instance, start=16, host=None):
    return messages.Introduction(name_of(instance, start), host or instance, 1)


def hello(instance, domain=DOMAIN, start=16):
    return messages.Hello(1, name_of(instance, start), domain, instance, 1)


class Wire:
    def __init__(self):
        self.sent = []
        self.closed = []

    def send(self, link, message):
        self.sent.append((link, message))

    def close(self, link, reason):
        self.closed.append(link)


class World:
    """One node with a wire that records, and no other part."""

    def __init__(self, instance="a", domain=DOMAIN):
        self.time = clock.ManualClock()
        self.wire = Wire()
        self.work = work_reports.WorkReport()
        documents = types.SimpleNamespace(
            number=0, offered=lambda *a: None, handle=None, closed=lambda link: None
        )
        table = types.SimpleNamespace(update=lambda *a: None, forget=lambda peer: None)
        self.table = view_table.ViewTable()
        self.node = node.Node(
            incarnations.Identity(name_of(instance), domain, instance, 1),
            network=self.wire,
            documents=documents,
            crashes=suspect_completions.SuspectCompletions(self.time),
            table=self.table,
            work=work_exchange.WorkExchange(
                lambda: self.work, table, self.time, seconds(1)
            ),
            leaving=leaving_servers.LeavingServers(
                self.time, LAG, lambda servers: None
            ),
            time=self.time,
            suspect_after=seconds(4),
            list_lag=LAG,
        )
        self.node.adopt_views((), complete=True)

    @property
    def table_of_acks(self) -> acknowledgements.AcknowledgementTable:
        return self.node.acknowledged

    def beat(self, link, number=None, **fields):
        numbers = () if number is None else (messages.ViewNumber(DOMAIN, number),)
        self.node.handle(link, messages.Heartbeat(1, 0, numbers, **fields))

    def missing(self, number=2):
        return self.table_of_acks.missing(DOMAIN, number)


def any_message(kind):
    return st.builds(kind, **{n: any_value(r) for n, r in kind.__annotations__.items()})


def any_value(hint):
    plain = {
        int: st.integers(0, 2**40),
        float: st.floats(0, 1e9),
        bool: st.booleans(),
        str: st.text(max_size=20),
        bytes: st.binary(max_size=20),
    }
    if hint in plain:
        return plain[hint]
    if hasattr(hint, "__args__"):
        return st.lists(any_value(hint.__args__[0]), max_size=3).map(tuple)
    return any_message(hint)


@behave.when("peers: messages of every kind are encoded and decoded")
def round_trip(context):
    context.pairs = []

    @FUZZ
    @hypothesis.given(st.lists(st.one_of([any_message(k) for k in KINDS]), max_size=4))
    def go(batch):
        context.pairs.append((tuple(batch), codec.decode(codec.encode(batch))))

    go()


@behave.then("peers: each comes back equal")
def comes_back(context):
    kinds = {type(message) for batch, _ in context.pairs for message in batch}
    assert kinds == set(KINDS), set(KINDS) - kinds
    for before, after in context.pairs:
        assert before == after, (before, after)


@behave.when("peers: arbitrary bytes and arbitrary values are decoded")
def fuzz(context):
    context.decoded = []
    leaf = st.none() | st.booleans() | st.integers() | st.text() | st.binary()
    value = st.recursive(
        leaf | st.floats(), lambda inner: st.lists(inner), max_leaves=9
    )
    shaped = st.lists(st.tuples(st.integers(0, 16), value).map(list), max_size=3)

    @FUZZ
    @hypothesis.given(st.binary(max_size=200), value, shaped)
    def go(raw, any_shape, near):
        for frame in (raw, codec.cbor2.dumps(any_shape), codec.cbor2.dumps(near)):
            context.decoded.append(codec.decode(frame))

    go()
    context.decoded.append(codec.decode(b"\x81" * 100_000))
    context.decoded.append(codec.decode(bytes(codec.FRAME_LIMIT_BYTES + 1)))


@behave.then("peers: each gives messages or says that it is malformed")
def decoded_or_described(context):
    malformed = 0
    for result in context.decoded:
        if isinstance(result, codec.Malformed):
            malformed += 1
        else:
            assert all(isinstance(message, KINDS) for message in result), result
    assert malformed > len(context.decoded) / 3, malformed


@behave.given('peers: a node "a" that knows "b" and "c"')
def small_world(context):
    context.world = World()
    context.world.node.opened(1, hello("b"))
    context.world.node.opened(2, hello("c"))


def pass_time(world, length, heard):
    for _ in range(int(length)):
        world.time.advance(seconds(1))
        for link in heard:
            world.beat(link)


@behave.when('peers: "b" falls silent while "c" hears it')
def silent_for_one(context):
    world = context.world
    for _ in range(8):
        pass_time(world, 1, [2])
        evidence = messages.LivenessEntry(name_of("b"), 100, ())
        world.node.handle(2, messages.LivenessReport((evidence,)))
    world.node.tick()
    asked = world.wire.sent[-1][1].queried
    assert asked == (name_of("b"),), asked


@behave.when('peers: "b" falls silent for everybody')
def silent_for_all(context):
    pass_time(context.world, 8, [2])


@behave.then('peers: "{instance}" is not suspected')
def not_suspected(context, instance):
    assert name_of(instance) not in context.world.node.detector.suspected()


@behave.then('peers: "{instance}" is suspected')
def suspected(context, instance):
    assert context.world.node.detector.suspected() == {name_of(instance)}


@behave.then('peers: "{instance}" still counts for acknowledgements')
@behave.then('peers: "{instance}" still counts')
def counts(context, instance):
    assert instance in context.world.missing(), context.world.missing()


@behave.then('peers: "{instance}" counts no more')
def counts_no_more(context, instance):
    assert name_of(instance) not in {
        known.incarnation for known in context.world.table_of_acks.known
    }


@behave.when('peers: the link to "b" breaks and returns {count:d} times')
def flaps(context, count):
    for number in range(count):
        context.world.node.closed(1 if number == 0 else 10 + number)
        pass_time(context.world, 1, [2])
        context.world.node.opened(11 + number, hello("b"))
    context.link = 10 + count


@behave.then('peers: "b" is reachable but not steady')
def reachable_not_steady(context):
    detector = context.world.node.detector
    assert name_of("b") in detector.reachable(DOMAIN)
    assert detector.steady(DOMAIN) == {name_of("c")}, detector.steady(DOMAIN)


@behave.when('peers: "b" is heard without a break for {length:d} seconds')
def quiet(context, length):
    pass_time(context.world, length, [context.link])


@behave.then('peers: "b" is steady')
def steady(context):
    assert name_of("b") in context.world.node.detector.steady(DOMAIN)


@behave.when('peers: "b" hands its views to the unknown "x" and acknowledges view 2')
def closure(context):
    context.world.beat(1, 2, introduced=(introduction("x"),))


@behave.then('peers: view {number:d} waits for "{instance}"')
def waits_for(context, number, instance):
    assert instance in context.world.missing(number), context.world.missing(number)


@behave.when('peers: "x" acknowledges view 2 through "b"')
def acknowledged_through(context):
    row = messages.Acknowledgement(name_of("x"), 2)
    context.world.node.handle(1, messages.RelayedAcknowledgements(DOMAIN, (row,)))
    context.world.node.apply_registrations((), {DOMAIN: 2})
    view = views.DomainView(DOMAIN, 2)
    context.world.node.adopt_views((view,), complete=False)


@behave.then('peers: nobody is waited for but "{instance}"')
def only_waits_for(context, instance):
    assert context.world.missing() == {instance}, context.world.missing()


def listed(world, rows):
    world.node.apply_instance_list(rows, world.time.monotonic())


def row(instance, ended=()):
    return store.Instance(instance, "entry", DOMAIN, instance, 1, "live", ended)


@behave.when('peers: "b" says farewell')
def says_farewell(context):
    context.world.node.handle(1, messages.Farewell())


@behave.when('peers: a last heartbeat of "b" follows and 10 s pass')
def last_heartbeat(context):
    context.world.beat(1)
    context.world.time.advance(seconds(10))


@behave.when('peers: the list names the incarnation of "b" as ended')
def list_names_ended(context):
    rows = (row("a"), row("b", (name_of("b"),)), row("c"))
    listed(context.world, rows)


@behave.when('peers: the list lacks "b" at once')
def list_lacks(context):
    listed(context.world, (row("a"), row("c")))


@behave.when('peers: the list lacks "b" after its lag')
def list_lacks_late(context):
    pass_time(context.world, 31, [2])
    listed(context.world, (row("a"), row("c")))


@behave.when('peers: the list lacks "b" and this very instance')
def list_lacks_all(context):
    pass_time(context.world, 31, [2])
    listed(context.world, (row("c"),))


@behave.when('peers: a successor of "b" listens at the same address')
def successor(context):
    context.world.node.opened(3, hello("b", start=17))


@behave.when('peers: a successor of "b" listens at another address')
def successor_elsewhere(context):
    there = messages.Hello(1, name_of("b", 17), DOMAIN, "elsewhere", 1)
    context.world.node.opened(3, there)
    known = {k.incarnation for k in context.world.table_of_acks.known}
    assert name_of("b") in known, known


@behave.when('peers: an earlier process of "b" says hello late')
def late_hello(context):
    context.world.node.opened(3, hello("b", start=15))
    known = {k.incarnation for k in context.world.table_of_acks.known}
    assert name_of("b") in known, known


@behave.when('peers: the link to "b" breaks and stays broken')
def breaks(context):
    context.world.node.closed(1)
    pass_time(context.world, 60, [2])


@behave.when('peers: "b" and "c" acknowledge view 2')
def both_acknowledge(context):
    view = views.DomainView(DOMAIN, 2)
    context.world.node.adopt_views((view,), complete=False)
    context.world.beat(1, 2)
    context.world.beat(2, 2)
    assert context.world.missing() == {acknowledgements.UNREAD_REGISTRATIONS}


@behave.when('peers: registrations are read that show a "d" nobody has heard of')
def registrations_read(context):
    found = [registrations.Registration(introduction(name)) for name in "abcd"]
    context.world.node.apply_registrations(found, {DOMAIN: 2})


@behave.when("peers: views 3, 2 and 3 of a failure domain arrive")
def views_arrive(context):
    context.adopted = []
    table = view_table.ViewTable(lambda view: context.adopted.append(view.number))
    for number in (3, 2, 3):
        table.adopt(views.DomainView(DOMAIN, number))
    context.number = table.number(DOMAIN)


@behave.then("peers: view 3 is adopted once")
def adopted_once(context):
    assert (context.adopted, context.number) == ([3], 3)


@behave.when(
    'peers: "b" offers view 2 and at once view 3, and answers with view 2 only'
)
def offers_twice(context):
    world = context.world
    world.beat(1, 2)
    world.beat(1, 3)
    stored = view_table.stored_view(views.DomainView(DOMAIN, 2))
    world.node.handle(1, messages.DomainViews(False, (stored,)))
    assert world.table.number(DOMAIN) == 2
    world.wire.sent.clear()


@behave.then("peers: view 3 is asked for within some heartbeats")
def asked_again(context):
    for _ in range(3):
        context.world.time.advance(seconds(1))
        context.world.node.tick()
    assert (1, messages.WantViews((DOMAIN,))) in context.world.wire.sent


WITHDRAWAL = views.DomainView(DOMAIN, 2, frozenset({"engine-1"}))
WORK = work_reports.WorkReport((work_reports.ServerWork("engine-1", 1, 10, 10),))


@behave.when(
    'peers: an instance with work at "engine-1" adopts a view that withdraws it'
)
def adopts_with_work(context):
    context.world = World()
    context.world.node.opened(1, hello("b"))
    context.world.wire.sent.clear()
    context.world.work = WORK
    context.world.node.adopt_views((WITHDRAWAL,), complete=False)


@behave.then("peers: its count goes out before its acknowledgement")
def count_first(context):
    first, second = [message for _, message in context.world.wire.sent][:2]
    assert isinstance(first, messages.WorkDelta) and first.servers == WORK.servers
    assert second.views == (messages.ViewNumber(DOMAIN, 2),), second


@behave.when("peers: an instance of another failure domain adopts it too")
def adopts_elsewhere(context):
    context.world = World("far", "south")
    context.world.node.opened(1, hello("b"))
    context.world.work = WORK
    context.world.node.adopt_views((WITHDRAWAL,), complete=False)


@behave.then("peers: it acknowledges only when its work there has ended")
def acknowledges_late(context):
    def acknowledged():
        sent = [message for _, message in context.world.wire.sent]
        return [v for m in sent if isinstance(m, messages.Heartbeat) for v in m.views]

    context.world.node.tick()
    assert acknowledged() == [], context.world.wire.sent
    context.world.work = work_reports.WorkReport()
    context.world.node.tick()
    assert acknowledged() == [messages.ViewNumber(DOMAIN, 2)]


@behave.when("peers: 370 instances in 9 failure domains choose their links")
def choose_links(context):
    rows = [
        store.Instance(f"i-{n}", "entry", f"domain-{n % 9}", "127.0.0.1", n, "live")
        for n in range(370)
    ]
    context.domains = {item.name: item.failure_domain for item in rows}
    context.chosen = {
        item.name: topology.link_targets(
            incarnations.Identity(f"{item.name}/1-0", item.failure_domain, "", n), rows
        )
        for n, item in enumerate(rows)
    }


@behave.then(
    "peers: none has more than 40 links inside and {most:d} across failure domains"
)
def bounded_links(context, most):
    for name, others in context.chosen.items():
        inside = [o for o in others if context.domains[o] == context.domains[name]]
        assert 40 <= len(inside) <= 41, (name, len(inside))
        assert len(others) - len(inside) <= most, (name, len(others))


@behave.then("peers: any two failure domains are linked twice")
def linked_twice(context):
    pairs = [
        frozenset((context.domains[name], context.domains[other]))
        for name, others in context.chosen.items()
        for other in others
        if context.domains[name] != context.domains[other]
    ]
    # Both ends mean to keep a link, so each stands here twice.
    assert {pairs.count(pair) for pair in pairs} == {4}
    assert len(set(pairs)) == 9 * 8 / 2


@behave.then("peers: the work of 160 servers fits {limit:d} bytes a second on 40 links")
def work_fits(context, limit):
    chance = random.Random(1)
    table = types.SimpleNamespace(update=lambda *a: None, forget=lambda peer: None)

    def busy():
        return work_reports.WorkReport(
            tuple(
                work_reports.ServerWork(
                    f"engine-{n:04}",
                    chance.randint(1, 32),
                    chance.randint(0, 90_000),
                    chance.randint(0, 30_000),
                )
                for n in range(160)
            )
        )

    spread = work_exchange.WorkExchange(busy, table, clock.ManualClock(), seconds(1))
    sizes = [len(codec.encode([spread.next_delta(40)])) for _ in range(20)]
    assert max(sizes) * 40 <= limit * 1.3, sizes


@behave.when("peers: 50 calls ask at once for a budget of 10 a second")
def many_calls(context):
    async def go():
        time = clock.ManualClock()
        calls = call_budget.CallBudget(10, time)
        tasks = [asyncio.create_task(calls.take()) for _ in range(50)]
        for _ in range(40):
            await asyncio.sleep(0)
            time.advance(seconds(0.1))
        return [await task for task in tasks]

    context.taken = asyncio.run(go())


@behave.then("peers: the calls over a second's wait fail without being made")
def some_fail(context):
    # Two seconds of burst, and one second of waiting turns.
    assert context.taken == [True] * 30 + [False] * 20, context.taken.count(True)


@behave.when("peers: 200 instances fail at one moment and pause")
def many_pauses(context):
    context.pauses = []
    for number in range(200):
        pauses = backoff.Backoff(seconds(0.5), seconds(5), random.Random(number))
        context.pauses.append([pauses.next_pause() for _ in range(6)][-1])


@behave.then("peers: their next calls are spread over the whole range")
def spread_out(context):
    counts = [0] * 5
    for pause in context.pauses:
        counts[int(pause.total_seconds())] += 1
    assert min(counts) >= 20 and max(counts) <= 60, counts
