import asyncio
import contextlib
import dataclasses
import datetime
import http.client
import json
import random
import threading
import urllib.parse

import behave
import hypothesis
from hypothesis import strategies

from benchmarks import (
    load_cases,
    load_fakes,
)
from pimentolatch import (
    clock,
    fleet,
    results,
)
from pimentolatch.backend import outcomes
from pimentolatch.decisions import (
    admission,
    dispatcher,
    fair_queue,
    health,
    outstanding_work,
    rate_limits,
    rendezvous,
    retries,
    work_reports,
)
from pimentolatch.document import schema
from pimentolatch.requests import (
    completion_scheduler,
    completion_stream,
)
from standins import (
    callers,
    deployments,
    processes,
)
from tests.support import (
    completions,
    virtual_time,
)

POLICIES = {"baseline": load_fakes.Baseline, "decisions": load_fakes.Ours}
REPEATABLE = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=50
)
SECOND = datetime.timedelta(seconds=1)


@behave.given('the load case "{case}" is served by the baseline and by the decisions')
def measure_case(context, case):
    context.case = case
    for policy in POLICIES.values():
        for key, found in load_cases.measure(case, policy).items():
            print(case, policy.__name__, key, found)


def summary(context, policy, group, span):
    return load_cases.measure(context.case, POLICIES[policy])[span, group]


def value_of(found, measure):
    shares_of = {
        "good": found.good,
        "goodput": found.goodput,
        "unanswered": found.unanswered / found.requests,
        "late refusals": found.refused_late / max(1, found.refused),
    }
    return shares_of[measure]


@behave.then(
    'with the {policy}, {measure} of "{group}" during "{span}" is below {bound:f}'
)
def is_below(context, policy, measure, group, span, bound):
    found = summary(context, policy, group, span)
    assert value_of(found, measure) < bound, found


@behave.then(
    'with the {policy}, {measure} of "{group}" during "{span}" is at least {bound:f}'
)
def is_at_least(context, policy, measure, group, span, bound):
    found = summary(context, policy, group, span)
    assert value_of(found, measure) >= bound, found


@behave.then(
    'with the decisions, good of "{group}" during "{span}" is above the baseline\'s'
)
def is_better(context, group, span):
    ours, plain = (summary(context, p, group, span) for p in ("decisions", "baseline"))
    assert ours.good > plain.good, (ours, plain)


@behave.then(
    'with the decisions the "{group}" wait at most {times:f} times as with the baseline'
)
def waits_less(context, group, times):
    ours, plain = (
        summary(context, policy, group, "steady")
        for policy in ("decisions", "baseline")
    )
    assert ours.waits[1] <= times * plain.waits[1], (ours, plain)


@behave.then(
    'with the decisions the "{group}" wait at most {times:f} times as without the hot '
    "caller"
)
def waits_as_without(context, group, times):
    before = load_cases.measure("no hot caller", load_fakes.Ours)["steady", group]
    after = summary(context, "decisions", group, "steady")
    assert after.waits[1] <= times * before.waits[1], (before, after)


@behave.then("the slow engine costs the decisions at most {share:f} of the goodput")
def slow_engine_costs(context, share):
    before = load_cases.measure("equal engines", load_fakes.Ours)["steady", "all"]
    after = summary(context, "decisions", "all", "steady")
    assert after.goodput >= (1 - share) * before.goodput, (before, after)


@behave.given("a small deployment with slow engines runs with its document in force")
def slow_deployment(context):
    context.deployment = deployments.Deployment(
        deployments.SMALL, engine_settings={"streams": 2, "token_s": 0.05}
    )
    changes = {"admission": {"queue_wait_limit_s": 1.0}}
    document = context.deployment.document(**changes)
    for server in document["backend_servers"]:
        if server["kind"] == "engine":
            server |= {"streams": 2, "decode_tokens_per_s": 40.0}
    context.deployment.submit("entry-1", document)


def ask_raw(url, body):
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(parts.hostname, parts.port, timeout=60)
    connection.request(
        "POST", parts.path, json.dumps(body), {"content-type": "application/json"}
    )
    response = connection.getresponse()
    answer = response.status, dict(response.getheaders()), json.loads(response.read())
    connection.close()
    return answer


