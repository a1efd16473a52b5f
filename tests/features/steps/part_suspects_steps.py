import dataclasses
import datetime
import itertools

import behave

from pimentolatch import clock, settings
from pimentolatch.decisions import crash_suspects
from pimentolatch.gateway import quarantine
from pimentolatch.gateway import settings as gateway_settings
from pimentolatch.requests import digests
from pimentolatch.routes import servers

SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
# Beacons in which each piece of evidence of a few crashes is told at least once.
BEACONS = 20
# Time between two servers that end under prompts of their own.
PAUSE = SECOND / 4
_numbers = itertools.count()


@dataclasses.dataclass(frozen=True)
class Asked:
    digest: int
    part_digests: tuple


def prompt(text):
    """Return a request of its own with parts of these names."""
    parts = tuple(digests.part_digest(b"", name) for name in text.split(", "))
    return Asked(next(_numbers), parts)


def server(name):
    address = settings.Address.from_text("127.0.0.1:80")
    return servers.Server(name, "lm", address, "here", False, None, 8)


@behave.given("parts: an instance that knows of no crash")
def start(context):
    context.time = clock.ManualClock()
    context.time.advance(SECOND)
    context.kept = quarantine.Quarantine(
        crash_suspects.Policy(), context.time, lambda part: True
    )


@behave.when(
    'parts: {count:d} servers end {ms:d} ms after they got prompts of "{text}"'
)
def end(context, count, ms, text):
    context.lost = [server(f"s{next(_numbers)}") for _ in range(count)]
    for lost in context.lost:
        begun = context.time.monotonic()
        context.time.advance(ms * MILLISECOND)
        context.kept.record_crash(prompt(text), lost, begun)
        context.time.advance(PAUSE)


@behave.when(
    'parts: {count:d} servers end while they have sent events of "{text}" for a while'
)
def end_proven(context, count, text):
    for _ in range(count):
        lost = server(f"s{next(_numbers)}")
        begun = context.time.monotonic()
        context.time.advance(SECOND)
        context.kept.record_crash(prompt(text), lost, begun, proven=True)


@behave.when('parts: peers tell that these had sent events of "{text}" for a while')
def peers_tell(context, text):
    peer = quarantine.Quarantine(crash_suspects.Policy(), context.time)
    begun = context.time.monotonic() - SECOND
    for lost in context.lost:
        peer.record_crash(prompt(text), lost, begun, proven=True)
    for _ in range(BEACONS):
        context.kept.receive(peer.take_near())


@behave.when('parts: a prompt of "{text}" completes')
def complete(context, text):
    context.kept.record_completion(prompt(text))


@behave.when("parts: the time passes in which peers can clear a crash")
def settle(context):
    context.time.advance(crash_suspects.DISSEMINATION_TIME)


@behave.when("parts: {seconds:d} s pass")
def pass_time(context, seconds):
    context.time.advance(seconds * SECOND)


@behave.when(
    'parts: {count:d} servers end within {ms:d} ms, each under a prompt of "{text}"'
)
def end_at_once(context, count, ms, text):
    for _ in range(count):
        begun = context.time.monotonic()
        context.time.advance(ms * MILLISECOND / count)
        lost = server(f"s{next(_numbers)}")
        context.kept.record_crash(prompt(text), lost, begun)


@behave.then('parts: one of {count:d} prompts of "{text}" may run')
def one_may(context, count, text):
    asked = [prompt(text) for _ in range(count)]
    allowed = [one for one in asked if context.kept.verdict(one) is None]
    assert len(allowed) == 1, len(allowed)
    assert context.kept.verdict(allowed[0]) is None
    context.on_trial = allowed[0]


@behave.then('parts: none of {count:d} prompts of "{text}" may run')
def none_may(context, count, text):
    assert all(context.kept.verdict(prompt(text)) for _ in range(count))


@behave.when("parts: the prompt on trial completes")
def trial_completes(context):
    context.kept.record_completion(context.on_trial)


@behave.when("parts: a server ends under the prompt on trial")
def trial_ends(context):
    begun = context.time.monotonic()
    context.time.advance(SECOND / 10)
    lost = server(f"s{next(_numbers)}")
    context.kept.record_crash(context.on_trial, lost, begun)
    assert context.kept.verdict(context.on_trial) is not None


@behave.when("parts: another instance starts and hears some beacons")
def another_starts(context):
    for _ in range(BEACONS):
        context.kept.take_near()
    context.other = quarantine.Quarantine(crash_suspects.Policy(), context.time)
    for _ in range(BEACONS):
        context.other.receive(context.kept.take_near())
    context.time.advance(crash_suspects.DISSEMINATION_TIME)


@behave.when("parts: {count:d} other parts lose a server each and complete")
def others(context, count):
    for number in range(count):
        asked = prompt(f"part {number}")
        begun = context.time.monotonic()
        context.kept.record_crash(asked, server(f"o{number}"), begun)
        if number % 2:
            context.kept.record_completion(asked)


@behave.when('parts: the digest of "{name}" is exempt in the settings')
def exempt(context, name):
    text = digests.digest_text(digests.part_digest(b"", name))
    chosen = gateway_settings.QuarantineSettings(exempt=(text,))
    context.kept.apply(chosen.policy)


@behave.then('parts: prompts of "{text}" are kept from servers')
def kept(context, text):
    assert context.kept.verdict(prompt(text)).confirmed
    assert context.kept.part_count


@behave.then('parts: prompts of "{text}" are kept from servers there')
def kept_there(context, text):
    assert context.other.verdict(prompt(text)).confirmed


@behave.then('parts: prompts of "{text}" are not')
def not_kept(context, text):
    assert context.kept.verdict(prompt(text)) is None


@behave.then("parts: no more parts are remembered than the bound")
def bounded(context):
    suspects = context.kept._parts
    assert len(suspects._suspects) <= crash_suspects.MAX_DIGESTS
    assert len(suspects._completed_at) <= crash_suspects.MAX_DIGESTS
