"""Runs tasks of several actors in an order that a seed determines, on a manual clock.

Each wait of an actor ends in a scheduling point, at which the actor can be paused. Its
code runs without interruption between two points, so the order of points determines
every possible interleaving, and an actor paused at a point models a frozen process.
"""

import asyncio
import collections
import dataclasses
import datetime
import random
import typing
from collections import abc

from pimentolatch import clock

__all__ = ["ActorClock", "Scheduler", "SchedulerClock", "seconds"]

_YIELDS_PER_STEP = 3
_STEP_TIME = datetime.timedelta(milliseconds=1)
_RUN_PROBABILITY = 0.9


def seconds(number: float) -> datetime.timedelta:
    """Return a duration of `number` seconds."""
    return datetime.timedelta(seconds=number)


class SchedulerClock(clock.ManualClock):
    """A manual clock that reports when its next sleep ends."""

    @property
    def next_wake(self) -> datetime.timedelta | None:
        """Time at which the next sleep ends, or None."""
        return self._sleepers[0][0] if self._sleepers else None


@dataclasses.dataclass(eq=False, slots=True)
class _PausedActor:
    actor: str
    point: str
    future: asyncio.Future[None]


class Scheduler:
    """Determines which actor runs next."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.time = SchedulerClock()
        self._paused: list[_PausedActor] = []
        self._frozen: set[str] = set()
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self._hooks: list[tuple[str, int, typing.Callable[[str], None]]] = []
        self._passed: collections.Counter[str] = collections.Counter()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self.time.monotonic().total_seconds()

    def start(
        self, work: abc.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> asyncio.Task[typing.Any]:
        """Run a coroutine as a task of this schedule."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def is_frozen(self, actor: str) -> bool:
        """Tell whether an actor is frozen."""
        return actor in self._frozen

    def freeze(self, actor: str, duration: datetime.timedelta) -> None:
        """Freeze an actor for a time; has no effect if it is already frozen."""
        if actor in self._frozen:
            return
        self._frozen.add(actor)
        self.start(self._thaw(actor, duration))

    def call_soon(self, action: typing.Callable[[], None]) -> None:
        """Call `action` once the running task has reached its next point."""
        asyncio.get_running_loop().call_soon(action)

    def add_hook(
        self, point: str, count: int, action: typing.Callable[[str], None]
    ) -> None:
        """Call `action` with the actor that reaches `point` after `count` - 1 others.

        Passes before this call do not count.
        """
        self._hooks.append((point, self._passed[point] + count, action))

    async def point(self, actor: str, name: str) -> None:
        """Pause the actor until the scheduler resumes it."""
        self._passed[name] += 1
        for hook in list(self._hooks):
            if hook[0] == name and hook[1] <= self._passed[name]:
                self._hooks.remove(hook)
                hook[2](actor)
        paused = _PausedActor(actor, name, asyncio.get_running_loop().create_future())
        self._paused.append(paused)
        try:
            await paused.future
        finally:
            if paused in self._paused:
                self._paused.remove(paused)

    async def run_until(
        self, end: float, done: typing.Callable[[], bool] = lambda: False
    ) -> None:
        """Run until the time `end`, in seconds, or until `done` returns True."""
        while self.now < end and not done():
            for _ in range(_YIELDS_PER_STEP):
                await asyncio.sleep(0)
            ready = [
                paused for paused in self._paused if paused.actor not in self._frozen
            ]
            if ready and self.random.random() < _RUN_PROBABILITY:
                chosen = self.random.choice(ready)
                self._paused.remove(chosen)
                if not chosen.future.done():
                    chosen.future.set_result(None)
                self.time.advance(_STEP_TIME)
                continue
            due = self.time.next_wake
            step = _STEP_TIME if due is None else due - self.time.monotonic()
            self.time.advance(max(step, _STEP_TIME))

    async def end(self) -> None:
        """Cancel every task."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _thaw(self, actor: str, duration: datetime.timedelta) -> None:
        await self.time.sleep(duration)
        self._frozen.discard(actor)

    def _on_task_done(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.discard(task)
        # No task may fail: an exception is an error in the tested code or in the test.
        if not task.cancelled() and (error := task.exception()) is not None:
            raise error


class ActorClock:
    """The clock of one actor; its sleeps end in a scheduling point."""

    def __init__(self, scheduler: Scheduler, actor: str) -> None:
        self._scheduler = scheduler
        self._actor = actor

    def now(self) -> datetime.datetime:
        """See `clock.Clock.now`."""
        return self._scheduler.time.now()

    def monotonic(self) -> datetime.timedelta:
        """See `clock.Clock.monotonic`."""
        return self._scheduler.time.monotonic()

    async def sleep(self, duration: datetime.timedelta) -> None:
        """See `clock.Clock.sleep`."""
        await self._scheduler.time.sleep(duration)
        await self._scheduler.point(self._actor, "woke")
