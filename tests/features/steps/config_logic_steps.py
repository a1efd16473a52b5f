import asyncio
import dataclasses
import datetime
import json
import random
import zlib

import behave
import logbook

from pimentolatch import clock, fleet, store
from pimentolatch.control import (
    configuration,
    document_exchange,
    garbage_collector,
    heads,
    local_document,
    parts,
    store_watch,
)
from pimentolatch.document import document_diff, schema
from pimentolatch.protocol import messages
from standins import memory_store, object_table
from tests.support import config_history, config_world, seeded_scheduler
from tests.support.proofs import promise_9

INF = float("inf")
GOOD = config_history.ConfigHistory(
    heads=(
        config_history.HeadWritten(1.0, 1, "one", "h1"),
        config_history.HeadWritten(5.0, 2, "two", "h2"),
    ),
    in_force=(
        config_history.InForce(2.0, "a", 1, "h1"),
        config_history.InForce(6.0, "a", 2, "h2"),
    ),
    results=(
        config_history.SubmissionResult("one", config_history.ACCEPTED, 1, 1),
        config_history.SubmissionResult("two", config_history.ACCEPTED, 2, 1),
        config_history.SubmissionResult("three", config_history.LOST, 0, 1),
        config_history.SubmissionResult("four", config_history.NOT_SUBMITTED, 0, 1),
    ),
    lifetimes=(config_history.Lifetime("a", 0.0, INF),),
    fault_window=None,
    end=60.0,
)
EXTRA = {
    "an instance goes back to an older document": (
        "in_force",
        config_history.InForce(7.0, "a", 1, "h1"),
        "a went from 2 to 1",
    ),
    "an instance lacks the document too long": (
        "lifetimes",
        config_history.Lifetime("b", 0.0, INF),
        "b lacks 1",
    ),
    "a number is given to two documents": (
        "heads",
        config_history.HeadWritten(5.5, 2, "five", "h2"),
        "number 2 was given twice",
    ),
    "a submission gets two numbers": (
        "heads",
        config_history.HeadWritten(50.0, 3, "two", "h2"),
        "two has two numbers",
    ),
    "an accepted submission is not in the store": (
        "results",
        config_history.SubmissionResult("six", config_history.ACCEPTED, 3, 1),
        "six accepted as 3",
    ),
    "a lost submission comes into force": (
        "heads",
        config_history.HeadWritten(50.0, 3, "three", "h3"),
        "three was told lost",
    ),
    "one not submitted comes into force": (
        "heads",
        config_history.HeadWritten(50.0, 3, "four", "h4"),
        "four was told not submitted",
    ),
    "an instance runs a document of its own": (
        "in_force",
        config_history.InForce(7.0, "a", 3, "h3"),
        "a runs a 3 that nobody",
    ),
}
SAFEGUARDS = {
    "only later documents": config_world.Safeguards(rejects_older_documents=False),
    "certain answers": config_world.Safeguards(resolves_unknown_outcomes=False),
}


@behave.when("config: a good history is changed so that {fault}")
def change_history(context, fault):
    field, event, context.symptom = EXTRA[fault]
    events = (*getattr(GOOD, field), event)
    context.changed = dataclasses.replace(GOOD, **{field: events})


@behave.then("config: the checker accepts the good one and rejects the changed one")
def accepts_and_rejects(context):
    assert config_history.check(GOOD) == ()
    found = config_history.check(context.changed)
    assert any(sentence.startswith(context.symptom) for sentence in found), found


@behave.when('config: operators submit under "{faults}" with seeds 1 to {last:d}')
def submit_under(context, faults, last):
    chosen = () if faults == "none" else tuple(faults.split())
    with logbook.NullHandler().applicationbound():
        context.runs = [
            promise_9.PROOF.run(chosen, seed) for seed in range(1, last + 1)
        ]


@behave.then("config: the checker finds nothing and every operator knows the outcome")
def finds_nothing(context):
    for run in context.runs:
        assert run.violations == (), run
        assert run.operations > 20 and run.unknown == 0, run


@behave.when(
    'config: operators submit under "{faults}" with seed {seed:d} without {safeguard}'
)
def submit_without(context, faults, seed, safeguard):
    with logbook.NullHandler().applicationbound():
        context.run = promise_9.PROOF.run_with((faults,), seed, SAFEGUARDS[safeguard])


