"""Probes whether this instance reaches the servers, after a dispatch has failed."""

import asyncio
import datetime
import random

import logbook

from pimentolatch import clock
from pimentolatch.decisions import reachability
from pimentolatch.gateway import dispatch, fleet_state
from pimentolatch.routes import servers

__all__ = ["ReachabilityMonitor"]

_log = logbook.Logger("reachability")
# While a group of servers is out of reach, requests are served through peers, so the
# end of the partition is found by probes alone.
_PROBE_INTERVAL = datetime.timedelta(milliseconds=500)
# Servers are probed one after the other at this distance: most questions are answered
# by the first, which takes a millisecond or two.
_NEXT_PROBE_AFTER = datetime.timedelta(milliseconds=50)
_PROBE_TIMEOUT = datetime.timedelta(milliseconds=700)


class ReachabilityMonitor:
    """Knows the services that this instance has lost the path to.

    Args:
        fleet: The listed servers.
        client: Opens connections to servers.
        own_domain: Failure domain of this instance.
        time: Clock of this instance.
        rng: Picks the servers to probe.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        client: dispatch.ServerClient,
        own_domain: str,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._client = client
        self._clock = time
        self._reachability = reachability.Reachability(own_domain, rng)
        self._probes: dict[reachability.Group, asyncio.Task[None]] = {}
        client.on_answer(self._record_answer)

    @property
    def cut_off_services(self) -> frozenset[str]:
        """Services that this instance has lost the path to."""
        return self._reachability.cut_off_services

    def is_cut_off(self, service: str) -> bool:
        """Tell whether this instance has lost the path to a service."""
        return self._reachability.is_cut_off(service)

    def suspect(self, server: servers.Server) -> asyncio.Task[None] | None:
        """Find out whether a failed dispatch was the server's fault or the path's.

        Returns:
            The probe to wait for; None if the answer is known.
        """
        group = reachability.group_of(server)
        if self._reachability.is_current(group, self._clock.monotonic()):
            return None
        return self._probe(group)

    async def check(self, server: servers.Server) -> None:
        """Do the same and wait, so that no other server is tried in vain."""
        probe = self.suspect(server)
        if probe is not None:
            # A request that is cancelled must not cancel what others wait for.
            await asyncio.shield(probe)

    async def run(self) -> None:
        """Probe the groups that are out of reach; runs until cancelled."""
        while True:
            await self._clock.sleep(_PROBE_INTERVAL)
            self._reachability.retain(
                {reachability.group_of(server) for server in self._fleet.servers.all()}
            )
            groups = self._reachability.cut_off_groups
            await asyncio.gather(*(self._probe(group) for group in groups))

    def _record_answer(self, server: servers.Server) -> None:
        group = reachability.group_of(server)
        self._reachability.record_answer(group, self._clock.monotonic())

    def _probe(self, group: reachability.Group) -> asyncio.Task[None]:
        """Return the probe of a group that is in progress, or start one."""
        task = self._probes.get(group)
        if task is None:
            task = asyncio.create_task(self._probe_group(group))
            self._probes[group] = task
            task.add_done_callback(lambda _: self._probes.pop(group, None))
        return task

    async def _probe_group(self, group: reachability.Group) -> None:
        listed = [
            server
            for server in self._fleet.servers.of_service(group.service)
            if server.stage is group.stage
        ]
        reached = not listed or await self._reaches_any(
            group, self._reachability.to_probe(listed)
        )
        now = self._clock.monotonic()
        if not self._reachability.record(group, reached=reached, now=now):
            return
        message = "path to servers is back" if reached else "no path to servers"
        stage = None if group.stage is None else group.stage.value
        _log.warn(message, service=group.service, stage=stage, listed=len(listed))

    async def _reaches_any(
        self, group: reachability.Group, candidates: list[servers.Server]
    ) -> bool:
        """Tell whether there is a path to one of some servers of a group."""
        probes: set[asyncio.Task[bool]] = set()
        try:
            for server in candidates:
                probes.add(asyncio.create_task(self._reaches(group, server)))
                done, probes = await asyncio.wait(
                    probes,
                    timeout=_NEXT_PROBE_AFTER.total_seconds(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(probe.result() for probe in done):
                    return True
            for completed in asyncio.as_completed(probes):
                if await completed:
                    return True
        finally:
            for probe in probes:
                probe.cancel()
        return False

    async def _reaches(self, group: reachability.Group, server: servers.Server) -> bool:
        since = self._clock.monotonic()
        target = self._fleet.health_target(server)
        result = await self._client.probe(server, target, _PROBE_TIMEOUT)
        return self._reachability.shows_path(result, group, since)
