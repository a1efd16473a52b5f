import behave

from pimentolatch import settings
from pimentolatch.decisions import departures
from pimentolatch.gateway import readiness_checks
from pimentolatch.routes import servers
from tests.support import route_world, silent_world, watch_world

FIRST = {"sequence": 1}
BEFORE_REPORT = 5
REPORT = 6
LATER = {"sequence": 9}
ADDRESS = settings.Address.from_text("127.0.0.1:80")
OTHER_ADDRESS = "127.0.0.1:81"
BORN_AGAIN = 2000


@behave.when('outage: "{name}" reports that it drains')
def drains(context, name):
    context.world.write(name, state="draining", sequence=REPORT)


@behave.when('outage: its first check-in of "{name}" is written')
def first_check_in(context, name):
    context.world.write(name, **FIRST)


@behave.when('outage: its check-in before the report of "{name}" is written')
def check_in_before(context, name):
    context.world.write(name, sequence=BEFORE_REPORT)


@behave.when('outage: a later check-in that is ready of "{name}" is written')
def later_check_in(context, name):
    context.world.write(name, **LATER)


@behave.when('outage: "{name}" says that it is ready when it is asked')
def says_ready(context, name):
    context.world.answers[name] = readiness_checks.Answer.READY


@behave.when('outage: "{name}" says that it is not ready when it is asked')
def says_not_ready(context, name):
    context.world.answers[name] = readiness_checks.Answer.NOT_READY


@behave.when('outage: "{name}" does not answer when it is asked')
def says_nothing(context, name):
    context.world.answers[name] = readiness_checks.Answer.NONE


@behave.when("outage: no server answers when it is asked")
def none_answers(context):
    answers = dict.fromkeys(context.servers, readiness_checks.Answer.NONE)
    context.world.answers.update(answers)


@behave.when("outage: all servers say that they are ready when they are asked")
def all_say_ready(context):
    context.world.answers.clear()


@behave.when(
    "outage: all entries are removed and written again, the last after"
    " {seconds:g} seconds"
)
def removed_and_back(context, seconds):
    world = context.world
    world.remove(*context.servers)
    world.advance(watch_world.STEP_S)
    for name in context.servers:
        world.advance(seconds / len(context.servers))
        world.write(name, **LATER)
    world.advance(1)


@behave.then("outage: no server was asked")
def none_asked(context):
    assert not context.world.asked, context.world.asked


@behave.then("outage: each instance uses a server")
def each_uses_one(context):
    assert all(i.used() for i in context.world.instances.values())


@behave.when('outage: "{name}" moves to another address')
def moves(context, name):
    context.world.write(name, address=OTHER_ADDRESS, sequence=REPORT)


@behave.then('outage: all instances have the new address of "{name}"')
def have_address(context, name):
    for instance in context.world.instances.values():
        address = instance.fleet.servers.get(name).address
        assert address == settings.Address.from_text(OTHER_ADDRESS), address


@behave.when('outage: "{name}" starts again with check-ins from 1 on')
def starts_again(context, name):
    context.world.write(name, born=BORN_AGAIN, **FIRST)


@behave.then('outage: all instances have the start time of "{name}"')
def have_start_time(context, name):
    for instance in context.world.instances.values():
        assert instance.fleet.servers.get(name).started_ms == BORN_AGAIN


@behave.when('outage: "{name}" starts')
def instance_starts(context, name):
    context.world.add_instance(name, "10.0.0.9")
    context.world.advance(1)


@behave.when('outage: "{server}" says in an answer to "{name}" that it leaves')
def says_leaving(context, server, name):
    fleet = context.world.instances[name].fleet
    listed = fleet.servers.get(server)
    context.world.said_leaving.add((name, listed.incarnation))
    fleet.mark_leaving(listed)


@behave.given("outage: an instance that has seen {count:d} servers leave")
def seen_leave(context, count):
    context.departures = departures.Departures()
    context.left = [
        servers.Server(f"s{n}", "app", ADDRESS, "here", False, None, 1, check_in=5)
        for n in range(count)
    ]
    for server in context.left:
        context.departures.depart(server)


@behave.when("outage: it is listed again, and leaves while its answer is on the way")
def leaves_while_asked(context):
    [server] = context.left
    context.departures.enlist(server, departures.Standing.UNCONFIRMED)
    context.departures.depart(server)
    context.departures.confirm(server.incarnation)


@behave.then("outage: it remembers at least {least:d} of them and at most {most:d}")
def remembers(context, least, most):
    remembered = sum(
        context.departures.judge(server, None) is departures.Standing.UNCONFIRMED
        for server in context.left
    )
    assert least <= remembered <= most, remembered


@behave.given(
    "silence: {count:d} gateways in two failure domains and clients that go on asking"
)
def gateways_in_domains(context, count):
    context.route_runner = route_world.runner()
    context.world = silent_world.Gateways(context.route_runner)
    context.world.world.failure_domains = ("here", "alone")
    context.world.start(count)


@behave.when(
    "silence: an engine and a plain server leave, and their entries are removed"
)
def leave(context):
    context.world.runner.run(context.world.leave())


@behave.when("silence: the entries are written as they were before")
def written_as_before(context):
    context.world.runner.run(context.world.write_as_before())


@behave.when("outage: all instances start again")
def start_again(context):
    world = context.world
    hosts = {name: i.host for name, i in world.instances.items()}
    world.instances.clear()
    world.asked.clear()
    for name, host in hosts.items():
        world.add_instance(name, host)
    world.advance(1)


@behave.when("outage: all servers say that they are not ready")
def all_say_not_ready(context):
    answers = dict.fromkeys(context.servers, readiness_checks.Answer.NOT_READY)
    context.world.answers.update(answers)


@behave.when("outage: all servers do not answer")
def all_do_not_answer(context):
    none_answers(context)


@behave.when("outage: {count:d} new servers appear at once")
def appear(context, count):
    for number in range(count):
        context.world.write(f"new-{number}", **FIRST)


@behave.then('outage: each instance uses "{name}"')
def each_uses(context, name):
    users = context.world.users(name)
    assert users == set(context.world.instances), users


@behave.then("outage: all instances use {count:d} servers")
def use_count(context, count):
    used = [len(i.used()) for i in context.world.instances.values()]
    assert set(used) == {count}, used


@behave.then('outage: "{name}" was asked once')
def asked_once(context, name):
    assert context.world.asked.count(name) == 1, context.world.asked
