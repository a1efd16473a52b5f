import collections
import dataclasses
import datetime
import random

import behave

from pimentolatch import settings
from pimentolatch.decisions import peer_choice, reachability
from pimentolatch.routes import servers

SECOND = datetime.timedelta(seconds=1)
GROUP = reachability.Group("lm", servers.Stage.DECODE)
RESULTS = {
    "answered": reachability.ProbeResult.ANSWERED,
    "silent": reachability.ProbeResult.SILENT,
    "not reached": reachability.ProbeResult.NOT_REACHED,
}
VERDICTS = {"has a path": False, "has lost it": True}
VERSION = 5


def server(name, domain):
    address = settings.Address.from_text("127.0.0.1:80")
    return servers.Server(name, "lm", address, domain, False, GROUP.stage, 8)


@behave.given("path: an instance that has just probed a server")
def probed(context):
    context.path = reachability.Reachability("here", random.Random(1))
    context.path.record_answer(GROUP, SECOND)
    context.since = 2 * SECOND


@behave.when("path: the server {answers} another request meanwhile")
def answers(context, answers):
    if answers == "answers":
        context.path.record_answer(GROUP, 3 * SECOND)


@behave.when("path: the probe is {result}")
def probe_is(context, result):
    reached = context.path.shows_path(RESULTS[result], GROUP, context.since)
    context.path.record(GROUP, reached=reached, now=3 * SECOND)


@behave.then("path: the instance {verdict}")
def has_path(context, verdict):
    assert context.path.is_cut_off(GROUP.service) is VERDICTS[verdict]


@behave.when("path: {here:d} servers here and {elsewhere:d} elsewhere may be probed")
def may_be_probed(context, here, elsewhere):
    listed = [server(f"h{number}", "here") for number in range(here)]
    listed += [server(f"e{number}", "there") for number in range(elsewhere)]
    path = reachability.Reachability("here", random.Random(1))
    context.probed = path.to_probe(listed)


@behave.then("path: {here:d} of those here and {elsewhere:d} elsewhere are")
def are_probed(context, here, elsewhere):
    found = collections.Counter(s.failure_domain for s in context.probed)
    assert found == {"here": here, "there": elsewhere}, found


@behave.given('path: peers "a", "b" and "c" here, and "d" elsewhere')
def peers(context):
    domains = {"a": "here", "b": "here", "c": "here", "d": "there"}
    context.peers = {
        name: peer_choice.Candidate(name, name, domain, VERSION)
        for name, domain in domains.items()
    }
    context.choice = peer_choice.PeerChoice("here")
    context.now = SECOND


def choose(context, number):
    return context.choice.choose(
        context.peers.values(), f"r{number}", VERSION, context.now
    )


@behave.when('path: {count:d} requests are forwarded and "{name}" fails')
def forwarded(context, count, name):
    context.choice.failed(context.peers[name], context.now)
    context.got = collections.Counter()
    for number in range(count):
        peer = choose(context, number)
        context.choice.begin(peer)
        context.got[peer.instance] += 1


@behave.then('path: "a" and "c" get 13 or 14, "d" gets 12 or 13')
def spread(context):
    got = context.got
    assert {got["a"], got["c"]} <= {13, 14}, got
    assert got["d"] in (12, 13), got
    assert not got["b"], got


@behave.when("path: a second passes")
def second_passes(context):
    context.now += SECOND


@behave.then('path: the next request goes to "{name}"')
def next_goes_to(context, name):
    assert choose(context, "next").instance == name


@behave.when('path: a request is forwarded to "{name}", which has version {version:d}')
def forwarded_to(context, name, version):
    newer = dataclasses.replace(context.peers[name], configuration=version)
    context.peers[name] = newer
    context.choice.begin(newer)
    context.choice.end(newer)


@behave.then('path: only "{name}" is used for the next ones')
def only(context, name):
    used = {choose(context, number).instance for number in range(20)}
    assert used == {name}, used
