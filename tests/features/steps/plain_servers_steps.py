import collections
import datetime
import json

import behave

from pimentolatch import fleet
from pimentolatch.decisions import outstanding_work, plain_routing
from pimentolatch.document import schema
from standins import processes

QUICK = datetime.timedelta(milliseconds=20)
STEP = datetime.timedelta(seconds=1)


def plain_server(number):
    return schema.PlainServer(
        name=f"plain-{number}",
        failure_domain="north",
        address={"host": "127.0.0.1", "port": 1000 + number},
        services=("booking",),
    )


def least_outstanding(counted, servers):
    return min(servers, key=lambda server: (counted.requests(server.name), server.name))


@behave.given("{count:d} plain servers of which the first breaks every call at once")
def servers_one_broken(context, count):
    context.servers = [plain_server(number) for number in range(1, count + 1)]
    context.counted = outstanding_work.OutstandingWork()
    context.router = plain_routing.PlainRouter("north", context.counted)
    context.broken = {"plain-1"}
    context.now = datetime.timedelta()


def send(context, choose):
    """Send one call; others are always outstanding at the servers that work."""
    for server in context.servers[1:]:
        context.counted.begin(server.name)
    chosen = choose()
    for server in context.servers[1:]:
        context.counted.end(server.name)
    if chosen.name in context.broken:
        context.router.failed(chosen.name, context.now)
    else:
        context.router.answered(chosen.name, QUICK, context.now)
    return chosen.name


def ours(context, repeatable):
    return lambda: context.router.choose(
        fleet.View(), context.servers, context.now, repeatable=repeatable
    )


@behave.when(
    "{count:d} calls that may not be repeated are sent by outstanding work alone"
)
def send_plainly(context, count):
    def choose():
        return least_outstanding(context.counted, context.servers)

    names = [send(context, choose) for _ in range(count)]
    context.failures = sum(name in context.broken for name in names)
    context.router = plain_routing.PlainRouter("north", context.counted)


@behave.when("{count:d} calls that may not be repeated are sent by our choice")
def send_ours(context, count):
    names = [send(context, ours(context, False)) for _ in range(count)]
    context.failures = sum(name in context.broken for name in names)


@behave.then("{count:d} of them broke")
def broke(context, count):
    assert context.failures == count, context.failures


@behave.when("the first server mends and {count:d} repeatable calls follow over 60 s")
def mends(context, count):
    context.broken = set()
    context.names = []
    for _ in range(count):
        context.now += STEP
        context.names.append(send(context, ours(context, True)))


@behave.then("the first server gets calls again")
def gets_calls(context):
    counts = collections.Counter(context.names[-20:])
    assert counts["plain-1"] >= 5, counts


@behave.when("the nearest plain server drops its answers to {count:d} confirmations")
def drops_answers(context, count):
    deployment = context.deployment
    fault = {"kind": "drop_reply", "path": "/v1/services"}
    processes.call("POST", deployment.server_url("plain-1", "/faults"), fault)
    url = deployment.callers_url("entry-1", "/v1/services/booking/confirm")
    context.confirmations = [
        processes.call("POST", url, {"booking": number}) for number in range(count)
    ]


@behave.then(
    "at most {most:d} of them are unknown, the others are answered, and none ran twice"
)
def few_unknown(context, most):
    unknown = [body for status, body in context.confirmations if status != 200]
    assert all(b["error"]["execution"] == "outcome unknown" for b in unknown), unknown
    assert 1 <= len(unknown) <= most, unknown
    runs = collections.Counter()
    for name in context.deployment.plain_servers:
        url = context.deployment.server_url(name, "/runs")
        runs.update(run["body"] for run in processes.call("GET", url)[1])
    assert len(runs) == len(context.confirmations), runs
    assert set(runs.values()) == {1}, runs
    sent = {json.dumps({"booking": n}) for n in range(len(context.confirmations))}
    assert set(runs) == sent, runs
