"""Brings faults about in a failure domain in memory, at moments that a seed decides."""

import dataclasses
import typing

import logbook

from tests.support import control_world, history, schedule

__all__ = ["Run", "run"]

FAULTS_UNTIL_S = 30.0
SETTLED_WITHIN_S = 90.0
_ROUNDS = 3
# The steps of an order come more often than their number: that is where a fault that
# lands between two steps matters.
_POINTS = (
    "send",
    "send",
    "opened",
    "put order-slots",
    "put order-slots",
    "put order-slots done",
    "list order-slots done",
    "put domain-views",
    "opened",
    "send",
    "sent",
    "state seen",
    "dispatch",
)
# An instance can know that a server is leaving once it has had the platform for this
# long in one go since the list showed it: its poll of the list is shorter.
_CAN_KNOW_S = 2.0
_LOOK = schedule.seconds(0.05)


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One finished run; `settled` tells whether it came to rest by itself."""

    events: tuple[history.Event, ...]
    settled: bool
    end_s: float


async def run(
    faults: tuple[str, ...], seed: int, safeguards: control_world.Safeguards
) -> Run:
    """Run a failure domain under faults, then without, until it is settled."""
    with logbook.NullHandler().threadbound():
        return await _run(faults, control_world.World(seed, safeguards))


async def _run(faults: tuple[str, ...], world: control_world.World) -> Run:
    world.start()
    plan = world.plan
    plan.start(_shift_mix(world))
    plan.start(_leave(world))
    for fault in faults:
        plan.start(_rounds(world, _FAULTS[fault]))
    await plan.run_until(FAULTS_UNTIL_S)
    world.faults.clear()
    world.links.cut.clear()
    await plan.run_until(FAULTS_UNTIL_S + SETTLED_WITHIN_S, world.settled)
    settled, end = world.settled(), plan.now
    # Whatever is late still arrives.
    await plan.run_until(end + 15)
    settled = settled and world.settled()
    await plan.end()
    return Run(tuple(world.recorder.events), settled, plan.now)


async def _rounds(
    world: control_world.World, strike: typing.Callable[[control_world.World], None]
) -> None:
    for _ in range(_ROUNDS):
        await _wait(world, 0.5, FAULTS_UNTIL_S / _ROUNDS)
        strike(world)


async def _wait(world: control_world.World, low: float, high: float) -> None:
    duration = world.plan.random.uniform(low, high)
    await world.plan.time.sleep(schedule.seconds(duration))


async def _shift_mix(world: control_world.World) -> None:
    while world.plan.now < FAULTS_UNTIL_S - 5:
        await _wait(world, 0.5, 6)
        world.plan_roles()
        if world.plan.random.random() < 0.3:
            world.submit(new_versions=True)


async def _leave(world: control_world.World) -> None:
    await _wait(world, 5, 25)
    leaving = world.leaving_engine = world.plan.random.choice(control_world.ENGINES)
    able_since: dict[str, float] = {}
    while True:
        for name, instance in world.instances.items():
            cut = world.faults.outage or name in world.faults.cut
            held = world.plan.is_frozen(instance.incarnation)
            if cut or held or not instance.alive:
                able_since.pop(instance.incarnation, None)
                continue
            since = able_since.setdefault(instance.incarnation, world.plan.now)
            if world.plan.now - since >= _CAN_KNOW_S:
                able_since[instance.incarnation] = float("inf")
                world.recorder.add(
                    history.LeavingShown(world.plan.now, leaving, instance.incarnation)
                )
        await world.plan.time.sleep(_LOOK)


def _name_of(actor: str) -> str:
    return actor.split("/")[0]


def _strike_at_point(
    world: control_world.World, strike: typing.Callable[[str], None]
) -> None:
    """Strike whoever next comes to one of the points where a fault matters."""
    point = world.plan.random.choice(_POINTS)
    world.plan.trap(point, world.plan.random.randint(1, 3), strike)


def _kill(world: control_world.World) -> None:
    away = schedule.seconds(world.plan.random.uniform(1, 5))
    # A task can't be ended from within itself; the schedule ends it a moment later.
    _strike_at_point(
        world,
        lambda actor: world.plan.soon(
            lambda: world.kill_instance(_name_of(actor), away)
        ),
    )


def _freeze(world: control_world.World) -> None:
    duration = schedule.seconds(world.plan.random.uniform(2, 20))
    _strike_at_point(world, lambda actor: world.plan.freeze(actor, duration))


def _cut(world: control_world.World) -> None:
    random = world.plan.random
    instance = random.choice(control_world.INSTANCES)
    others = [name for name in control_world.INSTANCES if name != instance]
    kind = random.choice(("platform", "peers", "engine", "all but engines"))
    duration = schedule.seconds(random.uniform(2, 12))
    if kind in ("platform", "all but engines"):
        world.plan.start(_cut_platform(world, instance, duration))
    pairs = {
        "platform": [],
        "peers": [(instance, other) for other in others],
        "engine": [(instance, random.choice(control_world.ENGINES))],
        "all but engines": [
            pair for other in others for pair in ((instance, other), (other, instance))
        ],
    }[kind]
    if kind == "engine" and random.random() < 0.5:
        pairs = [(receiver, sender) for sender, receiver in pairs]
    world.plan.start(_cut_links(world, pairs, duration))


async def _cut_platform(
    world: control_world.World, instance: str, duration: typing.Any
) -> None:
    world.faults.cut.add(instance)
    await world.plan.time.sleep(duration)
    world.faults.cut.discard(instance)


async def _cut_links(
    world: control_world.World, pairs: list[tuple[str, str]], duration: typing.Any
) -> None:
    world.links.cut.update(pairs)
    await world.plan.time.sleep(duration)
    world.links.cut.difference_update(pairs)


def _platform_out(world: control_world.World) -> None:
    async def out() -> None:
        world.faults.outage = True
        await _wait(world, 1, 10)
        world.faults.outage = False

    world.plan.start(out())


def _platform_slow(world: control_world.World) -> None:
    async def slow() -> None:
        world.faults.delay = schedule.seconds(world.plan.random.uniform(0.2, 2))
        await _wait(world, 2, 10)
        world.faults.delay = schedule.seconds(0)

    world.plan.start(slow())


def _reply_lost(world: control_world.World) -> None:
    world.faults.lost_replies += world.plan.random.randint(1, 4)
    world.faults.late_writes += world.plan.random.randint(0, 2)


def _engine_crash(world: control_world.World) -> None:
    engine = world.engines[world.plan.random.choice(control_world.ENGINES)]
    if world.plan.random.random() < 0.7:
        engine.crashes_during_change += 1
    else:
        down = schedule.seconds(world.plan.random.uniform(0.5, 5))
        world.plan.start(engine.crash(down))


def _operator_race(world: control_world.World) -> None:
    for _ in range(world.plan.random.randint(2, 3)):
        world.submit(new_versions=world.plan.random.random() < 0.7)


_FAULTS: dict[str, typing.Callable[[control_world.World], None]] = {
    "kill": _kill,
    "freeze": _freeze,
    "cut": _cut,
    "platform_out": _platform_out,
    "platform_slow": _platform_slow,
    "reply_lost": _reply_lost,
    "engine_crash": _engine_crash,
    "operator_race": _operator_race,
}
