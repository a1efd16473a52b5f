"""Holds bodies of requests back until their servers ask for them."""

import asyncio
import dataclasses
import datetime
from collections import abc

from pimentolatch.backend import channel
from pimentolatch.decisions import body_requests, reachability
from pimentolatch.gateway import client_request
from pimentolatch.platform import engines
from pimentolatch.routes import servers

__all__ = ["BodyExchange", "Delivery", "Probe"]

_EXPECTATION_FAILED = 417

Probe = abc.Callable[[servers.Server, bytes], abc.Awaitable[reachability.ProbeResult]]


@dataclasses.dataclass(slots=True)
class Delivery:
    """How far a request has got.

    Attributes:
        repeatable: Whether it may be sent to another server after it was sent whole.
        sent_at: When it was sent whole; None before. A server can't have run it then.
    """

    repeatable: bool = True
    sent_at: datetime.timedelta | None = None

    @property
    def may_leave(self) -> bool:
        """Whether it may be sent to another server now."""
        return self.repeatable or self.sent_at is None


class BodyExchange:
    """Which bodies are held back, and until when; see `body_requests`.

    Args:
        probe: Sends a server a request that has no effect, over a new connection.
    """

    def __init__(self, probe: Probe) -> None:
        self._probe = probe
        self._servers = body_requests.BodyRequests()

    def is_held_back(
        self, server: servers.Server, request: client_request.ClientRequest
    ) -> bool:
        """Tell whether only the head of a request is sent to a server at first."""
        return bool(request.body) and self._servers.are_expected(server.incarnation)

    async def wait_until_requested(
        self,
        server: servers.Server,
        request: client_request.ClientRequest,
        link: channel.Channel,
    ) -> bool:
        """Wait until a server asks for a body, or is known to ignore that it may.

        Returns:
            Whether it has done so; False if it has answered without the body.

        Raises:
            BrokenError: The exchange failed.
        """
        probes = 0
        while True:
            limit = self._servers.limit(server.incarnation, probes)
            seconds = None if limit is None else limit.total_seconds()
            try:
                async with asyncio.timeout(seconds):
                    return await link.await_body_request()
            except TimeoutError:
                found = await self._probe(server, _probe_target(server, request))
                if found is reachability.ProbeResult.ANSWERED:
                    return True
                probes += 1

    def record(
        self, server: servers.Server, link: channel.Channel, status: int
    ) -> bool:
        """Record an answer to a request whose body was held back.

        Returns:
            Whether the answer is one to the request; False if the server rejects that
            it had to ask for the body.
        """
        if status == _EXPECTATION_FAILED:
            self._servers.reject(server.incarnation)
            return False
        if not link.answered_early:
            self._servers.record(server.incarnation, asked=link.body_requested)
        return True

    def retain(self, listed: abc.Container[servers.Incarnation]) -> None:
        """Forget the servers that are no longer listed."""
        self._servers.retain(listed)


def _probe_target(
    server: servers.Server, request: client_request.ClientRequest
) -> bytes:
    """Return what to ask a server for: an engine's report needs no slot."""
    if server.stage is None:
        return request.service.health_target
    return engines.REPORT_TARGET