@behave.then('config: the checker rejects the history since "{symptom}"')
def rejects(context, symptom):
    assert any(symptom in found for found in context.run.violations), context.run


@behave.when("config: submissions and collections interleave under {count:d} seeds")
def collections_interleave(context, count):
    context.count = count
    collect_all(context, garbage_collector.PartCollector)


@behave.when("config: the same happens without writing the head before the removal")
def collections_without_fence(context):
    collect_all(context, UnfencedCollector)


def collect_all(context, kind):
    with logbook.NullHandler().applicationbound():
        runs = [asyncio.run(_collect(seed, kind)) for seed in range(context.count)]
    context.unreadable = [name for unreadable, _ in runs for name in unreadable]
    context.removed = sum(removed for _, removed in runs)


class UnfencedStore:
    """A store that says that it wrote the head again, and does not."""

    def __init__(self, inner):
        self._inner = inner
        self.list_objects = inner.list_objects
        self.delete = inner.delete

    async def put(self, kind, name, value, *, if_version):
        return store.Written(if_version + 1)


class UnfencedCollector(garbage_collector.PartCollector):
    def __init__(self, objects, documents):
        super().__init__(UnfencedStore(objects), documents)


async def _collect(seed, kind):
    scheduler = seeded_scheduler.Scheduler(seed)
    table = object_table.ObjectTable()
    unreadable = []
    removed = []

    def documents(actor):
        link = memory_store.MemoryStore(
            table, time=scheduler.time, pause=lambda name: scheduler.point(actor, name)
        )
        time = seeded_scheduler.ActorClock(scheduler, actor)
        made = configuration.ConfigurationObjects(link, time, random.Random(seed))
        return made, kind(link, made)

    async def operate(actor):
        for number in range(4):
            sent = configuration.Submission(
                f"{actor}-{number}",
                actor,
                config_world.document(f"{actor}-{number % 2}"),
                scheduler.time.now(),
            )
            outcome = await documents(actor)[0].submit(sent)
            if isinstance(outcome, configuration.Accepted):
                row = table.get(heads.HEAD_KIND, heads.HEAD_NAME)
                for name in row.value["parts"]:
                    if table.get(heads.PART_KIND, name) is None:
                        unreadable.append((actor, number, name))

    async def collect(actor):
        for _ in range(6):
            removed.append(await documents(actor)[1].collect())
            await scheduler.point(actor, "between")

    tasks = [scheduler.start(operate(f"operator-{n}")) for n in range(3)]
    tasks += [scheduler.start(collect(f"collector-{n}")) for n in range(2)]
    await scheduler.run_until(120, lambda: all(task.done() for task in tasks))
    assert all(task.done() for task in tasks)
    await scheduler.end()
    return unreadable, sum(removed)


@behave.then("config: every head that was accepted could be read when it was accepted")
def all_readable(context):
    assert context.unreadable == []


@behave.then("config: some head that was accepted could not be read")
def some_unreadable(context):
    assert context.unreadable != []


@behave.then("config: parts were removed")
def parts_removed(context):
    assert context.removed > 0


class Wire:
    def __init__(self):
        self.sent = []
        self.closed = []

    def send(self, link, message):
        self.sent.append((link, message))

    def close(self, link, reason):
        self.closed.append(link)


class Side:
    """The spread of one instance with a wire that records."""

    def __init__(self):
        self.wire = Wire()
        self.time = clock.ManualClock()
        self.fleet = fleet.Fleet()
        self.keeper = local_document.LocalDocument(self.fleet, self.time)
        self.keeper.set_views_known()
        self.spread = document_exchange.DocumentExchange(
            self.keeper, self.wire, self.time, random.Random(1)
        )

    def offer(self, link):
        self.spread.offered(link, 3)
        self.time.advance(seeded_scheduler.seconds(3))
        self.spread.poll()
        self.time.advance(seeded_scheduler.seconds(0.1))
        self.spread.poll()


