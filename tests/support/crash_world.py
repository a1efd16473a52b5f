"""A fleet over sockets whose servers end when they run one certain request."""

import itertools

from tests.support import route_world

HOSTS = {name: f"127.0.0.{n}" for n, name in enumerate("abcd", 1)}
PREFILL_ENGINES = 2
DECODE_ENGINES = 6
PLAIN_SERVERS = 6
# More attempts than any count of crashes needs; a loop that never ends would hide why.
MAX_ATTEMPTS = 20


class CrashWorld(route_world.RouteWorld):
    """Four instances; a server that ends is replaced by one with another id.

    Args:
        fatal_body: The body of the request that ends servers.
    """

    def __init__(self, fatal_body):
        super().__init__()
        self.fatal_body = fatal_body
        self._numbers = itertools.count()
        self._names = itertools.cycle(HOSTS)

    async def start(self):
        await self.start_store()
        await self.configure(1)
        for _ in range(PREFILL_ENGINES):
            await self.add("lm", "prefill")
        for _ in range(DECODE_ENGINES):
            await self.add("lm", "decode")
        for _ in range(PLAIN_SERVERS):
            await self.add("app")
        for name, host in HOSTS.items():
            seeds = [f"{HOSTS['a']}:{self.peer_port}"] if self.ports else []
            await self.add_instance(name, seeds, host=host)
        await self.until(self._peers_connected)

    async def add(self, service, stage=None):
        number = next(self._numbers)
        server = await self.add_server(f"s{number}", service, stage)
        server.fatal_body = self.fatal_body

    @property
    def crashed(self):
        """Servers that have ended and are not replaced yet, or are."""
        return [server for server in self.servers.values() if server.ended]

    def dispatches(self, body):
        """Return how often a body has reached a server, prefill included."""
        return sum(
            received.body == body
            for server in self.servers.values()
            for received in server.received
        )

    async def replace_crashed(self):
        """Have new servers in place of those that ended, known to all instances."""
        for server in self.crashed:
            if server.state == "draining":
                continue
            await self.drain(server.server_id)
            await self.add(server.service, server.stage)
        await self.until(self._lists_current)

    async def attempt(self, route_name, body, name):
        """Ask once, as a client that knows nothing of earlier attempts."""
        request_id = f"r{next(self._numbers)}"
        reply = await self.ask(route_name, request_id, name=name, body=body)
        await self.replace_crashed()
        return reply

    async def send_until_crashed(self, route_name, body, count):
        """Repeat a request, at one instance after the other, until servers ended."""
        for _ in range(MAX_ATTEMPTS):
            if len(self.crashed) >= count:
                return
            await self.attempt(route_name, body, next(self._names))
        raise AssertionError(f"only {len(self.crashed)} servers ended")

    async def send_while_failing(self, route_name, body):
        """Ask once while every server answers a failure of its own."""
        for server in self.servers.values():
            server.faults.append("fail")
        reply = await self.attempt(route_name, body, next(self._names))
        for server in self.servers.values():
            server.faults.clear()
        return reply

    async def send_to_all(self, route_name, body, times):
        return [
            await self.attempt(route_name, body, name)
            for name in HOSTS
            for _ in range(times)
        ]

    def _peers_connected(self):
        tables = [instance.peers for _, instance in self.instances.values()]
        return all(table.instances == len(HOSTS) for table in tables)

    def _lists_current(self):
        listed = {n for n, s in self.servers.items() if s.state == "ready"}
        for _, instance in self.instances.values():
            table = instance.fleet.servers
            in_service = {
                server.server_id
                for service in ("lm", "app")
                for server in table.of_service(service)
            }
            if in_service != listed:
                return False
        return True
