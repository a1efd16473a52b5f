"""Fetches configuration and servers from a peer that has a newer version.

An instance that the store rejects still receives its peers' beacons. Without this
module it would route by an outdated configuration and send to removed servers until
the store serves it again, and an instance that starts during an outage of the store
would have no configuration at all.
"""

import asyncio
import dataclasses
import datetime
import math
import typing
from collections import abc

import logbook

from pimentolatch import clock, settings
from pimentolatch.backend import channel
from pimentolatch.decisions import (
    missing_servers,
    peer_lag,
    peer_sources,
    snapshot_attempts,
)
from pimentolatch.gateway import expired_entries, fleet_state, store_watch
from pimentolatch.gateway.peers import peer_table
from pimentolatch.protocol import beacons, compression, snapshots

__all__ = [
    "Fetch",
    "Progress",
    "Response",
    "SnapshotEndpoint",
    "SnapshotFetcher",
    "fetch",
]

_log = logbook.Logger("spread")
_CONFIGURATION = "/v1/configuration"
_SERVERS = "/v1/servers"
# Asks for the servers' software versions too; earlier releases ignore the query.
_VERSIONS = "versions"
# Header field with the age of the list in ms; earlier releases do not know it.
_LIST_AGE = b"list-age-ms"
# Header field with the ids of the listed servers that the sender has not confirmed.
_UNCONFIRMED = b"unconfirmed-servers"
# Servers that this field names at most, so that the head stays within its limit.
_MAX_NAMED = 50
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Beacons arrive every 250 ms.
_INTERVAL = datetime.timedelta(milliseconds=100)
# An instance that watches the store fetches only after a peer has been ahead for this
# long: a working watch lags by at most this much.
_MAX_WATCH_LAG = datetime.timedelta(milliseconds=400)
# Far longer than a fetch takes.
_LOGGED_LAG = datetime.timedelta(seconds=1)
# Peers asked by an instance that has to catch up. The next one is asked after this time
# without a current answer: longer than an answer takes, and short against the time for
# which requests wait.
_MAX_ASKED = 3
_NEXT_ASKED_AFTER = datetime.timedelta(milliseconds=50)
# A smaller body fits into a few packets.
_MIN_COMPRESSED_BYTES = 4096
# A list of 3,800 servers has some 500 kB.
_MAX_BYTES = 16_000_000
_CONNECT_TIMEOUT = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A peer's response with a snapshot.

    Attributes:
        fields: Names and values of its header fields.
        body: The encoded snapshot.
    """

    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes


# Called with the number of bytes whenever a part of a response has arrived.
Progress = typing.Callable[[int], None]
Fetch = typing.Callable[[settings.Address, str, Progress], abc.Awaitable[Response]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Content:
    """An encoded snapshot, as it is and, if it is large, compressed."""

    plain: bytes
    compressed: compression.CompressedBody | None

    @classmethod
    def of(cls, plain: bytes) -> typing.Self:
        """Return the content with this encoded snapshot."""
        is_large = len(plain) >= _MIN_COMPRESSED_BYTES
        return cls(plain, compression.compress(plain) if is_large else None)


class SnapshotEndpoint:
    """ASGI application that serves this instance's snapshots to peers.

    A configuration is encoded once: dozens of peers fetch it within a second.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        expired_servers: expired_entries.ExpiredServers,
        time: clock.Clock,
    ) -> None:
        self._fleet = fleet
        self._expired = expired_servers
        self._clock = time
        self._configuration = _Content(b"", None)
        self._encoded_version: int | None = None

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one request; 404 if there is nothing to serve."""
        versions = scope.get("query_string", b"") == _VERSIONS.encode()
        content = self._content(scope["path"], versions=versions)
        body, coding = content.plain, []
        if content.compressed and compression.is_accepted(scope.get("headers", ())):
            body, coding = content.compressed.content, [content.compressed.field]
        age = self._clock.monotonic() - self._fleet.servers_confirmed_at
        fields = [
            (b"content-length", b"%d" % len(body)),
            (_LIST_AGE, b"%d" % math.ceil(age / _MILLISECOND)),
            *coding,
        ]
        if unconfirmed := self._fleet.doubted_servers[:_MAX_NAMED]:
            names = ",".join(server.server_id for server in unconfirmed)
            fields.append((_UNCONFIRMED, names.encode()))
        status = 200 if body else 404
        start = {"type": "http.response.start", "status": status, "headers": fields}
        await send(start)
        await send({"type": "http.response.body", "body": body})

    def _content(self, path: str, *, versions: bool) -> _Content:
        fleet = self._fleet
        if path == _CONFIGURATION:
            return self._encoded_configuration()
        if path == _SERVERS and fleet.servers_listed:
            listed = tuple(fleet.listed_servers())
            snapshot = snapshots.Servers(
                fleet.servers_revision, listed, self._expired.remaining()
            )
            return _Content.of(snapshots.encode_servers(snapshot, versions=versions))
        return _Content(b"", None)

    def _encoded_configuration(self) -> _Content:
        if self._encoded_version != self._fleet.version:
            snapshot = snapshots.Configuration(self._fleet.configuration_spec)
            self._configuration = _Content.of(snapshots.encode_configuration(snapshot))
            self._encoded_version = self._fleet.version
        return self._configuration


@dataclasses.dataclass(slots=True)
class _Kind:
    """One kind of state that is fetched from peers.

    Attributes:
        name: Its name in the log.
        path: Where peers serve it.
        lag: For how long peers have been ahead.
        announced: Returns the version that a beacon announces.
        known: Returns the version that is known here.
        apply: Applies a response of a peer to a fetch that began at a time; False if it
            is malformed.
        lag_logged: Whether the log says that this instance is behind.
        pending: Attempts that have not ended, with their tasks.
    """

    name: str
    path: str
    lag: peer_lag.PeerLag
    announced: abc.Callable[[beacons.Beacon], int]
    known: abc.Callable[[], int]
    apply: abc.Callable[[str, Response, datetime.timedelta], bool]
    lag_logged: bool = False
    pending: dict[asyncio.Task[None], snapshot_attempts.Attempt] = dataclasses.field(
        default_factory=dict
    )

    def cancel(self) -> None:
        """Cancel the attempts, as what they fetch is known."""
        for task in self.pending:
            task.cancel()

    def end_slow_attempts(self, now: datetime.timedelta) -> None:
        """Cancel the attempts that others have overtaken."""
        attempts = self.pending.values()
        for task, attempt in self.pending.items():
            if not snapshot_attempts.may_go_on(attempt, attempts, now):
                task.cancel()
                _log.warn(
                    "snapshot fetch ended, as another one is ahead",
                    kind=self.name,
                    received_bytes=attempt.received_bytes,
                    ms=round((now - attempt.begun_at) / _MILLISECOND),
                )


class SnapshotFetcher:
    """Fetches snapshots from peers that are ahead of this instance.

    Args:
        fleet: State that the snapshots are applied to.
        table: The live peers with their versions and revisions.
        expired_servers: Receives the servers whose entries have expired at a peer.
        port: Port on which peers serve snapshots.
        time: Clock of this instance.
        fetch_from: Fetches a path from a peer; `fetch` by default.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        table: peer_table.PeerTable,
        expired_servers: expired_entries.ExpiredServers,
        port: int,
        time: clock.Clock,
        fetch_from: Fetch | None = None,
    ) -> None:
        self._fetch_from = fetch_from or fetch
        self._fleet = fleet
        self._table = table
        self._expired = expired_servers
        self._port = port
        self._clock = time
        self._sources = peer_sources.PeerSources(table.failure_domain)
        self._kinds = (
            _Kind(
                "configuration",
                _CONFIGURATION,
                fleet.configuration_lag,
                lambda beacon: beacon.configuration,
                lambda: fleet.version,
                self._apply_configuration,
            ),
            _Kind(
                "servers",
                f"{_SERVERS}?{_VERSIONS}",
                fleet.servers_lag,
                lambda beacon: beacon.servers,
                lambda: fleet.servers_revision,
                self._apply_servers,
            ),
        )

    async def run(self) -> None:
        """Fetch from peers that are ahead; runs until cancelled."""
        async with asyncio.TaskGroup() as attempts:
            for kind in self._kinds:
                attempts.create_task(self._follow(kind, attempts))

    async def _follow(self, kind: "_Kind", attempts: asyncio.TaskGroup) -> None:
        """Fetch one kind of state whenever peers are ahead."""
        while True:
            await self._clock.sleep(_INTERVAL)
            live, now = self._table.live(), self._clock.monotonic()
            announced = max((kind.announced(peer.beacon) for peer in live), default=0)
            kind.lag.observe(kind.known(), announced, now)
            lag = kind.lag.duration(now)
            self._log_lag(kind, lag)
            waits = self._fleet.watches_store and self._fleet.complete
            if kind.lag.since is None:
                kind.cancel()
                continue
            if waits and lag < _MAX_WATCH_LAG:
                continue
            kind.end_slow_attempts(now)
            if not snapshot_attempts.may_begin(kind.pending.values(), now):
                continue
            peer = self._choose(kind, live, now)
            if peer is not None:
                attempt = snapshot_attempts.Attempt(now)
                task = attempts.create_task(self._attempt(peer, kind, attempt))
                kind.pending[task] = attempt
                task.add_done_callback(kind.pending.pop)

    async def _attempt(
        self,
        peer: peer_table.Peer,
        kind: "_Kind",
        attempt: snapshot_attempts.Attempt,
    ) -> None:
        await self._fetch(peer, kind, attempt)

    def _choose(
        self, kind: "_Kind", live: list[peer_table.Peer], now: datetime.timedelta
    ) -> peer_table.Peer | None:
        """Return the peer to fetch from, out of those that are ahead."""
        ahead = {
            peer_sources.Source(
                peer.beacon.instance,
                peer.beacon.failure_domain,
                kind.announced(peer.beacon),
            ): peer
            for peer in live
            if kind.announced(peer.beacon) > kind.known()
        }
        chosen = self._sources.choose(ahead, now)
        return None if chosen is None else ahead[chosen]

    def _log_lag(self, kind: "_Kind", lag: datetime.timedelta) -> None:
        """Log once that this instance stays behind, and once that it no longer is."""
        if lag >= _LOGGED_LAG and not kind.lag_logged:
            _log.warn(
                "behind peers",
                kind=kind.name,
                ms=round(lag / _MILLISECOND),
                known=kind.known(),
                announced=kind.lag.announced,
            )
            kind.lag_logged = True
        elif not lag and kind.lag_logged:
            _log.info("caught up with peers", kind=kind.name, known=kind.known())
            kind.lag_logged = False

    async def catch_up(self) -> bool:
        """Fetch everything from peers; return whether one's list is current.

        Peers that were heard last are asked even if that was long ago: after a pause of
        this process all beacons are old.
        """
        asked = [
            asyncio.create_task(self._catch_up_from(peer, place * _NEXT_ASKED_AFTER))
            for place, peer in enumerate(self._table.last_heard(_MAX_ASKED))
        ]
        try:
            for answer in asyncio.as_completed(asked):
                if await answer:
                    return True
            return False
        finally:
            for task in asked:
                task.cancel()

    async def _catch_up_from(
        self, peer: peer_table.Peer, after: datetime.timedelta
    ) -> bool:
        await self._clock.sleep(after)
        responses = []
        for kind in self._kinds:
            attempt = snapshot_attempts.Attempt(self._clock.monotonic())
            responses.append(await self._fetch(peer, kind, attempt))
        return all(responses) and self._is_current(responses[-1])

    def _is_current(self, response: Response | None) -> bool:
        age = None if response is None else _list_age(response)
        return age is not None and missing_servers.is_current(age)

    async def _fetch(
        self,
        peer: peer_table.Peer,
        kind: "_Kind",
        attempt: snapshot_attempts.Attempt,
    ) -> Response | None:
        """Fetch and apply a snapshot; return the response if it was one."""
        name, begun = peer.beacon.instance, attempt.begun_at
        self._sources.record_attempt(name, begun)
        address = settings.Address(host=peer.host, port=self._port)
        try:
            response = await self._receive(address, kind.path, attempt)
            if not kind.apply(name, response, begun):
                return None
            self._sources.record_answer(name)
            return response
        except (
            channel.ConnectError,
            channel.BrokenError,
            TimeoutError,
        ) as error:
            _log.warn(
                "failed to fetch snapshot from peer",
                peer=name,
                kind=kind.name,
                reason=repr(error),
                received_bytes=attempt.received_bytes,
                ms=round((self._clock.monotonic() - begun) / _MILLISECOND),
            )
            return None

    async def _receive(
        self, address: settings.Address, path: str, attempt: snapshot_attempts.Attempt
    ) -> Response:
        """Fetch a snapshot for as long as it arrives.

        Raises:
            TimeoutError: Nothing more has arrived.
        """
        silence = snapshot_attempts.LONGEST_SILENCE.total_seconds()
        async with asyncio.timeout(silence) as limit:

            def record(size: int) -> None:
                attempt.receive(size, self._clock.monotonic())
                limit.reschedule(asyncio.get_running_loop().time() + silence)

            return await self._fetch_from(address, path, record)

    def _apply_configuration(
        self, name: str, response: Response, begun: datetime.timedelta
    ) -> bool:
        snapshot = snapshots.decode_configuration(response.body)
        if isinstance(snapshot, snapshots.Malformed):
            _log.warn(
                "malformed configuration snapshot from peer",
                peer=name,
                reason=snapshot.reason,
            )
            return False
        if store_watch.apply_configuration(self._fleet, snapshot.spec):
            _log.info(
                "configuration from peer",
                peer=name,
                version=self._fleet.version,
            )
        return True

    def _apply_servers(
        self, name: str, response: Response, begun: datetime.timedelta
    ) -> bool:
        snapshot = snapshots.decode_servers(response.body)
        if isinstance(snapshot, snapshots.Malformed):
            _log.warn(
                "malformed server snapshot from peer",
                peer=name,
                reason=snapshot.reason,
            )
            return False
        if snapshot.passed_over:
            _log.warn(
                "servers passed over in snapshot from peer",
                peer=name,
                servers=len(snapshot.passed_over),
                reason=snapshot.passed_over[0],
            )
        expired = self._still_used(snapshot.expired)
        listed = [
            server
            for server in snapshot.listed
            if server.server_id in expired or server.server_id not in snapshot.expired
        ]
        if self._fleet.replace_servers(
            snapshot.revision, listed, name, unconfirmed=_unconfirmed(response)
        ):
            age = _list_age(response)
            if age is not None:
                # The response may have waited here while this process stood still.
                self._fleet.confirm_servers(begun - age)
            self._expired.replace({n: begun + left for n, left in expired.items()})
            _log.info(
                "servers from peer",
                peer=name,
                revision=snapshot.revision,
                kept=len(expired),
            )
        return True

    def _still_used(
        self, expired: abc.Mapping[str, datetime.timedelta]
    ) -> dict[str, datetime.timedelta]:
        """Return the servers kept by a peer that this instance has not removed.

        A peer that missed the removal of a server keeps it as possibly expired. An
        instance that has a list without that server knows better.
        """
        if not self._fleet.servers_listed:
            return dict(expired)
        known = self._fleet.servers
        return {n: left for n, left in expired.items() if known.get(n) is not None}


