"""Fetches configuration and servers from a peer that knows newer ones.

An instance that the store turns away goes on hearing its peers. Without this it would
route by an old configuration, and send to servers that have left, until the store
serves it again; an instance that starts while the store is down would know nothing.
"""

import asyncio
import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock, settings
from pimentolatch.backend import channel
from pimentolatch.gateway import expired, knowledge, peer_table, watching
from pimentolatch.protocol import snapshots

__all__ = ["PeerSource", "SnapshotFace"]

_log = logbook.Logger("spread")
_CONFIGURATION = "/v1/configuration"
_SERVERS = "/v1/servers"
# Looked at so often; beacons come every quarter second.
_INTERVAL = datetime.timedelta(milliseconds=100)
# For an instance that reads the store a peer must be ahead for this long: a watch that
# works is at most this much behind.
_BEHIND = datetime.timedelta(milliseconds=400)
_LIMIT = datetime.timedelta(seconds=1)


class SnapshotFace:
    """Answers peers with what this instance knows (ASGI)."""

    def __init__(
        self, known: knowledge.Knowledge, expired_servers: expired.ExpiredServers
    ) -> None:
        self._known = known
        self._expired = expired_servers

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one request."""
        body = self._body(scope["path"])
        length = (b"content-length", b"%d" % len(body))
        status = 200 if body else 404
        start = {"type": "http.response.start", "status": status, "headers": [length]}
        await send(start)
        await send({"type": "http.response.body", "body": body})

    def _body(self, path: str) -> bytes:
        known = self._known
        if path == _CONFIGURATION:
            told = snapshots.Configuration(known.configuration_spec)
            return snapshots.encode_configuration(told)
        if path == _SERVERS and known.servers_listed:
            listed = tuple(known.servers.all())
            return snapshots.encode_servers(
                snapshots.Servers(known.servers_revision, listed, self._expired.left())
            )
        return b""


class PeerSource:
    """Follows peers that are ahead of this instance.

    Args:
        known: Takes what peers know.
        table: Tells which peers are ahead.
        expired_servers: Takes the servers that peers doubt.
        port: Port of peers' snapshots.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        table: peer_table.PeerTable,
        expired_servers: expired.ExpiredServers,
        port: int,
        time: clock.Clock,
    ) -> None:
        self._known = known
        self._table = table
        self._expired = expired_servers
        self._port = port
        self._clock = time
        self._pool = channel.ChannelPool(_LIMIT)
        self._behind_since: datetime.timedelta | None = None

    async def run(self) -> None:
        """Look for peers that are ahead, for ever."""
        while True:
            await self._clock.sleep(_INTERVAL)
            newer, fresher = self._ahead()
            now = self._clock.monotonic()
            if newer is None and fresher is None:
                self._behind_since = None
                continue
            if self._behind_since is None:
                self._behind_since = now
            waits = self._known.reads_store and self._known.complete
            if waits and now - self._behind_since < _BEHIND:
                continue
            if newer is not None:
                await self._fetch(newer, _CONFIGURATION, self._take_configuration)
            if fresher is not None:
                await self._fetch(fresher, _SERVERS, self._take_servers)

    def close(self) -> None:
        """Close the kept connections."""
        self._pool.close()

    def _ahead(self) -> tuple[peer_table.Peer | None, peer_table.Peer | None]:
        """Return peers with a newer configuration and with newer servers, if any."""
        live = self._table.live()
        newer = max(live, key=lambda peer: peer.beacon.configuration, default=None)
        if newer is not None and newer.beacon.configuration <= self._known.version:
            newer = None
        fresher = max(live, key=lambda peer: peer.beacon.servers, default=None)
        revision = self._known.servers_revision
        if fresher is not None and fresher.beacon.servers <= revision:
            fresher = None
        return newer, fresher

    async def _fetch(
        self,
        peer: peer_table.Peer,
        path: str,
        take: abc.Callable[[str, bytes], None],
    ) -> None:
        name = peer.beacon.instance
        address = settings.Address(host=peer.host, port=self._port)
        try:
            async with asyncio.timeout(_LIMIT.total_seconds()):
                take(name, await self._snapshot(name, address, path))
        except (
            channel.ConnectError,
            channel.BrokenError,
            TimeoutError,
        ) as error:
            _log.warn("peer gave nothing", peer=name, reason=repr(error))

    async def _snapshot(self, name: str, address: settings.Address, path: str) -> bytes:
        link = await self._pool.take(name, address, self._clock.monotonic())
        try:
            host = f"{address.host}:{address.port}".encode()
            link.send("GET", path.encode(), [(b"host", host)], b"")
            await link.start()
            content = await link.read_whole()
        except BaseException:
            link.close()
            raise
        self._pool.give_back(name, link, self._clock.monotonic())
        return content

    def _take_configuration(self, name: str, body: bytes) -> None:
        told = snapshots.decode_configuration(body)
        if isinstance(told, snapshots.Malformed):
            _log.warn("peer told nothing readable", peer=name, reason=told.reason)
        elif watching.take_configuration(self._known, told.spec):
            _log.info("configuration from peer", peer=name, version=self._known.version)

    def _take_servers(self, name: str, body: bytes) -> None:
        told = snapshots.decode_servers(body)
        if isinstance(told, snapshots.Malformed):
            _log.warn("peer told nothing readable", peer=name, reason=told.reason)
        elif self._known.list_servers(told.revision, told.listed):
            self._expired.replace(told.expired, told.expired)
            _log.info("servers from peer", peer=name, revision=told.revision)
