import dataclasses
import datetime
import re

import behave

from pimentolatch import clock, settings
from pimentolatch.decisions import crash_suspects
from pimentolatch.gateway import quarantine
from pimentolatch.gateway import settings as gateway_settings
from pimentolatch.protocol import beacons
from pimentolatch.requests import digests
from pimentolatch.routes import servers

SECOND = datetime.timedelta(seconds=1)
DIGEST = 0xA1B2C3
# Longer than a request is held off until peers have been heard.
SETTLED = 5 * SECOND
# More beacons than tell any news.
ALL_TOLD = 50


@dataclasses.dataclass(frozen=True)
class Asked:
    digest: int
    part_digests: tuple = ()


REQUEST = Asked(DIGEST)
OTHER = Asked(0xD4E5F6)


def server(name):
    address = settings.Address.from_text("127.0.0.1:80")
    return servers.Server(name, "lm", address, "here", False, None, 8)


def names_in(text):
    return re.findall(r'"(\w+)"', text)


def tell(kept, name, digest=DIGEST, age_ms=0):
    row = beacons.CrashReport(digest, servers.Incarnation(name), False, age_ms)
    kept.receive(quarantine.CrashReports((row,)))


@behave.given("suspects: a request under which servers {names} ended {when}")
def suspect(context, names, when):
    ended(context, names)
    if when == "before":
        context.time.advance(SETTLED)


def ended(context, names):
    context.time = clock.ManualClock()
    context.time.advance(SETTLED)
    context.kept = quarantine.Quarantine(crash_suspects.Policy(), context.time)
    for name in names_in(names):
        begun = context.time.monotonic()
        context.time.advance(SECOND / 10)
        context.kept.record_crash(REQUEST, server(name), begun)


@behave.given("suspects: servers end {times} ms after they were sent a request")
def ended_after(context, times):
    context.time = clock.ManualClock()
    context.time.advance(SETTLED)
    context.kept = quarantine.Quarantine(crash_suspects.Policy(), context.time)
    context.ends = {}
    for number, lasted in enumerate(re.findall(r"\d+", times)):
        context.time.advance(SECOND)
        begun = context.time.monotonic()
        context.time.advance(int(lasted) * SECOND / 1000)
        context.kept.record_crash(REQUEST, server(f"s{number}"), begun)
        context.ends[f"s{number}"] = begun
    context.time.advance(SETTLED)


@behave.when("suspects: that time passes")
def quarantine_passes(context):
    context.time.advance(context.kept.verdict(REQUEST).remaining)
    context.kept.review_once()


@behave.when(
    "suspects: one more server ends {lasted:d} ms after it was sent the request"
)
def one_more_ends(context, lasted):
    name = f"s{len(context.ends)}"
    context.ends[name] = context.time.monotonic()
    context.time.advance(lasted * SECOND / 1000)
    context.kept.record_crash(REQUEST, server(name), context.ends[name])
    context.time.advance(SETTLED)


@behave.then("suspects: the request is in quarantine for {minutes:d} minutes")
def in_quarantine_for(context, minutes):
    verdict = context.kept.verdict(REQUEST)
    assert verdict.confirmed
    whole = datetime.timedelta(minutes=minutes)
    assert whole - 2 * SETTLED < verdict.remaining < whole, verdict.remaining


@behave.given(
    "suspects: the same servers had been sent another request {lead:d} ms earlier"
)
def another_beside(context, lead):
    for name, begun in context.ends.items():
        row = beacons.CrashReport(
            OTHER.digest,
            servers.Incarnation(name),
            cleared=False,
            age_ms=(context.time.monotonic() - begun) // (SECOND / 1000),
            ran_for_ms=50 + lead,
        )
        context.kept.receive(quarantine.CrashReports((row,)))