@behave.when("{count:d} callers ask one instance at once")
def ask_at_once(context, count):
    context.answers = [None] * count

    def ask(number):
        url, body, _ = completions.ask(
            context.deployment, "entry-1", f"guest {number}", 40
        )
        context.answers[number] = body, *ask_raw(url, body)

    threads = [threading.Thread(target=ask, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@behave.then(
    'some are refused with code 200 or 202, "not run" and a Retry-After header'
)
def some_refused(context):
    context.refused = [answer for answer in context.answers if answer[1] != 200]
    assert context.refused, "nobody was refused"
    for _, status, headers, body in context.refused:
        assert status == 503, body
        assert body["error"]["code"] in (200, 202), body
        assert body["error"]["execution"] == "not run", body
        assert int(headers["retry-after"]) >= 1, headers


@behave.then("every admitted answer is whole")
def admitted_are_whole(context):
    admitted = [answer for answer in context.answers if answer[1] == 200]
    assert admitted, "nobody was admitted"
    for asked, _, _, body in admitted:
        expected = callers.expected_text(asked["prompt"], asked["max_tokens"])
        assert body["choices"][0]["text"] == expected, body


@behave.then("no engine has run a refused request")
def refused_did_not_run(context):
    ran = 0
    for engine in context.deployment.engines:
        url = context.deployment.server_url(engine, "/history")
        history = processes.call("GET", url)[1]
        ran += sum(entry["what"] == "generate" for entry in history)
    assert ran == len(context.answers) - len(context.refused), ran


def waiting(number, caller, units, arrived=0.0, **more):
    at = datetime.timedelta(seconds=arrived)
    return fair_queue.QueuedRequest(
        f"r{number}", caller, units, at, at + SECOND, **more
    )


@behave.then(
    "callers that always wait never get further apart than their largest request"
)
def fair_by_weight(context):
    sizes = strategies.lists(strategies.integers(1, 100_000), min_size=20, max_size=60)

    @REPEATABLE
    @hypothesis.given(sizes, strategies.sampled_from([0.5, 1.0, 3.0]))
    def check(units, weight):
        queue = fair_queue.FairQueue()
        weights = {"light": 1.0, "heavy": weight}
        left = {caller: 0 for caller in weights}
        for number, size in enumerate(units):
            for caller in weights:
                item = waiting(
                    f"{caller}{number}", caller, size, weight=weights[caller]
                )
                queue.put(item)
                left[caller] += 1
        served = {caller: 0.0 for caller in weights}
        while all(left.values()):
            item = queue.take()
            served[item.caller] += item.units / item.weight
            left[item.caller] -= 1
            apart = abs(served["light"] - served["heavy"])
            assert apart <= max(units) + max(units) / weight, (served, units)

    check()


@behave.then(
    "no request of a caller is overtaken by one that came later than the bound"
)
def overtaking_is_bounded(context):
    one = strategies.tuples(
        strategies.integers(1, 10**6),
        strategies.integers(0, 7),
        strategies.floats(0, 20),
    )

    @REPEATABLE
    @hypothesis.given(strategies.lists(one, min_size=2, max_size=30))
    def check(requests):
        queue = fair_queue.FairQueue()
        for number, (units, priority, at) in enumerate(requests):
            queue.put(waiting(number, "desk", units, at, priority=priority))
        taken = []
        while item := queue.take():
            for earlier in taken:
                later = earlier.arrived - item.arrived
                assert later <= fair_queue.MAX_OVERTAKING, (earlier, item)
            taken.append(item)
        assert len(taken) == len(requests)

    check()


@behave.then(
    "{count:d} callers that were served are forgotten when others have caught up"
)
def served_are_forgotten(context, count):
    queue = fair_queue.FairQueue()
    for number in range(count):
        queue.put(waiting(number, f"caller-{number}", 500))
    while queue.take():
        pass
    for number in range(200):
        queue.put(waiting(f"late{number}", "desk", 500))
    while queue.take():
        pass
    assert queue.known_callers <= 1, queue.known_callers


def domain(instances, engines):
    names = {f"entry-{number}" for number in range(instances)}
    return names, {f"engine-{number}" for number in range(engines)}


def senders_of(chosen):
    return {(name, engine) for name, found in chosen.items() for engine in found}


FLEETS = strategies.tuples(strategies.integers(2, 30), strategies.integers(30, 120))


@behave.then(
    "each engine has two senders and each instance no more engines than it should"
)
def engines_have_senders(context):
    @REPEATABLE
    @hypothesis.given(FLEETS)
    def check(size):
        instances, engines = domain(*size)
        chosen = rendezvous.own_engines(instances, engines, 24)
        most = max(24, -(-2 * len(engines) // len(instances)))
        assert max(map(len, chosen.values())) <= most
        for engine in engines:
            assert sum(engine in found for found in chosen.values()) >= 2, engine

    check()


@behave.then("an instance that leaves moves little more than its own engines")
def little_moves(context):
    @REPEATABLE
    @hypothesis.given(strategies.integers(8, 40))
    def check(count):
        instances, engines = domain(count, 10 * count)
        before = rendezvous.own_engines(instances, engines, 24)
        after = rendezvous.own_engines(instances - {"entry-0"}, engines, 24)
        moved = senders_of(after) - senders_of(before)
        assert len(moved) <= 2 * len(before["entry-0"]), len(moved)

    check()


def admitted_in_a_minute(count, asked_at, see_each_other):
    """Return the units a second that a caller gets, asking for far more."""
    caller = schema.Caller(
        name="hot", key_sha256="0" * 64, tokens_per_second=10_000, burst_tokens=10_000
    )
    tables = [work_reports.PeerReports() for _ in range(count)]
    buckets = [rate_limits.CallerLimits(table) for table in tables]
    for bucket in buckets:
        bucket.set_instances(count)
    admitted = 0.0
    for step in range(600):
        now = step * SECOND / 10
        for bucket in buckets[:asked_at]:
            for _ in range(5):
                if isinstance(bucket.check(caller, 2000, now), rate_limits.Granted):
                    bucket.charge(caller, 2000, now)
                    admitted += 2000
        if see_each_other and step % 10 == 0:
            for number, bucket in enumerate(buckets):
                told = work_reports.WorkReport((), bucket.shares(now))
                for other, table in enumerate(tables):
                    if other != number:
                        table.update(f"entry-{number}", told, now)
    return admitted / 60


@behave.then("a caller at {count:d} instances that see {whom} gets its limit in all")
def limit_in_all(context, count, whom):
    rate = admitted_in_a_minute(count, count, whom == "each other")
    # The burst, a request for each instance, and the limit for the age of a report.
    assert 9_500 <= rate <= 10_000 + (10_000 + 2000 * count + 10_000) / 60, rate


@behave.then("a caller at 1 of {count:d} instances that see each other gets its limit")
def limit_at_one(context, count):
    rate = admitted_in_a_minute(count, 1, True)
    assert 9_000 <= rate <= 10_000 + (10_000 + 2000 * count) / 60, rate


@behave.then(
    "a caller at 1 of {count:d} instances that see nobody gets a quarter of its limit"
)
def part_at_one(context, count):
    rate = admitted_in_a_minute(count, 1, False)
    assert 2_400 <= rate <= 2_500 + (2_500 + 2000) / 60, rate


@behave.given("{count:d} servers of which {bad:d} fail again and again")
def failing_servers(context, count, bad):
    context.health = health.ServerHealth()
    context.servers = [f"engine-{number}" for number in range(count)]
    for server in context.servers[:bad]:
        for _ in range(5):
            context.health.failed(server, SECOND)
    context.health.update_ejections(context.servers, SECOND)


@behave.when("the pause is over and probes succeed")
def probes_succeed(context):
    for server in context.servers:
        if context.health.ejected(server):
            assert not context.health.may_probe(server, 2 * SECOND)
            assert context.health.may_probe(server, 10 * SECOND)
        context.health.observe(server, 1.0, 10 * SECOND)
    context.health.update_ejections(context.servers, 10 * SECOND)


@behave.then("{count:d} of them are ejected")
def some_ejected(context, count):
    ejected = [server for server in context.servers if context.health.ejected(server)]
    assert len(ejected) == count, ejected


@behave.then("none is ejected")
def none_ejected(context):
    some_ejected(context, 0)


@behave.then(
    "{count:d} callers refused at once are given {times:d} different times to come back"
)
def come_back_apart(context, count, times):
    turns = admission.RetryTimes()
    given = {turns.after(SECOND, SECOND / 10, 5 * SECOND) for _ in range(count)}
    assert len(given) == times, given
    assert min(given) >= SECOND, given


@behave.then("{count:d} failures without a success are retried {times:d} times")
def retries_are_bounded(context, count, times):
    budget = retries.RetryBudget()
    assert sum(budget.spend() for _ in range(count)) == times
    for _ in range(100):
        budget.succeeded(0.1)
    assert sum(budget.spend() for _ in range(count)) in (9, 10)


@behave.then("dispatches that fail together are tried again at different times")
def tried_again_apart(context):
    starts = [virtual_time.run(times_of_tries(seed)) for seed in range(20)]
    assert all(len(times) == 4 for times in starts), starts
    for attempt in range(1, 4):
        pauses = [times[attempt] - times[attempt - 1] for times in starts]
        assert len(set(pauses)) == 20, pauses
        assert max(pauses) <= SECOND / 9 * 2 ** (attempt - 1), pauses
    first, last = (
        sum((times[n] - times[n - 1] for times in starts), datetime.timedelta())
        for n in (1, 3)
    )
    assert last > 2 * first, (first, last)


async def times_of_tries(seed):
    """Return when a completion is sent to engines that all fail it."""
    time = virtual_time.LoopClock()
    times = []

    class Failing:
        async def generate(self, address, dispatch):
            times.append(time.monotonic())
            yield outcomes.OutcomeUnknown("failed")

    class AnyEngine(completion_scheduler.Scheduler):
        def choose(self, completion, failed):
            return load_fakes.document(1).engines[0]

    choice = AnyEngine(dispatcher.Dispatcher("entry-1", "x"), fleet.Fleet(), time)
    tries = completion_stream.ResumingStream(
        Failing(), choice, time, rng=random.Random(seed)
    )
    completion = dataclasses.replace(
        asked("r"), deadline=time.monotonic() + 60 * SECOND
    )
    async with contextlib.aclosing(tries.run(completion)) as events:
        async for _ in events:
            pass
    return times


@behave.then("a fresh report of 9 streams against 4 counted shows 5 more")
def fresh_report(context):
    assert outstanding_work.uncounted_streams(4, 9, datetime.timedelta()) == 5


@behave.then("a report of 10 seconds ago shows none")
def old_report(context):
    assert outstanding_work.uncounted_streams(4, 9, 10 * SECOND) == 0


@behave.given("an instance whose only engine is full")
def full_engine(context):
    document = load_fakes.document(1)
    own_fleet = fleet.Fleet()
    own_fleet.adopt(fleet.Configuration(1, "", document))
    context.clock = clock.ManualClock()
    context.decisions = dispatcher.Dispatcher("entry-1", "hakodate")
    context.scheduler = completion_scheduler.Scheduler(
        context.decisions, own_fleet, context.clock
    )
    context.engine = document.engines[0]
    context.taken = [asked(f"taken-{n}") for n in range(context.engine.streams)]


def asked(name):
    return completion_stream.Completion(
        name, "guest", load_fakes.MODEL, "badge", 60, deadline=5 * SECOND
    )


async def fill(context):
    for completion in context.taken:
        assert await context.scheduler.admit(completion) is None
    late = asyncio.create_task(context.scheduler.admit(asked("late")))
    await asyncio.sleep(0)
    assert context.decisions.waiting == 1
    return late


@behave.when("a caller waits and goes away")
def goes_away(context):
    async def scenario():
        late = await fill(context)
        late.cancel()
        await asyncio.gather(late, return_exceptions=True)

    asyncio.run(scenario())


@behave.then("nothing waits and nothing more is counted at the engine")
def nothing_waits(context):
    assert context.decisions.waiting == 0
    counted = context.decisions.outstanding.requests(context.engine.name)
    assert counted == context.engine.streams, counted


@behave.when("a caller waits until its answer could no longer be in time")
def waits_in_vain(context):
    async def scenario():
        late = await fill(context)
        running = asyncio.create_task(context.scheduler.run())
        while not late.done() and context.clock.monotonic() < 10 * SECOND:
            context.clock.advance(SECOND / 20)
            for _ in range(3):
                await asyncio.sleep(0)
        running.cancel()
        context.refusal, context.at = late.result(), context.clock.monotonic()

    asyncio.run(scenario())


@behave.then("it is refused as not run before its deadline")
def refused_in_time(context):
    assert context.refusal.execution is results.Execution.NOT_RUN, context.refusal
    assert SECOND < context.at < 5 * SECOND, context.at
