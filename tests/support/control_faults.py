"""Injects faults into a simulated failure domain at times that a seed determines."""

import dataclasses
import typing

import logbook

from tests.support import control_history, control_world, seeded_scheduler

__all__ = ["Run", "run"]

FAULTS_UNTIL_S = 30.0
SETTLED_WITHIN_S = 90.0
_ROUNDS = 3
# Points at which faults are injected. Steps of an order make up more of the list than
# of all points, because a fault between two of these steps matters most.
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
# An instance can know that a server is leaving once it has been connected to the
# platform for this long without interruption since the list showed it. The interval
# at which it polls the list is shorter.
_VISIBLE_AFTER_S = 2.0
_CHECK_INTERVAL = seeded_scheduler.seconds(0.05)


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One finished run.

    Attributes:
        settled: Whether all engines reached their planned state once faults had ended.
    """

    events: tuple[control_history.Event, ...]
    settled: bool
    end_s: float


async def run(
    faults: tuple[str, ...], seed: int, safeguards: control_world.Safeguards
) -> Run:
    """Run a failure domain under faults, then without faults until it has settled."""
    with logbook.NullHandler().threadbound():
        return await _run(faults, control_world.World(seed, safeguards))


async def _run(faults: tuple[str, ...], world: control_world.World) -> Run:
    world.start()
    scheduler = world.scheduler
    scheduler.start(_change_planned_roles(world))
    scheduler.start(_withdraw_server(world))
    for fault in faults:
        scheduler.start(_repeat(world, _FAULTS[fault]))
    await scheduler.run_until(FAULTS_UNTIL_S)
    world.faults.clear()
    world.links.cut.clear()
    await scheduler.run_until(FAULTS_UNTIL_S + SETTLED_WITHIN_S, world.settled)
    settled, end = world.settled(), scheduler.now
    # Lets delayed messages and writes arrive.
    await scheduler.run_until(end + 15)
    settled = settled and world.settled()
    await scheduler.end()
    return Run(tuple(world.recorder.events), settled, scheduler.now)


async def _repeat(
    world: control_world.World, inject: typing.Callable[[control_world.World], None]
) -> None:
    for _ in range(_ROUNDS):
        await _wait(world, 0.5, FAULTS_UNTIL_S / _ROUNDS)
        inject(world)


async def _wait(world: control_world.World, low: float, high: float) -> None:
    duration = world.scheduler.random.uniform(low, high)
    await world.scheduler.time.sleep(seeded_scheduler.seconds(duration))


async def _change_planned_roles(world: control_world.World) -> None:
    while world.scheduler.now < FAULTS_UNTIL_S - 5:
        await _wait(world, 0.5, 6)
        world.change_planned_role()
        if world.scheduler.random.random() < 0.3:
            world.submit(new_versions=True)


async def _withdraw_server(world: control_world.World) -> None:
    await _wait(world, 5, 25)
    leaving = world.leaving_engine = world.scheduler.random.choice(
        control_world.ENGINES
    )
    connected_since: dict[str, float] = {}
    while True:
        for name, instance in world.instances.items():
            cut = world.faults.outage or name in world.faults.cut
            held = world.scheduler.is_frozen(instance.incarnation)
            if cut or held or not instance.alive:
                connected_since.pop(instance.incarnation, None)
                continue
            since = connected_since.setdefault(
                instance.incarnation, world.scheduler.now
            )
            if world.scheduler.now - since >= _VISIBLE_AFTER_S:
                connected_since[instance.incarnation] = float("inf")
                world.recorder.add(
                    control_history.LeavingShown(
                        world.scheduler.now, leaving, instance.incarnation
                    )
                )
        await world.scheduler.time.sleep(_CHECK_INTERVAL)


def _name_of(actor: str) -> str:
    return actor.split("/")[0]


def _inject_at_point(
    world: control_world.World, inject: typing.Callable[[str], None]
) -> None:
    """Inject a fault into the actor that reaches one of `_POINTS` next."""
    point = world.scheduler.random.choice(_POINTS)
    world.scheduler.add_hook(point, world.scheduler.random.randint(1, 3), inject)


def _kill(world: control_world.World) -> None:
    downtime = seeded_scheduler.seconds(world.scheduler.random.uniform(1, 5))
    # A task can't cancel itself, so the kill runs in a callback of the event loop.
    _inject_at_point(
        world,
        lambda actor: world.scheduler.call_soon(
            lambda: world.kill_instance(_name_of(actor), downtime)
        ),
    )


def _freeze(world: control_world.World) -> None:
    duration = seeded_scheduler.seconds(world.scheduler.random.uniform(2, 20))
    _inject_at_point(world, lambda actor: world.scheduler.freeze(actor, duration))


def _cut(world: control_world.World) -> None:
    random = world.scheduler.random
    instance = random.choice(control_world.INSTANCES)
    others = [name for name in control_world.INSTANCES if name != instance]
    kind = random.choice(("platform", "peers", "engine", "all but engines"))
    duration = seeded_scheduler.seconds(random.uniform(2, 12))
    if kind in ("platform", "all but engines"):
        world.scheduler.start(_cut_platform(world, instance, duration))
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
    world.scheduler.start(_cut_links(world, pairs, duration))


async def _cut_platform(
    world: control_world.World, instance: str, duration: typing.Any
) -> None:
    world.faults.cut.add(instance)
    await world.scheduler.time.sleep(duration)
    world.faults.cut.discard(instance)


async def _cut_links(
    world: control_world.World, pairs: list[tuple[str, str]], duration: typing.Any
) -> None:
    world.links.cut.update(pairs)
    await world.scheduler.time.sleep(duration)
    world.links.cut.difference_update(pairs)


def _platform_out(world: control_world.World) -> None:
    async def out() -> None:
        world.faults.outage = True
        await _wait(world, 1, 10)
        world.faults.outage = False

    world.scheduler.start(out())


def _platform_slow(world: control_world.World) -> None:
    async def slow() -> None:
        world.faults.delay = seeded_scheduler.seconds(
            world.scheduler.random.uniform(0.2, 2)
        )
        await _wait(world, 2, 10)
        world.faults.delay = seeded_scheduler.seconds(0)

    world.scheduler.start(slow())


def _reply_lost(world: control_world.World) -> None:
    world.faults.lost_replies += world.scheduler.random.randint(1, 4)
    world.faults.late_writes += world.scheduler.random.randint(0, 2)


def _engine_crash(world: control_world.World) -> None:
    engine = world.engines[world.scheduler.random.choice(control_world.ENGINES)]
    if world.scheduler.random.random() < 0.7:
        engine.crashes_during_change += 1
    else:
        down = seeded_scheduler.seconds(world.scheduler.random.uniform(0.5, 5))
        world.scheduler.start(engine.crash(down))


def _operator_race(world: control_world.World) -> None:
    for _ in range(world.scheduler.random.randint(2, 3)):
        world.submit(new_versions=world.scheduler.random.random() < 0.7)


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
