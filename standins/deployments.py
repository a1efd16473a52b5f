"""Deployments of entry instances and stand-ins, each a process of its own."""

import dataclasses
import functools
import itertools
import json
import typing

from standins import processes, relay

__all__ = ["KITAGUNI", "REGIE", "Deployment", "Layout"]

CALLERS_PORT = 8080
OPERATORS_PORT = 8081
PEERS_PORT = 8082
PLATFORM_PORT = 9000
RELAY_PORT = 8083
ENGINE_PORT = 9100
PLAIN_PORT = 9200
MODEL = "badge-draft"


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Failure domains of a deployment, and numbers of instances and servers."""

    fleet: str
    domains: tuple[str, ...]
    entries: int
    engines: int
    plain_servers: int


KITAGUNI = Layout(
    "kitaguni", ("sapporo-north", "sapporo-east", "asahikawa", "hakodate"), 8, 10, 4
)
REGIE = Layout(
    "regie", ("hotel-de-ville", "garage-voirie", "bibliotheque-nord"), 7, 10, 3
)
SMALL = Layout("small", ("north", "south"), 2, 2, 2)


class Deployment:
    """A running deployment.

    Args:
        layout: Failure domains, instances and servers.
        engine_settings: Overrides for the settings of each engine.
        entry_settings: Overrides for the settings of each entry instance.
        platform_settings: Overrides for the settings of the platform.
        unfenced: Whether the engines accept orders with an old fencing token.
        relayed: Whether connections between instances, and from each instance to the
            platform, go through relays that can cut them.
        calls_per_second: Rate limit of each instance for calls to the platform.
    """

    def __init__(
        self,
        layout: Layout,
        *,
        engine_settings: dict[str, typing.Any] | None = None,
        entry_settings: dict[str, typing.Any] | None = None,
        platform_settings: dict[str, typing.Any] | None = None,
        unfenced: bool = False,
        relayed: bool = False,
        calls_per_second: float = 40.0,
    ) -> None:
        self.layout = layout
        self.processes = processes.Processes()
        self.entries: list[str] = []
        self.engines: list[str] = []
        self.plain_servers: list[str] = []
        self.hosts: dict[str, str] = {}
        self._network = processes.Network()
        self._engine_settings = engine_settings or {}
        self._entry_settings = entry_settings or {}
        self._unfenced = unfenced
        self.relays = relay.Relays() if relayed else None
        self._relay_hosts: dict[str, str] = {}
        self._calls_per_second = calls_per_second
        try:
            self._start_platform(platform_settings or {})
            self._start_backend_servers()
            self._start_entries()
            self.processes.wait_healthy()
            self.publish_instances()
        except BaseException:
            # The caller gets no reference to a deployment that failed to start, so its
            # processes would be left running.
            self.stop()
            raise

    def _domains(self) -> typing.Iterator[str]:
        return itertools.cycle(self.layout.domains)

    def _start_platform(self, extra: dict[str, typing.Any]) -> None:
        host = self.hosts["platform"] = self._network.address()
        settings = {"host": host, "port": PLATFORM_PORT, "list_lag_s": 0.2} | extra
        self.platform_url = f"http://{host}:{PLATFORM_PORT}"
        self.processes.start(
            "platform", ("standins.platform",), settings, self.platform_url + "/calls"
        )

    def _start_backend_servers(self) -> None:
        self._servers: list[dict[str, typing.Any]] = []
        for number, domain in zip(
            range(1, self.layout.engines + 1), self._domains(), strict=False
        ):
            self._start_engine(f"engine-{number}", domain)
        for number, domain in zip(
            range(1, self.layout.plain_servers + 1), self._domains(), strict=False
        ):
            self._start_plain(f"plain-{number}", domain)

    def _start_engine(self, name: str, domain: str) -> None:
        host = self.hosts[name] = self._network.address()
        fenced = not self._unfenced
        settings = {
            "name": name,
            "host": host,
            "port": ENGINE_PORT,
            "models": [MODEL],
            "checks_fencing": fenced,
        } | self._engine_settings
        self.processes.start(
            name,
            ("standins.engine",),
            settings,
            f"http://{host}:{ENGINE_PORT}/v1/state",
        )
        self.engines.append(name)
        self._servers.append(
            {
                "kind": "engine",
                "name": name,
                "failure_domain": domain,
                "address": {"host": host, "port": ENGINE_PORT},
                "checks_fencing": fenced,
                "models": [MODEL],
            }
        )

    def _start_plain(self, name: str, domain: str) -> None:
        host = self.hosts[name] = self._network.address()
        settings = {"name": name, "host": host, "port": PLAIN_PORT}
        self.processes.start(
            name, ("standins.plain",), settings, f"http://{host}:{PLAIN_PORT}/runs"
        )
        self.plain_servers.append(name)
        self._servers.append(
            {
                "kind": "plain",
                "name": name,
                "failure_domain": domain,
                "address": {"host": host, "port": PLAIN_PORT},
                "services": ["booking"],
            }
        )

    def _start_entries(self) -> None:
        assignments = list(
            zip(
                [f"entry-{n}" for n in range(1, self.layout.entries + 1)],
                self._domains(),
                strict=False,
            )
        )
        for name, _ in assignments:
            self.hosts[name] = self._network.address()
        if self.relays is not None:
            for name, _ in assignments:
                self._start_relays(self.relays, name)
        for name, domain in assignments:
            self.entries.append(name)
            self._entry_domain = dict(assignments)
            self.start_entry(name, domain)

    def _start_relays(self, relays: relay.Relays, name: str) -> None:
        host = self._relay_hosts[name] = self._network.address()
        relays.start(name, (host, RELAY_PORT), (self.hosts[name], PEERS_PORT))
        platform = (self.hosts["platform"], PLATFORM_PORT)
        relays.start(f"{name} platform", (host, PLATFORM_PORT), platform)

    def _peer_address(self, name: str) -> dict[str, typing.Any]:
        if self.relays is None:
            return {"host": self.hosts[name], "port": PEERS_PORT}
        return {"host": self._relay_hosts[name], "port": RELAY_PORT}

    def _platform_address(self, name: str) -> dict[str, typing.Any]:
        hosts = self.hosts if self.relays is None else self._relay_hosts
        host = hosts["platform" if self.relays is None else name]
        return {"host": host, "port": PLATFORM_PORT}

    def cut(self, sender: str, receiver: str) -> None:
        """Block traffic from one instance to another; the other direction works."""
        assert self.relays is not None
        self.relays.cut(receiver, relay.TO_SERVER, self.hosts[sender])
        self.relays.cut(sender, relay.TO_CLIENT, self.hosts[receiver])

    def cut_platform(self, name: str) -> None:
        """Block traffic between an instance and the platform, in both directions."""
        assert self.relays is not None
        self.relays.cut(f"{name} platform", relay.TO_SERVER)
        self.relays.cut(f"{name} platform", relay.TO_CLIENT)

    def start_entry(self, name: str, domain: str) -> None:
        """Start or restart an entry instance."""
        host = self.hosts[name]
        seeds = [
            self._peer_address(n)
            for n in self.hosts
            if n.startswith("entry") and n != name
        ]
        settings = {
            "instance": name,
            "failure_domain": domain,
            "callers": {"host": host, "port": CALLERS_PORT},
            "operators": {"host": host, "port": OPERATORS_PORT},
            "peers": {
                "address": {"host": host, "port": PEERS_PORT},
                "advertised": self._peer_address(name),
                "seeds": seeds,
            },
            "platform": {
                "address": self._platform_address(name),
                "calls_per_second": self._calls_per_second,
            },
        } | self._entry_settings
        url = f"http://{host}:{OPERATORS_PORT}/livez"
        self.processes.start(name, ("pimentolatch", "entry"), settings, url)

    def publish_instances(self, **states: str) -> None:
        """Set the platform's instance list.

        Args:
            **states: States other than `live`, by the instance's name with `_` for `-`.
        """
        rows = [
            {
                "name": name,
                "kind": "entry",
                "failure_domain": self._entry_domain[name],
                "host": self._peer_address(name)["host"],
                "peer_port": self._peer_address(name)["port"],
                "state": states.get(name.replace("-", "_"), "live"),
                "ended": [],
            }
            for name in self.entries
        ]
        processes.call("POST", self.platform_url + "/instances", rows)

    def document(self, **changes: typing.Any) -> dict[str, typing.Any]:
        """Return the fleet document; `changes` replace its top-level fields."""
        operations = [
            {"name": "find", "repeatable": True},
            {"name": "confirm", "repeatable": False},
        ]
        return {
            "fleet": self.layout.fleet,
            "failure_domains": [
                {"name": name, "region": "region"} for name in self.layout.domains
            ],
            "models": [{"name": MODEL}],
            "services": [{"name": "booking", "operations": operations}],
            "backend_servers": json.loads(json.dumps(self._servers)),
        } | changes

    def callers_url(self, entry: str, path: str) -> str:
        """Return a URL of an entry instance's front end for callers."""
        return f"http://{self.hosts[entry]}:{CALLERS_PORT}{path}"

    def operators_url(self, entry: str, path: str = "") -> str:
        """Return a URL of an entry instance's front end for operators."""
        return f"http://{self.hosts[entry]}:{OPERATORS_PORT}{path}"

    def server_url(self, name: str, path: str) -> str:
        """Return a URL of an engine or plain server."""
        port = ENGINE_PORT if name in self.engines else PLAIN_PORT
        return f"http://{self.hosts[name]}:{port}{path}"

    def submit(self, entry: str, document: dict[str, typing.Any]) -> typing.Any:
        """Submit a document and wait until it is in force at all running instances."""
        status, body = processes.call(
            "POST", self.operators_url(entry, "/v1/documents?operator=test"), document
        )
        assert status == 200, body
        for name in self.entries:
            if self.processes[name].popen.poll() is None:
                in_force = functools.partial(self._has_document, name, body["number"])
                description = f"document {body['number']} in force at {name}"
                processes.wait_for(in_force, description)
        return body

    def _has_document(self, entry: str, number: int) -> bool:
        return self.document_number(entry) >= number

    def document_number(self, entry: str) -> int:
        """Return the number of the document in force at an instance; 0 if none."""
        _, body = processes.call("GET", self.operators_url(entry, "/v1/status"))
        return 0 if body["configuration"] is None else body["configuration"]["number"]

    def stop(self) -> None:
        """Terminate all processes and relays."""
        self.processes.stop_all()
        if self.relays is not None:
            self.relays.stop()
