"""Fetches configuration and servers from a peer that knows newer ones.

An instance that the store turns away goes on hearing its peers. Without this it would
route by an old configuration, and send to servers that have left, until the store
serves it again; an instance that starts while the store is down would know nothing.
"""

import asyncio
import datetime
import typing

import cbor2
import logbook

from pimentolatch import clock, settings, store
from pimentolatch.backend import channel
from pimentolatch.gateway import knowledge, peers, watching

__all__ = ["PeerSource", "SnapshotFace"]

_log = logbook.Logger("spread")
_PATH = b"/v1/snapshot"
# Looked at so often; the store's own watch mostly brings the news first.
_INTERVAL = datetime.timedelta(milliseconds=250)
# A peer must be ahead for this long: a watch that works is at most this much behind.
_BEHIND = datetime.timedelta(milliseconds=400)
_LIMIT = datetime.timedelta(seconds=1)


class SnapshotFace:
    """Answers peers with what this instance knows (ASGI)."""

    def __init__(self, known: knowledge.Knowledge) -> None:
        self._known = known

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one request."""
        known = self._known
        body = cbor2.dumps(
            {
                "configuration": known.configuration_spec,
                "revision": known.servers_revision,
                "listed": known.servers_listed,
                "servers": known.server_specs,
            }
        )
        length = (b"content-length", b"%d" % len(body))
        await send({"type": "http.response.start", "status": 200, "headers": [length]})
        await send({"type": "http.response.body", "body": body})


class PeerSource:
    """Follows peers that are ahead of this instance.

    Args:
        port: Port of peers' snapshots.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        table: peers.PeerTable,
        port: int,
        time: clock.Clock,
    ) -> None:
        self._known = known
        self._table = table
        self._port = port
        self._clock = time
        self._pool = channel.ChannelPool(_LIMIT)
        self._behind_since: datetime.timedelta | None = None

    async def run(self) -> None:
        """Look for peers that are ahead, for ever."""
        while True:
            await self._clock.sleep(_INTERVAL)
            peer = self._ahead()
            now = self._clock.monotonic()
            if peer is None:
                self._behind_since = None
                continue
            if self._behind_since is None:
                self._behind_since = now
            if now - self._behind_since >= _BEHIND or not self._known.complete:
                await self._fetch(peer)

    def close(self) -> None:
        """Close the kept connections."""
        self._pool.close()

    def _ahead(self) -> peers.Peer | None:
        """Return the peer that knows most, if it knows more than this instance."""

        def news(peer: peers.Peer) -> tuple[int, int]:
            return peer.beacon.configuration, peer.beacon.servers

        best = max(self._table.live(), key=news, default=None)
        if best is None:
            return None
        newer = best.beacon.configuration > self._known.version
        fresher = best.beacon.servers > self._known.servers_revision
        return best if newer or fresher else None

    async def _fetch(self, peer: peers.Peer) -> None:
        name = peer.beacon.instance
        address = settings.Address(host=peer.address.host, port=self._port)
        try:
            async with asyncio.timeout(_LIMIT.total_seconds()):
                snapshot = await self._snapshot(name, address)
        except (
            channel.ConnectError,
            channel.BrokenError,
            TimeoutError,
            ValueError,
            cbor2.CBORError,
        ) as error:
            _log.warn("peer gave nothing", peer=name, reason=repr(error))
            return
        self._take(name, snapshot)

    async def _snapshot(self, name: str, address: settings.Address) -> typing.Any:
        link = await self._pool.take(name, address, self._clock.monotonic())
        try:
            host = f"{address.host}:{address.port}".encode()
            link.send("GET", _PATH, [(b"host", host)], b"")
            await link.start()
            content = await link.read_whole()
        except BaseException:
            link.close()
            raise
        self._pool.give_back(name, link, self._clock.monotonic())
        return cbor2.loads(content)

    def _take(self, name: str, snapshot: typing.Any) -> None:
        spec = snapshot["configuration"]
        if spec is not None and watching.take_configuration(self._known, spec):
            _log.info("configuration from peer", peer=name, version=self._known.version)
        if not snapshot["listed"]:
            return
        found = tuple(
            store.Found(server_id, 0, entry)
            for server_id, entry in snapshot["servers"].items()
        )
        if watching.take_listing(self._known, int(snapshot["revision"]), found):
            _log.info("servers from peer", peer=name, revision=snapshot["revision"])