def _list_age(response: Response) -> datetime.timedelta | None:
    """Return the age of a peer's list; None if the peer does not tell it."""
    text = dict(response.fields).get(_LIST_AGE, b"")
    return int(text) * _MILLISECOND if text.isdigit() else None


def _unconfirmed(response: Response) -> list[str]:
    """Return the ids of the servers that a peer has not confirmed."""
    names = dict(response.fields).get(_UNCONFIRMED, b"").decode("latin-1")
    return [name for name in names.split(",") if name]


def _ignore(size: int) -> None:
    """Ignore that a part of a response has arrived."""


async def fetch(
    address: settings.Address, path: str, progress: Progress = _ignore
) -> Response:
    """Fetch a snapshot over a new connection; one kept open may have fallen silent.

    Args:
        address: Address of the peer.
        path: Path of the snapshot.
        progress: Called for each part that arrives.

    Raises:
        channel.ConnectError: The peer can't be reached.
        channel.BrokenError: The connection ended before the response.
    """
    connection = await channel.connect(address, _CONNECT_TIMEOUT)
    try:
        host = f"{address.host}:{address.port}".encode()
        fields = [(b"host", host), compression.ACCEPTED]
        connection.send("GET", path.encode(), fields, b"")
        head = await connection.read_head()
        content = await connection.read_body(_MAX_BYTES, progress)
        try:
            body = compression.decompress(content, head.fields, _MAX_BYTES)
        except compression.CompressionError as error:
            raise channel.BrokenError(f"snapshot: {error}") from error
        return Response(tuple(head.fields), body)
    finally:
        connection.close()
