"""Engines of several software versions, and clients that resume their streams."""

import asyncio
import dataclasses
import itertools
import random
import re
import time

from standins import route_server
from tests.support import route_world, soak_world

__all__ = [
    "RESUMES",
    "Attempt",
    "ProcessWorld",
    "Stream",
    "VersionWorld",
    "events_of",
]

DOMAINS = ("east", "west")
EVENT_PAUSE_S = 0.03
# Between two streams that begin, and between a disconnection and the next attempt.
BEGIN_PAUSE_S = 0.004
RETURN_PAUSE_S = 0.05
EVENTS = list(range(1, 7))
FIRST_START_MS = 1_000
NO_ANSWER = 0
# Enough for each instance's share to cover all resumptions within an answer.
REPEAT_SLACK = 1_000
SEED = 7

_EVENT = re.compile(rb"id: (\d+)\ndata: (?:(\S+) )?piece (\d+)")

# The value of `Resumes` by which the version of a stream can be found.
FIRST_ATTEMPT = "the id of its first attempt"
# Makes a value of `Resumes` from the ids of the first attempt and of the request; None
# for no such header.
RESUMES = {
    FIRST_ATTEMPT: lambda first, own: first,
    "nothing": lambda first, own: None,
    "an id that nobody knows": lambda first, own: first[::-1],
    "its own id": lambda first, own: own,
    "an empty value": lambda first, own: b"",
    "a long value": lambda first, own: first * 200,
    "bytes outside ASCII": lambda first, own: b"\xe9\xff" + first,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An event as a client received it, and the version that made it."""

    number: int
    version: str


@dataclasses.dataclass
class Attempt:
    """One request of a client for a stream, and what came of it.

    Attributes:
        status: HTTP status; `NO_ANSWER` if the connection broke before.
        complete: Whether the response was received to its end.
    """

    request_id: str
    instance: str
    status: int = NO_ANSWER
    fields: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False

    @property
    def events(self):
        """Whole events that were received."""
        return events_of(self.body) if self.status == 200 else []

    @property
    def refused(self):
        """Whether it was refused as not run, with a time to come back."""
        return (
            self.status == 503
            and "retry-after" in self.fields
            and b"not run" in self.body
        )


@dataclasses.dataclass
class Stream:
    """A stream over all attempts of its client.

    Attributes:
        part: Body and name of its prompt, which it shares with no other, so that
            engines that end under many streams are no evidence against one request.
    """

    part: str
    attempts: list = dataclasses.field(default_factory=list)

    @property
    def first_id(self):
        """Id of the attempt that brought the first event; None before any has."""
        return next((a.request_id for a in self.attempts if a.events), None)

    @property
    def events(self):
        return [event for attempt in self.attempts for event in attempt.events]

    @property
    def versions(self):
        """Versions whose events the client has."""
        return {event.version for event in self.events}

    @property
    def whole(self):
        """Whether the client has each event once and saw the end."""
        numbers = [event.number for event in self.events]
        return numbers == EVENTS and self.attempts[-1].complete

    @property
    def resumed(self):
        """Whether its last attempt brought more events after earlier ones."""
        *earlier, last = self.attempts
        return any(a.events for a in earlier) and bool(last.events)


class Clients:
    """Clients that begin streams, disconnect and resume; subclasses have `connect`."""

    def __init__(self):
        super().__init__()
        self.streams = []
        self._random = random.Random(SEED)

    async def begin(self, count, events=None, names=()):
        """Begin streams.

        Args:
            count: Number of streams.
            events: Events after which a client disconnects; None to read all.
            names: Instances to use in turn; none for all.

        Returns:
            The streams of which the client has an event, in the order of their begin.
        """
        names = names or list(self.instances)
        begun, streams = [], []
        for number in range(count):
            stream = Stream(f"{self._random.getrandbits(64):016x}")
            streams.append(stream)
            self.streams.append(stream)
            name = names[number % len(names)]
            begun.append(asyncio.create_task(self._attempt(stream, name, events)))
            await asyncio.sleep(BEGIN_PAUSE_S)
        await asyncio.gather(*begun)
        return [stream for stream in streams if stream.events]

    async def resume(
        self,
        streams,
        events=None,
        resumes=FIRST_ATTEMPT,
        names=(),
        pause_s=RETURN_PAUSE_S,
    ):
        """Have clients resume streams.

        Args:
            streams: The streams.
            events: Events after which a client disconnects; None to read all.
            resumes: Value of `Resumes`, a key of `RESUMES`.
            names: Instances to use in turn; none for the one after the last that each
                stream was at.
            pause_s: Time before the clients come back.
        """
        await asyncio.sleep(pause_s)
        chosen = itertools.cycle(names or [None])
        await asyncio.gather(
            *(self._resume(s, events, resumes, next(chosen)) for s in streams)
        )

    async def _resume(self, stream, events, resumes, name=None):
        names = list(self.instances)
        before = names.index(stream.attempts[-1].instance)
        chosen = name or names[(before + 1) % len(names)]
        await self._attempt(stream, chosen, events, resumes)

    async def resume_until_accepted(self, stream, resumes, name=None):
        """Resume a stream each time that a refusal says when to come back."""
        async with asyncio.timeout(route_world.WAIT_S):
            await self._resume(stream, None, resumes, name)
            while stream.attempts[-1].refused:
                fields = stream.attempts[-1].fields
                await asyncio.sleep(float(fields["retry-after"]))
                await self._resume(stream, None, resumes, name)

    async def _attempt(self, stream, name, events, resumes=None):
        attempt = Attempt(f"{self._random.getrandbits(64):016x}", name)
        data = self._request(stream, attempt, resumes)
        stream.attempts.append(attempt)
        reader, writer = await self.connect(name)
        writer.write(data)
        try:
            async with asyncio.timeout(route_world.WAIT_S):
                await _read(reader, attempt, events)
        except (OSError, asyncio.IncompleteReadError, IndexError, ValueError):
            pass
        finally:
            writer.transport.abort()

    def _request(self, stream, attempt, resumes):
        fields = {"x_prompt_prefix": f"{stream.part}:1200"}
        if stream.events:
            fields["last_event_id"] = str(stream.events[-1].number)
        body = stream.part.encode()
        data = route_world.request("digest", attempt.request_id, body, **fields)
        if resumes is None:
            return data
        first, own = stream.first_id.encode(), attempt.request_id.encode()
        value = RESUMES[resumes](first, own)
        if value is None:
            return data
        line, rest = data.split(b"\r\n", 1)
        return line + b"\r\nResumes: " + value + b"\r\n" + rest

    def joined(self):
        """Return the streams that hold events of two versions."""
        return [stream for stream in self.streams if len(stream.versions) > 1]

    def out_of_order(self):
        """Return the streams that lack an event between two, or have one twice."""
        return [
            stream
            for stream in self.streams
            if [e.number for e in stream.events] != EVENTS[: len(stream.events)]
        ]

    def refused_and_run(self):
        """Return the attempts that were refused as not run and that a server ran."""
        return [
            attempt
            for stream in self.streams
            for attempt in stream.attempts
            if attempt.status in (429, 503)
            and any(s.count_runs(attempt.request_id) for s in self.servers.values())
        ]

    def describe(self, streams):
        """Return how many were joined, and how many of some streams were resumed."""
        resumed = sum(stream.resumed for stream in streams)
        refused = sum(stream.attempts[-1].refused for stream in streams)
        rest = len(streams) - resumed - refused
        return (
            f"{len(self.joined())} of {len(self.streams)} joined; {resumed} of"
            f" {len(streams)} resumed, {refused} refused, {rest} neither"
        )


class VersionWorld(Clients, route_world.RouteWorld):
    """Instances in two failure domains, and engines whose versions a scenario names."""

    def __init__(self):
        super().__init__()
        self._domains = {}

    def settings(self, name, seeds=(), host=route_world.HOST):
        chosen = super().settings(name, seeds, host)
        bounds = chosen.bounds.model_copy(update={"repeat_slack": REPEAT_SLACK})
        changed = {"failure_domain": self._domains[name], "bounds": bounds}
        return chosen.model_copy(update=changed)

    async def start(self, instances, decode_versions):
        """Start instances, a decode engine of each version given, and prefill engines.

        Args:
            instances: Number of instances.
            decode_versions: Versions of the decode engines. Each version has one
                prefill engine as well.
        """
        await self.start_store()
        await self.configure(1)
        for version in sorted(set(decode_versions)):
            await self.add_engine(f"prefill-{version}", "prefill", version)
        for number, version in enumerate(decode_versions):
            await self.add_engine(f"decode-{number}", "decode", version)
        for _ in range(instances):
            await self.join(ready=False)
        await self._until_joined()

    async def join(self, ready=True):
        """Start one more instance; return its name."""
        number = len(self.instances)
        name, host = f"g{number}", f"127.0.1.{number + 1}"
        self._domains[name] = DOMAINS[number % len(DOMAINS)]
        seeds = [f"{other}:{self.peer_port}" for other, _ in self.instances.values()]
        await self.add_instance(name, seeds, host, ready=False)
        if ready:
            await self._until_joined()
        return name

    async def _until_joined(self):
        others = len(self.instances) - 1
        for name, (_, instance) in self.instances.items():
            await self.until_ready(name)
            await self.until(lambda by=instance: len(by.peers.live()) == others)

    async def add_engine(self, name, stage, version):
        """Start an engine and list it."""
        domain = DOMAINS[len(self.servers) % len(DOMAINS)]
        engine = route_server.RouteServer(name, "lm", domain, stage, version)
        engine.event_pause_s = EVENT_PAUSE_S
        engine.started_ms = FIRST_START_MS
        await engine.start()
        self.servers[name] = engine
        await self.write("servers", name, engine.entry())

    def engines(self, version):
        """Return all engines of a version."""
        return [s for s in self.servers.values() if s.version == version]

    def crash(self, version):
        """End all engines of a version; their entries stay."""
        for engine in self.engines(version):
            engine.crash()

    async def remove(self, version):
        """End all engines of a version, and wait until all instances know it."""
        self.crash(version)
        table = self.platform.table
        for engine in self.engines(version):
            current = table.get("servers", engine.server_id)
            await table.delete("servers", engine.server_id, current.version)
            await self._until_known(
                lambda known, name=engine.server_id: known.get(name) is None
            )

    async def restart_at(self, name, version):
        """Start an engine again under its id, and wait until all instances know it."""
        self.restart_unlisted(name, version)
        await self.list_restarted(name)

    def restart_unlisted(self, name, version):
        """Start an engine again under its id; its entry stays as it was."""
        self.servers[name].restart(round(time.time() * 1000), version)

    async def list_restarted(self, name):
        """Write the entry of a restarted engine, and wait until all know it."""
        engine = self.servers[name]
        await self.write("servers", name, engine.entry())
        await self._until_known(
            lambda known: known.get(name).started_ms == engine.started_ms
        )

    async def _until_known(self, is_known):
        tables = [instance.fleet.servers for _, instance in self.instances.values()]
        await self.until(lambda: all(is_known(known) for known in tables))


class ProcessWorld(Clients):
    """Gateways as processes, and engines of two versions."""

    def __init__(self):
        super().__init__()
        self._world = soak_world.SoakWorld()

    @property
    def instances(self):
        return self._world.gateways

    @property
    def servers(self):
        return self._world.servers

    async def start(self, instances, decode_engines, versions):
        """Start instances, decode engines and a prefill engine of each version."""
        self._world.versions = itertools.cycle(versions)
        await self._world.start(instances, decode_engines, len(versions), 0)

    async def connect(self, name):
        host = self.instances[name].host
        return await asyncio.open_connection(host, soak_world.CLIENTS_PORT)

    def kill(self, name):
        """Kill an instance, without a word to its peers."""
        self.instances[name].popen.kill()

    async def restart_all(self):
        """Start all instances again, which have been killed."""
        for name, instance in self.instances.items():
            await self.until(lambda by=instance: not by.running)
            self._world.restart(name)
        for name in self.instances:
            await self._world.wait_until_ready(name)

    async def remove_engines(self, version):
        """Remove the engines of a version, and their entries."""
        leaving = [n for n, s in self.servers.items() if s.version == version]
        for name in leaving:
            await self._world.remove_server(name)

    async def until(self, condition):
        await self._world.wait_until(condition)

    async def stop(self):
        await self._world.stop()


def events_of(body):
    """Return the whole events of a stream's body."""
    *whole, _ = body.split(b"\n\n")
    return [_parse_event(text) for text in whole]


def _parse_event(text):
    number, version, piece = _EVENT.fullmatch(text).groups()
    assert number == piece, text
    return Event(
        int(number), (version or route_server.DEFAULT_VERSION.encode()).decode()
    )


async def _read(reader, attempt, events):
    """Read a response into an attempt, up to its end or so many events."""
    attempt.status = int((await reader.readline()).split()[1])
    while (line := (await reader.readline()).strip()) != b"":
        name, _, value = line.decode().partition(":")
        attempt.fields[name.lower()] = value.strip()
    if "content-length" in attempt.fields:
        length = int(attempt.fields["content-length"])
        attempt.body = await reader.readexactly(length)
        attempt.complete = True
        return
    while size := int(await reader.readline(), 16):
        attempt.body += await reader.readexactly(size)
        await reader.readline()
        if events is not None and len(attempt.events) >= events:
            return
    attempt.complete = True
