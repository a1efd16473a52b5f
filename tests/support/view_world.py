"""Simulated instances that acknowledge domain views, on a random schedule.

The leader writes views of its failure domain and waits until all instances have
acknowledged them. From then on no process may route by an older view: the leader would
order changes of engines that this process still sends requests to.
"""

import asyncio
import typing
from collections import abc

from pimentolatch import store
from pimentolatch.membership import views
from tests.support import config_world, seeded_scheduler

__all__ = ["ViewWorld", "random_faults", "start_cut_off", "start_during_outage"]

_DOMAIN = "north"
_LEADER = "entry-1"
_POLL_INTERVAL = seeded_scheduler.seconds(0.1)
_LIST_INTERVAL = seeded_scheduler.seconds(1)
_LIST_DELAY = seeded_scheduler.seconds(2)


class ViewWorld(config_world.ConfigWorld):
    """Adds a leader, and the platform's instance list, to the simulation.

    Attributes:
        violations: Processes that routed by an older view when no acknowledgement was
            missing.
        confirmed: Numbers of the views that were acknowledged by all.
    """

    def __init__(self, seed: int, safeguards: config_world.Safeguards) -> None:
        super().__init__(seed, safeguards)
        self.violations: list[str] = []
        self.confirmed: list[int] = []
        self.scheduler.start(self._publish_lists())

    def start_with_peers(self, instance: str, reachable: frozenset[str]) -> None:
        """Start an instance with links to some peers only."""
        for other in self.processes:
            if other not in reachable:
                self.cuts |= {(other, instance), (instance, other)}
        self.start(instance, _DOMAIN)

    async def write_view(self) -> None:
        """Write a view as the leader and wait for all acknowledgements."""
        leader = self.processes[_LEADER]
        number = leader.table.number(_DOMAIN)
        value = {"withdrawn": [f"engine-{number}"], "roles": {}}
        outcome = await leader.objects.put(
            views.DOMAIN_VIEW_KIND, _DOMAIN, value, if_version=number
        )
        if not isinstance(outcome, store.Written):
            return
        number = outcome.version
        leader.node.announce(views.DomainView.from_json(_DOMAIN, number, value))
        while self.processes.get(_LEADER) is leader:
            found = await leader.registrations.read()
            if not isinstance(found, store.Unavailable):
                leader.node.apply_registrations(found, {_DOMAIN: number})
            if not leader.node.acknowledged.missing(_DOMAIN, number):
                self._confirm(number)
                return
            await leader.time.sleep(_POLL_INTERVAL)

    def _confirm(self, number: int) -> None:
        self.confirmed.append(number)
        for process in self.processes.values():
            behind = process.table.number(_DOMAIN) < number
            if process.table.complete and behind:
                self.violations.append(f"{process.name} routes by an older view")

    async def _publish_lists(self) -> None:
        while True:
            rows = tuple(
                store.Instance(name, "entry", _DOMAIN, name, 1, "live")
                for name in self.processes
            )
            self.scheduler.start(self._deliver_list(rows))
            await self.scheduler.time.sleep(_LIST_INTERVAL)

    async def _deliver_list(self, rows: tuple[store.Instance, ...]) -> None:
        requested_at = self.scheduler.time.monotonic()
        await self.scheduler.time.sleep(_LIST_DELAY)
        for process in list(self.processes.values()):
            if not self.scheduler.is_frozen(process.name) and not self.faults.outage:
                process.node.apply_instance_list(rows, requested_at)


def start_during_outage(seed: int, safeguards: config_world.Safeguards) -> ViewWorld:
    """An instance introduced by one peer in a store outage is frozen afterwards."""

    async def inject_faults(world: ViewWorld) -> None:
        sleep = world.scheduler.time.sleep
        await sleep(seeded_scheduler.seconds(6))
        await world.write_view()
        world.faults.outage = True
        await sleep(seeded_scheduler.seconds(0.5))
        world.start_with_peers("entry-5", frozenset({"entry-2"}))
        newcomer = world.processes["entry-5"]
        while not newcomer.table.complete:
            await sleep(_POLL_INTERVAL)
        await sleep(_POLL_INTERVAL * 2)
        world.scheduler.freeze(newcomer.name, seeded_scheduler.seconds(30))
        world.faults.outage = False
        await world.write_view()

    return asyncio.run(_run(seed, safeguards, inject_faults))


def start_cut_off(seed: int, safeguards: config_world.Safeguards) -> ViewWorld:
    """An instance without links to peers is frozen once it has the views."""

    async def inject_faults(world: ViewWorld) -> None:
        await world.scheduler.time.sleep(seeded_scheduler.seconds(6))
        await world.write_view()
        world.start_with_peers("entry-5", frozenset())
        newcomer = world.processes["entry-5"]
        while not newcomer.table.complete:
            await world.scheduler.time.sleep(seeded_scheduler.seconds(0.001))
        world.scheduler.freeze(newcomer.name, seeded_scheduler.seconds(30))
        await world.write_view()

    return asyncio.run(_run(seed, safeguards, inject_faults))


def random_faults(seed: int, safeguards: config_world.Safeguards) -> ViewWorld:
    """Instances start, freeze, are cut off and are killed while views are written."""

    async def inject_faults(world: ViewWorld) -> None:
        rng = world.scheduler.random
        for number in range(10):
            await world.scheduler.time.sleep(
                seeded_scheduler.seconds(1 + 3 * rng.random())
            )
            world.scheduler.start(world.write_view())
            others = sorted(name for name in world.processes if name != _LEADER)
            chosen = rng.choice(others)
            match rng.randrange(6):
                case 0:
                    process = world.processes[chosen]
                    world.scheduler.freeze(process.name, seeded_scheduler.seconds(8))
                case 1:
                    world.cut(chosen, one_way=rng.random() < 0.5)
                case 2:
                    world.kill(chosen)
                    world.start(chosen, _DOMAIN)
                case 3:
                    world.start_with_peers(f"entry-{10 + number}", frozenset({chosen}))
                case 4:
                    world.faults.outage = not world.faults.outage
                case _:
                    world.heal()
        world.heal()

    return asyncio.run(_run(seed, safeguards, inject_faults))


async def _run(
    seed: int,
    safeguards: config_world.Safeguards,
    inject_faults: typing.Callable[
        [ViewWorld], abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> ViewWorld:
    world = ViewWorld(seed, safeguards)
    try:
        world.scheduler.start(inject_faults(world))
        await world.scheduler.run_until(60)
    finally:
        await world.scheduler.end()
    return world