@behave.given(
    "suspects: the same servers and one more had been sent another request"
    " {lead:d} ms earlier"
)
def another_beside_with_more(context, lead):
    another_beside(context, lead)
    tell(context.kept, "one more", OTHER.digest, age_ms=SETTLED // (SECOND / 1000))


@behave.given("suspects: three other servers end at the same time")
def others_end(context):
    for number, begun in enumerate(context.ends.values()):
        age_ms = (context.time.monotonic() - begun) // (SECOND / 1000)
        tell(context.kept, f"o{number}", digest=number, age_ms=age_ms)


@behave.then("suspects: the other request may run")
def other_may_run(context):
    assert context.kept.verdict(OTHER) is None


@behave.when("suspects: peers report {names}")
def reported(context, names):
    drain(context.kept)
    for name in names_in(names):
        tell(context.kept, name)
    context.time.advance(SETTLED)


def drain(kept):
    for _ in range(ALL_TOLD):
        kept.take_near()


@behave.when('suspects: "{name}" answers an exchange that began {when}')
def answers(context, name, when):
    now = context.time.monotonic()
    began = now if when == "later" else now - 2 * SETTLED
    context.kept.record_response(server(name), began)


@behave.when("suspects: the request runs to its end")
def runs(context):
    context.kept.record_completion(REQUEST)


@behave.when("suspects: {count:d} other requests break off")
def flood(context, count):
    for number in range(count):
        begun = context.time.monotonic()
        context.time.advance(SECOND / 1000)
        context.kept.record_crash(Asked(number), server(f"f{number}"), begun)


@behave.when("suspects: a day passes and a peer still tells of it")
def day_passes(context):
    context.time.advance(datetime.timedelta(days=1))
    age = datetime.timedelta(days=1) / datetime.timedelta(milliseconds=1)
    drain(context.kept)
    for name in ("s1", "s2", "s3"):
        tell(context.kept, name, age_ms=int(age) + 10_000)
    context.kept.review_once()


@behave.when(
    'suspects: it was sent to "{name}" after that had ended under another request'
)
def sent_too_late(context, name):
    other = Asked(7)
    context.kept.record_crash(other, server(name), context.time.monotonic())
    context.time.advance(SECOND)
    begun = context.time.monotonic()
    context.time.advance(SECOND)
    context.kept.record_crash(REQUEST, server(name), begun)
    context.time.advance(SETTLED)


@behave.when("suspects: the news have been told and another instance starts")
def another_starts(context):
    drain(context.kept)
    policy = crash_suspects.Policy()
    context.other = quarantine.Quarantine(policy, context.time)


@behave.when("suspects: it hears one more beacon")
def hears_one(context):
    context.other.receive(context.kept.take_near())


@behave.when("suspects: its digest is exempt in the settings")
def exempt(context):
    text = digests.digest_text(DIGEST)
    chosen = gateway_settings.QuarantineSettings(exempt=(text,))
    context.kept.apply(chosen.policy)


@behave.then("suspects: the request may run")
def may_run(context):
    assert context.kept.verdict(REQUEST) is None


@behave.then("suspects: the request is in quarantine")
def in_quarantine(context):
    assert context.kept.verdict(REQUEST).confirmed
    assert context.kept.size == 1


@behave.then("suspects: both requests are in quarantine")
def both_in_quarantine(context):
    assert context.kept.verdict(REQUEST).confirmed
    assert context.kept.verdict(OTHER).confirmed


@behave.then("suspects: the request is in quarantine there")
def in_quarantine_there(context):
    assert context.other.verdict(REQUEST).confirmed


@behave.then("suspects: the request is to come back within two seconds")
def held_off(context):
    verdict = context.kept.verdict(REQUEST)
    assert not verdict.confirmed
    assert SECOND < verdict.remaining < 2 * SECOND


@behave.then("suspects: the peers are told that both are cleared")
def told_cleared(context):
    told = {
        row.server.server_id: row.cleared for row in context.kept.take_near().requests
    }
    assert told["s1"] and told["s2"], told


@behave.then("suspects: no more are remembered than the bound")
def bounded(context):
    assert len(context.kept._suspects._suspects) <= crash_suspects.MAX_DIGESTS


@behave.then("suspects: nothing is left to be told")
def nothing_told(context):
    drain(context.kept)
    assert context.kept.take_near() == quarantine.CrashReports()
