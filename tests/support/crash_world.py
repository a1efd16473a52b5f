"""A fleet on sockets whose servers crash when they run one particular request."""

import itertools

from tests.support import route_world

HOSTS = {name: f"127.0.0.{n}" for n, name in enumerate("abcd", 1)}
# More attempts than any number of crashes needs; an endless loop would hide the cause
# of a failure.
MAX_ATTEMPTS = 20


class CrashWorld(route_world.RouteWorld):
    """Four instances; a crashed server is replaced by one with another id.

    Args:
        fatal_body: Body of the request that crashes servers.
    """

    prefill_engines = 2
    decode_engines = 6
    plain_servers = 6

    def __init__(self, fatal_body):
        super().__init__()
        self.fatal_body = fatal_body
        self._numbers = itertools.count()
        self._names = itertools.cycle(HOSTS)

    async def start(self):
        await self.start_store()
        await self.configure(1)
        for _ in range(self.prefill_engines):
            await self.add("lm", "prefill")
        for _ in range(self.decode_engines):
            await self.add("lm", "decode")
        for _ in range(self.plain_servers):
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
        """All servers that have crashed, whether replaced or not."""
        return [server for server in self.servers.values() if server.crashed]

    def dispatches(self, body):
        """Return how many dispatches of a body reached a server, prefill included."""
        return sum(
            received.body == body
            for server in self.servers.values()
            for received in server.received
        )

    async def replace_crashed(self):
        """Replace crashed servers and wait until all instances have the new list."""
        for server in self.crashed:
            if server.state == "draining":
                continue
            await self.drain(server.server_id)
            await self.add(server.service, server.stage)
        await self.until(self._lists_current)

    async def attempt(self, route_name, body, name):
        """Send a request once, as a client without knowledge of earlier attempts."""
        request_id = f"r{next(self._numbers)}"
        reply = await self.ask(route_name, request_id, name=name, body=body)
        await self.replace_crashed()
        return reply

    async def send_until_crashed(self, route_name, body, count):
        """Repeat a request, at each instance in turn, until servers have crashed."""
        for _ in range(MAX_ATTEMPTS):
            if len(self.crashed) >= count:
                return
            await self.attempt(route_name, body, next(self._names))
        raise AssertionError(f"only {len(self.crashed)} servers crashed")

    async def send_while_failing(self, route_name, body):
        """Send a request once while every server answers with a failure."""
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
