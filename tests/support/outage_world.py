"""Gateways as processes, a store that is away, and servers that leave meanwhile.

The servers never report that they drain: their entries are removed, and they go on
serving. Only the store's list tells of it.
"""

import asyncio
import dataclasses

from tests.support import silent_world

__all__ = ["Endings", "Late", "Outages"]

# The operator allows two seconds from the later of the store's word and its return; the
# rest covers the way of a request on a busy machine.
LATE_S = 2.2
WATCHED_S = 6.0
# How long before an outage of all the store turns the first gateway away.
TURNED_AWAY_BEFORE_S = 2.0


@dataclasses.dataclass(frozen=True)
class Late:
    """Requests that reached a server too late, and when the last one did."""

    server_id: str
    count: int
    last_s: float


@dataclasses.dataclass(frozen=True)
class Endings:
    """Requests of the clients, and those that were not answered with success."""

    requests: int
    failed: int


class Outages(silent_world.Gateways):
    """Gateways whose store is away for some time, and clients that go on asking.

    Attributes:
        gone_at: Time at which the store no longer had the servers that left.
        returned_at: Time at which the store was reachable again.
        left: The servers that left.
    """

    def __init__(self, runner):
        super().__init__(runner)
        self.gone_at = 0.0
        self.returned_at = 0.0
        self.left = []

    def leaving(self):
        """Return a decode engine and a plain server, which will leave."""
        servers = self.world.servers.values()
        return [
            next(server for server in servers if server.stage == stage)
            for stage in ("decode", None)
        ]

    async def leave(self):
        """Remove the entries of the two servers."""
        self.left = self.leaving()
        await self._remove(self.left)

    async def leave_in_outage(self, seconds, turned_away=False, back_after_s=None):
        """Stop the store; most servers leave meanwhile.

        Args:
            seconds: For how long it is stopped.
            turned_away: Whether the first gateway does not reach it from before.
            back_after_s: When that gateway reaches it again, from its return on; never
                by default.
        """
        relay_name = f"store of {next(iter(self.world.gateways))}"
        if turned_away:
            self.world.relays.make_unreachable(relay_name)
            await asyncio.sleep(TURNED_AWAY_BEFORE_S)
        servers = list(self.world.servers.values())
        # More than half, of each kind all but one.
        last = {(server.service, server.stage): server for server in servers}
        self.left = [s for s in servers if s not in last.values()]
        await self.world.store.stop()
        await asyncio.sleep(seconds)
        await self._remove(self.left)
        await self.world.store.start()
        self.returned_at = _now()
        if turned_away and back_after_s is not None:
            await asyncio.sleep(back_after_s)
            self.world.relays.make_reachable(relay_name)

    async def reject_reads(self, seconds, leave_after_s):
        """Have the store reject all reads, while it accepts writes.

        Args:
            seconds: For how long it rejects them.
            leave_after_s: When the two servers leave, from the beginning on.
        """
        platform = self.world.platform
        platform.rejects_reads = True
        leaving = asyncio.create_task(self._leave_later(leave_after_s))
        await asyncio.sleep(seconds)
        platform.rejects_reads = False
        self.returned_at = _now()
        await leaving

    async def expire_all(self, seconds, back_after_s):
        """Stop the store; all entries expire, and two are not written again.

        Args:
            seconds: For how long it is stopped.
            back_after_s: When the other entries are back, from its return on.
        """
        leaving = self.left = self.leaving()
        servers = list(self.world.servers.values())
        await self.world.store.stop()
        await asyncio.sleep(seconds)
        await self._remove(servers)
        await self.world.store.start()
        self.returned_at = _now()
        await asyncio.sleep(back_after_s)
        for server in servers:
            if server not in leaving:
                await self.world.list_server(server.server_id)

    async def slow(self, seconds, delay_s):
        """Delay each piece of the store's traffic; the servers leave at the end."""
        relays = [f"store of {name}" for name in self.world.gateways]
        for name in relays:
            self.world.relays.delay(name, delay_s)
        await asyncio.sleep(seconds)
        for name in relays:
            self.world.relays.heal(name)
        self.returned_at = _now()
        await self.leave()

    async def watch_servers(self):
        """Wait until requests that are sent too late would have arrived."""
        await asyncio.sleep(WATCHED_S)

    def late(self):
        """Return the late requests that each of the servers got which left."""
        allowed = max(self.gone_at, self.returned_at) + LATE_S
        return [self._late(server, allowed) for server in self.left]

    def _late(self, server, allowed):
        arrivals = zip(server.received, server.arrival_times, strict=True)
        late = [
            at - allowed + LATE_S
            for request, at in arrivals
            if request.kind in ("prefill", "run") and at > allowed
        ]
        return Late(server.server_id, len(late), max(late, default=0.0))

    def endings(self):
        """Return how the requests of the clients that have ended did so."""
        attempts = [a for c in self.clients for a in c.attempts if a.ended_at]
        return Endings(len(attempts), sum(a.status != 200 for a in attempts))

    async def _leave_later(self, seconds):
        await asyncio.sleep(seconds)
        await self.leave()

    async def _remove(self, leaving):
        table = self.world.platform.table
        for server in leaving:
            current = table.get("servers", server.server_id)
            await table.delete("servers", server.server_id, current.version)
        self.gone_at = _now()


def _now():
    return asyncio.get_running_loop().time()
