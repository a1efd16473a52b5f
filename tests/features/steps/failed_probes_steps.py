import datetime

import behave

from pimentolatch.decisions import health

NOW = datetime.timedelta(seconds=100)
SERVERS = ("first", "second", "third", "fourth")
FAILURES_TO_EJECT = 3


def after(seconds):
    return NOW + datetime.timedelta(seconds=seconds)


@behave.given("probes: four servers of which one has failed and is ejected")
def ejected(context):
    context.health = health.ServerHealth()
    for _ in range(FAILURES_TO_EJECT):
        context.health.failed("first", NOW)
    context.health.update_ejections(SERVERS, NOW)
    assert context.health.ejected("first")


@behave.when("probes: {count:d} of its earlier calls fail too")
def earlier_calls_fail(context, count):
    for number in range(count):
        context.health.failed("first", after(number / 100))


@behave.when("probes: a probe is sent after {seconds:d} seconds and fails")
def probe_fails(context, seconds):
    assert context.health.may_probe("first", after(seconds))
    context.health.probed("first", after(seconds))
    context.health.failed("first", after(seconds))


@behave.then("probes: it may be probed after {seconds:d} seconds")
def may_be_probed(context, seconds):
    assert context.health.may_probe("first", after(seconds))


@behave.then("probes: it may not be probed after {seconds:d} seconds")
def may_not_be_probed(context, seconds):
    assert not context.health.may_probe("first", after(seconds))