@behave.given("config: a transfer of a document from a peer")
def transfer(context):
    context.document = config_world.document("fleet-three")
    texts = parts.split(context.document)
    names = tuple(f"{part.content_hash}.token" for part in texts)
    context.parts = dict(zip(names, [part.text for part in texts], strict=True))
    text = parts.document_text(context.document)
    context.head = heads.Head(
        3,
        parts.content_hash(text),
        "id",
        "operator",
        "2026-01-01T00:00:00+00:00",
        names,
    )


def answer(context, side, link, data=None):
    head = messages.ConfigurationHead(json.dumps(context.head.to_json()))
    side.spread.handle(link, head)
    for name, text in context.parts.items():
        sent = zlib.compress(text.encode()) if data is None else data
        side.spread.handle(link, messages.Part(name, sent))


@behave.when(
    "config: the peer sends a part of other content, or one that grows too large"
)
def bad_parts(context):
    context.sides = []
    for data in (zlib.compress(b"other"), zlib.compress(bytes(10**7)), b"no zlib"):
        side = Side()
        side.offer(1)
        answer(context, side, 1, data)
        context.sides.append(side)


@behave.then("config: the link is closed and nothing is adopted")
def closed_and_nothing(context):
    for side in context.sides:
        assert side.wire.closed == [1], side.wire.sent
        assert side.fleet.view.configuration is None


@behave.when("config: the peer falls silent and another has the document")
def silent_peer(context):
    context.side = Side()
    context.side.offer(1)
    assert context.side.wire.sent == [(1, messages.WantHead())]
    context.side.spread.closed(1)
    context.side.offer(2)
    answer(context, context.side, 2)


@behave.then("config: it is taken from the other")
def taken(context):
    assert context.side.fleet.view.configuration.number == 3
    assert (2, messages.WantHead()) in context.side.wire.sent


def operators_document(models, dwell, key):
    return schema.FleetDocument.model_validate(
        {
            "fleet": "one",
            "failure_domains": [{"name": "north", "region": "one"}],
            "models": [{"name": name} for name in models],
            "callers": [{"name": "desk", "key_sha256": key * 64}],
            "roles": {"dwell_s": dwell},
        }
    )


@behave.when(
    "config: a document is compared with one that adds, removes and changes entries"
)
def compare(context):
    before = operators_document(["kept", "old"], 60, "a")
    after = operators_document(["new", "kept"], 90, "b")
    assert document_diff.compare(before, before) == ()
    context.changes = [str(change) for change in document_diff.compare(before, after)]


@behave.then(
    'config: the changes are "{added}", "{removed}", "{changed}" and the hidden key'
)
def compared(context, added, removed, changed):
    hidden = "~ callers.desk.key_sha256: (hidden) -> (another)"
    assert context.changes == [removed, added, hidden, changed], context.changes


class Found:
    """Records the documents that a watcher finds."""

    kind = heads.HEAD_KIND

    def __init__(self):
        self.names = []

    async def handle(self, rows):
        self.names += [row.name for row in rows]
        return True


@behave.given("config: an instance that watches the store for documents")
def watching(context):
    context.runner = asyncio.Runner()
    context.found = Found()
    context.clock = clock.ManualClock()
    context.faults = memory_store.StoreFaults()
    context.objects = object_table.ObjectTable()
    watcher = store_watch.StoreWatcher(
        memory_store.MemoryStore(
            context.objects, time=context.clock, faults=context.faults
        ),
        context.found,
        lambda: True,
        context.clock,
        random.Random(1),
    )
    context.task = context.runner.get_loop().create_task(watcher.run())
    advance(context, 1)


@behave.when("config: its connection falls silent and a document is written")
def silent_watch(context):
    context.faults.silenced += 1
    context.runner.run(context.objects.put(heads.HEAD_KIND, "head", {}, 0))


@behave.when("config: {seconds:d} seconds pass")
def pass_time(context, seconds):
    advance(context, seconds)


@behave.then("config: the instance has found the document")
def has_found(context):
    context.task.cancel()
    context.runner.close()
    assert context.found.names == ["head"], context.found.names


def advance(context, seconds):
    async def settle():
        for _ in range(20):
            await asyncio.sleep(0)

    for _ in range(10 * seconds):
        context.clock.advance(datetime.timedelta(milliseconds=100))
        context.runner.run(settle())
