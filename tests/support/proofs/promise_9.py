"""Promise 9: an accepted configuration is in force everywhere and never reverts."""

import asyncio

from pimentolatch.control import heads
from tests.support import config_history, config_world, fault_matrix, seeded_scheduler

__all__ = ["PROOF", "ConfigurationInForce"]

_FAULTS_BEGIN_S = 14.0
_FAULTS_END_S = 32.0
_SUBMISSIONS = 8
_LOST_REPLIES = 3
_HEAD_WRITE = f"put {heads.HEAD_KIND}"
_PART_WRITE = f"put {heads.PART_KIND}"
_END_S = _FAULTS_END_S + 2 * config_history.IN_FORCE_WITHIN_S + 4


class ConfigurationInForce:
    """See `fault_matrix.Proof`; faults occur while operators submit documents."""

    promise = 9
    faults = (
        "kill",
        "freeze",
        "cut",
        "platform_out",
        "platform_slow",
        "reply_lost",
        "operator_race",
    )

    def run(
        self, faults: tuple[str, ...], seed: int, *, safeguards: bool = True
    ) -> fault_matrix.ProofRun:
        """See `matrix.Proof.run`."""
        chosen = config_world.Safeguards(safeguards, safeguards)
        return self.run_with(faults, seed, chosen)

    def run_with(
        self,
        faults: tuple[str, ...],
        seed: int,
        safeguards: config_world.Safeguards,
    ) -> fault_matrix.ProofRun:
        """Make one history with the given safeguards and check it."""
        history = asyncio.run(_history(faults, seed, safeguards))
        unknown = sum(
            result.outcome == config_history.UNKNOWN for result in history.results
        )
        return fault_matrix.ProofRun(
            self.promise,
            faults,
            seed,
            operations=len(history.results) + len(history.in_force),
            unknown=unknown,
            violations=config_history.check(history),
        )


PROOF = ConfigurationInForce()


async def _history(
    faults: tuple[str, ...], seed: int, safeguards: config_world.Safeguards
) -> config_history.ConfigHistory:
    world = config_world.ConfigWorld(seed, safeguards)
    try:
        world.scheduler.start(_operators(world, faults))
        for fault in faults:
            world.scheduler.start(_fault(world, fault))
        world.scheduler.start(_heal_at_end(world))
        await world.scheduler.run_until(_END_S)
    finally:
        await world.scheduler.end()
    fault_window = (_FAULTS_BEGIN_S, _FAULTS_END_S) if faults else None
    return world.history(fault_window)


async def _operators(world: config_world.ConfigWorld, faults: tuple[str, ...]) -> None:
    scheduler = world.scheduler
    race = "operator_race" in faults
    for number in range(_SUBMISSIONS):
        await scheduler.time.sleep(
            seeded_scheduler.seconds(1 + 3.5 * scheduler.random.random())
        )
        expected = await _current_number(world)
        if "reply_lost" in faults and number == _SUBMISSIONS - 1:
            # The write of its head takes effect late, with no submission in between.
            scheduler.add_hook(_HEAD_WRITE, 1, lambda _: _write_late(world))
        for rival in range(2 if race else 1):
            scheduler.start(
                world.submit_with_retries(f"submission-{number}-{rival}", expected)
            )


async def _current_number(world: config_world.ConfigWorld) -> int:
    row = world.table.get(heads.HEAD_KIND, heads.HEAD_NAME)
    return 0 if row is None else int(row.value["number"])


async def _fault(world: config_world.ConfigWorld, fault: str) -> None:
    scheduler = world.scheduler
    length = _FAULTS_END_S - _FAULTS_BEGIN_S
    await scheduler.time.sleep(
        seeded_scheduler.seconds(
            _FAULTS_BEGIN_S + scheduler.random.random() * length / 2
        )
    )
    chosen = scheduler.random.choice(sorted(world.processes))
    process = world.processes[chosen]
    match fault:
        case "kill":
            domain = process.identity.failure_domain
            world.kill(chosen)
            await scheduler.time.sleep(
                seeded_scheduler.seconds(scheduler.random.random() * 5)
            )
            world.start(chosen, domain)
        case "freeze":
            max_duration = _FAULTS_END_S - scheduler.now
            scheduler.freeze(
                process.name,
                seeded_scheduler.seconds(max_duration * scheduler.random.random()),
            )
        case "cut":
            world.cut(chosen, one_way=scheduler.random.random() < 0.5)
        case "platform_out":
            world.faults.outage = True
        case "platform_slow":
            world.faults.delay = seeded_scheduler.seconds(1.5)
        case "reply_lost":
            for _ in range(_LOST_REPLIES):
                point = scheduler.random.choice((_HEAD_WRITE, _PART_WRITE))
                scheduler.add_hook(
                    point, scheduler.random.randint(1, 2), lambda _: _lose_reply(world)
                )
                await scheduler.time.sleep(seeded_scheduler.seconds(3))
        case _:
            return


def _write_late(world: config_world.ConfigWorld) -> None:
    world.faults.late_writes += 1


def _lose_reply(world: config_world.ConfigWorld) -> None:
    """Lose the response to the current write, which takes effect now or later."""
    if world.scheduler.random.random() < 0.5:
        world.faults.lost_replies += 1
    else:
        world.faults.late_writes += 1


async def _heal_at_end(world: config_world.ConfigWorld) -> None:
    await world.scheduler.time.sleep(seeded_scheduler.seconds(_FAULTS_END_S))
    world.heal()
