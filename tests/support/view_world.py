"""Instances in memory that acknowledge domain views, on a schedule from a seed.

A holder writes views of its failure domain and waits until nobody is missing. At that
moment no process may route by an older view: an engine would be ordered away under it.
"""

import asyncio
import typing
from collections import abc

from pimentolatch import store
from pimentolatch.membership import views
from tests.support import config_world, seeded_scheduler

__all__ = ["ViewWorld", "cut_off_start", "random_trouble", "start_in_an_outage"]

_DOMAIN = "north"
_HOLDER = "entry-1"
_POLL = seeded_scheduler.seconds(0.1)
_LIST_EVERY = seeded_scheduler.seconds(1)
_SHOWN_LATE = seeded_scheduler.seconds(2)


class ViewWorld(config_world.ConfigWorld):
    """Adds a holder, and the platform's list as each instance reads it.

    Attributes:
        violations: Processes that routed by an older view when nobody was missing.
        confirmed: Numbers of views that nobody was missing for.
    """

    def __init__(self, seed: int, safeguards: config_world.Safeguards) -> None:
        super().__init__(seed, safeguards)
        self.violations: list[str] = []
        self.confirmed: list[int] = []
        self.scheduler.start(self._read_lists())

    def start_held(self, instance: str, reachable: frozenset[str]) -> None:
        """Start an instance that reaches some peers only."""
        for other in self.processes:
            if other not in reachable:
                self.cuts |= {(other, instance), (instance, other)}
        self.start(instance, _DOMAIN)

    async def write_view(self) -> None:
        """Write a view as the holder and wait until nobody is missing."""
        holder = self.processes[_HOLDER]
        number = holder.table.number(_DOMAIN)
        value = {"withdrawn": [f"engine-{number}"], "roles": {}}
        outcome = await holder.objects.put(
            views.DOMAIN_VIEW_KIND, _DOMAIN, value, if_version=number
        )
        if not isinstance(outcome, store.Written):
            return
        number = outcome.version
        holder.node.announce(views.DomainView.from_json(_DOMAIN, number, value))
        while self.processes.get(_HOLDER) is holder:
            found = await holder.registrations.read()
            if not isinstance(found, store.Unavailable):
                holder.node.apply_registrations(found, {_DOMAIN: number})
            if not holder.node.acknowledged.missing(_DOMAIN, number):
                self._confirm(number)
                return
            await holder.time.sleep(_POLL)

    def _confirm(self, number: int) -> None:
        self.confirmed.append(number)
        for process in self.processes.values():
            behind = process.table.number(_DOMAIN) < number
            if process.table.complete and behind:
                self.violations.append(f"{process.name} routes by an older view")

    async def _read_lists(self) -> None:
        while True:
            rows = tuple(
                store.Instance(name, "entry", _DOMAIN, name, 1, "live")
                for name in self.processes
            )
            self.scheduler.start(self._show(rows))
            await self.scheduler.time.sleep(_LIST_EVERY)

    async def _show(self, rows: tuple[store.Instance, ...]) -> None:
        asked = self.scheduler.time.monotonic()
        await self.scheduler.time.sleep(_SHOWN_LATE)
        for process in list(self.processes.values()):
            if not self.scheduler.is_frozen(process.name) and not self.faults.outage:
                process.node.apply_instance_list(rows, asked)


def start_in_an_outage(seed: int, safeguards: config_world.Safeguards) -> ViewWorld:
    """One instance starts by the word of a single peer, then is frozen."""

    async def trouble(world: ViewWorld) -> None:
        sleep = world.scheduler.time.sleep
        await sleep(seeded_scheduler.seconds(6))
        await world.write_view()
        world.faults.outage = True
        await sleep(seeded_scheduler.seconds(0.5))
        world.start_held("entry-5", frozenset({"entry-2"}))
        newcomer = world.processes["entry-5"]
        while not newcomer.table.complete:
            await sleep(_POLL)
        await sleep(_POLL * 2)
        world.scheduler.freeze(newcomer.name, seeded_scheduler.seconds(30))
        world.faults.outage = False
        await world.write_view()

    return asyncio.run(_run(seed, safeguards, trouble))


def cut_off_start(seed: int, safeguards: config_world.Safeguards) -> ViewWorld:
    """One instance reaches the platform only, and is frozen once it has the views."""

    async def trouble(world: ViewWorld) -> None:
        await world.scheduler.time.sleep(seeded_scheduler.seconds(6))
        await world.write_view()
        world.start_held("entry-5", frozenset())
        newcomer = world.processes["entry-5"]
        while not newcomer.table.complete:
            await world.scheduler.time.sleep(seeded_scheduler.seconds(0.001))
        world.scheduler.freeze(newcomer.name, seeded_scheduler.seconds(30))
        await world.write_view()

    return asyncio.run(_run(seed, safeguards, trouble))


def random_trouble(seed: int, safeguards: config_world.Safeguards) -> ViewWorld:
    """Instances start, freeze, are cut off and killed while views are written."""

    async def trouble(world: ViewWorld) -> None:
        chance = world.scheduler.random
        for number in range(10):
            await world.scheduler.time.sleep(
                seeded_scheduler.seconds(1 + 3 * chance.random())
            )
            world.scheduler.start(world.write_view())
            others = sorted(name for name in world.processes if name != _HOLDER)
            chosen = chance.choice(others)
            match chance.randrange(6):
                case 0:
                    process = world.processes[chosen]
                    world.scheduler.freeze(process.name, seeded_scheduler.seconds(8))
                case 1:
                    world.cut(chosen, one_way=chance.random() < 0.5)
                case 2:
                    world.kill(chosen)
                    world.start(chosen, _DOMAIN)
                case 3:
                    world.start_held(f"entry-{10 + number}", frozenset({chosen}))
                case 4:
                    world.faults.outage = not world.faults.outage
                case _:
                    world.heal()
        world.heal()

    return asyncio.run(_run(seed, safeguards, trouble))


async def _run(
    seed: int,
    safeguards: config_world.Safeguards,
    trouble: typing.Callable[[ViewWorld], abc.Coroutine[typing.Any, typing.Any, None]],
) -> ViewWorld:
    world = ViewWorld(seed, safeguards)
    try:
        world.scheduler.start(trouble(world))
        await world.scheduler.run_until(60)
    finally:
        await world.scheduler.end()
    return world
