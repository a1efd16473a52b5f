"""Forwards requests to peers while this instance has no path to the servers.

Only requests whose dispatch by this instance would be in vain are forwarded, by one hop
at most: a peer that is cut off itself refuses a forwarded request as not run, and the
next peer gets it. What can be lost on the second hop is treated as on the way to a
server: a request that was sent and got no answer may have run.
"""

import asyncio
import contextlib
import dataclasses
import datetime
from collections import abc

from pimentolatch import clock, results, settings
from pimentolatch.backend import channel
from pimentolatch.decisions import peer_choice
from pimentolatch.gateway import (
    client_request,
    dispatch,
    fleet_state,
    reachability_monitor,
    request_log,
)
from pimentolatch.gateway.peers import peer_table
from pimentolatch.platform import http_headers
from pimentolatch.protocol import forwarding

__all__ = ["NotForwarded", "OpenedForward", "PeerForwarder"]

_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=300)
# A peer that terminates or is partitioned stays silent on the connection, but its
# beacons stop.
_LIVENESS_INTERVAL = datetime.timedelta(milliseconds=500)
# Peers that one request is forwarded to.
_MAX_PEERS = 3
# Refusals after which another peer may still serve the request.
_TRY_ANOTHER = frozenset(
    {
        results.ResultCode.NO_BACKEND_SERVER,
        results.ResultCode.NO_CONFIGURATION,
        results.ResultCode.STOPPING,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class NotForwarded:
    """No peer accepted the request; it has not run at any."""


@dataclasses.dataclass(slots=True)
class OpenedForward:
    """A response through a peer, whose header has arrived.

    Attributes:
        status: Its status.
        head: Its header.
        refusal: Code of the peer's own refusal; None for the response of a server.
    """

    status: int
    head: http_headers.ResponseHeaders
    refusal: results.ResultCode | None
    _link: channel.Channel
    _forwarder: "PeerForwarder"
    _peer: peer_choice.Candidate

    async def read(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Raises:
            BrokenError: The connection broke, or the peer is no longer heard.
        """
        return await self._forwarder.read_live(self._peer, self._link.read)

    async def read_body(self) -> bytes:
        """Return the whole body; raises `BrokenError`."""
        content = bytearray()
        while part := await self.read():
            content += part
            if len(content) > dispatch.MAX_BODY_BYTES:
                raise channel.BrokenError("response body exceeds the limit")
        return bytes(content)


class PeerForwarder:
    """Forwards requests to peers that reach their servers.

    Args:
        fleet: Configuration of this instance.
        table: The live peers and what they are cut off from.
        monitor: Knows what this instance is cut off from.
        own_domain: Failure domain of this instance.
        port: Port on which peers accept forwarded requests.
        log: Log of requests.
        time: Clock of this instance.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        table: peer_table.PeerTable,
        monitor: reachability_monitor.ReachabilityMonitor,
        own_domain: str,
        port: int,
        log: request_log.RequestLog,
        time: clock.Clock,
    ) -> None:
        self._fleet = fleet
        self._table = table
        self._monitor = monitor
        self._port = port
        self._request_log = log
        self._clock = time
        self._choice = peer_choice.PeerChoice(own_domain)
        self._pool = channel.ChannelPool(_CONNECT_TIMEOUT)

    def close(self) -> None:
        """Close all pooled connections."""
        self._pool.close()

    def may_forward(self, request: client_request.ClientRequest) -> bool:
        """Tell whether a request is to be forwarded instead of being dispatched here.

        That is so if this instance is cut off from its servers and a peer is not.
        """
        if request.forwarded is not None:
            return False
        if not self._monitor.is_cut_off(request.service.name):
            return False
        return self._choose(request, frozenset()) is not None

    @contextlib.asynccontextmanager
    async def open(
        self,
        request: client_request.ClientRequest,
        *,
        possible_runs: int,
        resumed: http_headers.Resumption | None = None,
    ) -> abc.AsyncGenerator[OpenedForward | NotForwarded | dispatch.OutcomeUnknown]:
        """Forward a request and wait for the header of its response.

        Args:
            request: The request.
            possible_runs: Number of servers that may have started to run it.
            resumed: Where to resume the stream; None leaves the client's own fields.
        """
        tried: set[str] = set()
        while len(tried) < _MAX_PEERS:
            peer = self._choose(request, tried)
            if peer is None:
                break
            tried.add(peer.instance)
            self._choice.begin(peer)
            try:
                async with self._exchange(
                    peer, request, possible_runs, resumed
                ) as outcome:
                    if not isinstance(outcome, NotForwarded):
                        yield outcome
                        return
            finally:
                self._choice.end(peer)
            self._choice.failed(peer, self._clock.monotonic())
        yield NotForwarded()

    async def read_live(
        self, peer: peer_choice.Candidate, read: abc.Callable[[], abc.Awaitable[bytes]]
    ) -> bytes:
        """Read from a peer for as long as it is heard.

        Raises:
            BrokenError: The connection broke, or the peer is no longer heard.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_LIVENESS_INTERVAL.total_seconds()):
                    return await read()
            self._check_heard(peer)

    def _check_heard(self, peer: peer_choice.Candidate) -> None:
        if not self._table.is_live(peer.instance):
            raise channel.BrokenError(f"peer {peer.instance} is no longer heard")

    def _choose(
        self, request: client_request.ClientRequest, tried: abc.Container[str]
    ) -> peer_choice.Candidate | None:
        service = request.service.name
        candidates = [
            peer_choice.Candidate(
                peer.beacon.instance,
                peer.host,
                peer.beacon.failure_domain,
                peer.beacon.configuration,
            )
            for peer in self._table.live()
            if service not in peer.beacon.cut_off_services
        ]
        return self._choice.choose(
            candidates,
            request.request_id,
            self._fleet.version,
            self._clock.monotonic(),
            tried,
        )

    @contextlib.asynccontextmanager
    async def _exchange(
        self,
        peer: peer_choice.Candidate,
        request: client_request.ClientRequest,
        possible_runs: int,
        resumed: http_headers.Resumption | None,
    ) -> abc.AsyncGenerator[OpenedForward | NotForwarded | dispatch.OutcomeUnknown]:
        """Send a request to one peer; its connection is open while the context is."""
        since = self._clock.monotonic()
        try:
            link = await self._pool.acquire(
                peer.instance,
                settings.Address(host=peer.host, port=self._port),
                since,
                max_idle=dispatch.MAX_IDLE_FOR_UNREPEATABLE,
            )
        except channel.ConnectError as error:
            self._log(request, peer, f"not reached: {error}", since)
            yield NotForwarded()
            return
        try:
            try:
                self._send(link, request, possible_runs, resumed)
                opened = await self._opened(peer, link)
            except channel.BrokenError as error:
                outcome = dispatch.OutcomeUnknown(f"peer {peer.instance}: {error}")
                self._log(request, peer, dispatch.describe(outcome), since)
                yield outcome
                return
            if opened.refusal in _TRY_ANOTHER:
                self._log(request, peer, f"refused: {opened.refusal.name}", since)
                with contextlib.suppress(channel.BrokenError):
                    await opened.read_body()
                yield NotForwarded()
                return
            self._log(request, peer, f"answered {opened.status}", since)
            yield opened
        except BaseException:
            link.close()
            raise
        finally:
            self._pool.release(peer.instance, link, self._clock.monotonic())

    def _send(
        self,
        link: channel.Channel,
        request: client_request.ClientRequest,
        possible_runs: int,
        resumed: http_headers.Resumption | None,
    ) -> None:
        options = forwarding.ForwardOptions(
            max_runs=max(1, request.route.max_attempts - possible_runs),
            configuration=self._choice.required_configuration(self._fleet.version),
            started=possible_runs > 0,
        )
        left = request.answer_due - self._clock.monotonic()
        fields = http_headers.forwarded_fields(
            request.fields, request.head.api_keys, left, resumed
        )
        link.send(
            request.method,
            request.target,
            [*fields, *forwarding.encode(options)],
            request.body,
        )

    async def _opened(
        self, peer: peer_choice.Candidate, link: channel.Channel
    ) -> OpenedForward:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_LIVENESS_INTERVAL.total_seconds()):
                    start = await link.read_head()
                    break
            self._check_heard(peer)
        head = http_headers.parse_response_headers(start.fields, start.status)
        return OpenedForward(
            start.status, head, _refusal_code(start, head), link, self, peer
        )

    def _log(
        self,
        request: client_request.ClientRequest,
        peer: peer_choice.Candidate,
        outcome: str,
        since: datetime.timedelta,
    ) -> None:
        self._request_log.write(
            request_log.FORWARDED,
            request.request_id,
            wrong=not outcome.startswith("answered 2"),
            peer=peer.instance,
            outcome=outcome,
            ms=self._request_log.elapsed_ms(since),
        )


def _refusal_code(
    start: channel.ResponseHead, head: http_headers.ResponseHeaders
) -> results.ResultCode | None:
    """Return the code of an instance's own refusal; None for a server's response."""
    found = dict(start.fields).get(results.RESULT_HEADER.encode())
    if found is None or head.sealed:
        return None
    try:
        return results.ResultCode(int(found))
    except ValueError:
        # A peer of a later release may have codes of its own.
        return results.ResultCode.INTERNAL_ERROR
