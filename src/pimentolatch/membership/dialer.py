"""Keeps the links that the topology requires open."""

import asyncio
import datetime
import random

from pimentolatch import backoff, clock, settings, store
from pimentolatch.membership import incarnations, links, topology

__all__ = ["Dialer"]

_ROUND = datetime.timedelta(seconds=0.5)
# The instance with the lower name dials at once. The other one waits for this time,
# which avoids duplicate links, and then dials too: connections may fail in one
# direction only.
_SECOND_DIAL_AFTER = datetime.timedelta(seconds=3)
_FIRST_RETRY = datetime.timedelta(seconds=0.5)
_MAX_RETRY = datetime.timedelta(seconds=10)
# A link across failure domains that is no longer required stays open for this time, so
# that a list that changes back does not cost a new link.
_UNWANTED_GRACE = datetime.timedelta(seconds=60)


class Dialer:
    """Dials the peers from the instance list, and seed addresses if need be."""

    def __init__(
        self,
        own: incarnations.Identity,
        peer_links: links.Links,
        seeds: tuple[settings.Address, ...],
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._links = peer_links
        self._seeds = seeds
        self._clock = time
        self._rng = rng
        self._listed: dict[str, store.Instance] = {}
        self._chosen: frozenset[str] = frozenset()
        self._chosen_for: frozenset[str] | None = None
        self._targets: dict[str, _Target] = {}
        self._tasks: dict[str, asyncio.Task[str]] = {}
        self._unwanted: dict[int, datetime.timedelta] = {}

    def apply_instance_list(self, rows: tuple[store.Instance, ...]) -> None:
        """Apply the platform's instance list."""
        self._listed = {row.name: row for row in rows}
        self._chosen_for = None

    async def run(self) -> None:
        """Keep the links open until cancelled."""
        try:
            while True:
                self._dial_round()
                self._close_unwanted()
                await self._clock.sleep(_ROUND)
        finally:
            for task in self._tasks.values():
                task.cancel()
            await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _dial_round(self) -> None:
        now = self._clock.monotonic()
        self._tasks = {k: t for k, t in self._tasks.items() if not t.done()}
        wanted = self._wanted()
        linked = self._links.linked | {self._own.instance}
        self._targets = {k: t for k, t in self._targets.items() if k in wanted}
        for key, (host, port, name) in wanted.items():
            if key not in self._targets:
                wait = _SECOND_DIAL_AFTER if name < self._own.instance else _NOTHING
                wait *= bool(name)
                self._targets[key] = _Target(now + wait, self._rng, name)
            target = self._targets[key]
            if target.name in linked or key in self._tasks:
                continue
            if now >= target.due:
                self._tasks[key] = asyncio.create_task(self._dial(target, host, port))

    async def _dial(self, target: "_Target", host: str, port: int) -> str:
        began = self._clock.monotonic()
        reason = await self._links.dial(host, port, target.set_name)
        target.ended(self._clock.monotonic(), began)
        return reason

    def _wanted(self) -> dict[str, tuple[str, int, str]]:
        names = self._choose()
        wanted = {
            name: (self._listed[name].host, self._listed[name].peer_port, name)
            for name in names
        }
        by_address = {(host, port) for host, port, _ in wanted.values()}
        # Seeds are dialed while no listed peer of the own domain is connected: there
        # may be no list yet, or an empty one, or one from before those peers started.
        if not self._near_links():
            for seed in self._seeds:
                if (seed.host, seed.port) not in by_address:
                    wanted[seed.url] = (seed.host, seed.port, "")
        return wanted

    def _choose(self) -> frozenset[str]:
        failed = self._failed()
        if self._chosen_for != failed:
            self._chosen = topology.link_targets(
                self._own, self._listed.values(), failed
            )
            self._chosen_for = failed
        return self._chosen

    def _near_links(self) -> bool:
        linked = self._links.linked
        return any(
            row.failure_domain == self._own.failure_domain and name in linked
            for name, row in self._listed.items()
        )

    def _failed(self) -> frozenset[str]:
        return frozenset(
            name
            for name, target in self._targets.items()
            if target.failures > 1 and name not in self._links.linked
        )

    def _close_unwanted(self) -> None:
        if not self._listed:
            return
        now = self._clock.monotonic()
        wanted = self._choose()
        unwanted = {
            number
            for number, peer in self._links.dialed.items()
            if peer.failure_domain != self._own.failure_domain
            and incarnations.instance_of(peer.incarnation) not in wanted
        }
        self._unwanted = {n: self._unwanted.get(n, now) for n in unwanted}
        for number, since in self._unwanted.items():
            if now - since >= _UNWANTED_GRACE:
                self._links.close(number, "not part of the current topology")


_NOTHING = datetime.timedelta()


class _Target:
    def __init__(self, due: datetime.timedelta, rng: random.Random, name: str) -> None:
        self.due = due
        self.name = name
        self.failures = 0
        self._backoff = backoff.Backoff(_FIRST_RETRY, _MAX_RETRY, rng)

    def set_name(self, instance: str) -> None:
        """Record the instance that answers; a seed has no name before."""
        self.name = instance

    def ended(self, now: datetime.timedelta, began: datetime.timedelta) -> None:
        """Schedule the next dial; the backoff restarts after a long-lived link."""
        if now - began > _MAX_RETRY:
            self._backoff.reset()
            self.failures = 0
        self.failures += 1
        self.due = now + self._backoff.next_pause()
