"""Client of the platform's control API: usage reports and orders of servers.

Only one instance at a time, the leader, makes these calls. The platform calls
them duties of the `cloud`.
"""

import asyncio
import dataclasses
import datetime
import json
import typing
from collections import abc

from pimentolatch import clock, settings
from pimentolatch.backend import channel

__all__ = [
    "Accepted",
    "ControlApi",
    "FencedOff",
    "Holder",
    "NotNow",
    "Outcome",
    "Refused",
    "ServerOrder",
    "Unanswered",
]

_MAX_RESPONSE_BYTES = 65_536
_CALL_TIMEOUT = datetime.timedelta(seconds=1)
_USAGE = b"/usage"
_SCALE = b"/scale"


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The calling instance and the fencing token of its lease."""

    name: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOrder:
    """Number of servers of a service that a failure domain should have.

    Attributes:
        spot: Whether they are spot servers, which cost less and may be preempted.
    """

    service: str
    failure_domain: str
    count: int
    spot: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The call took effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class FencedOff:
    """Refused: the platform has seen a higher fencing token."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Refused: the ordered servers are not available now, or the token is outdated."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotNow:
    """Refused for now without any effect; a later call may succeed."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """Outcome unknown: the call may have taken effect or may still do so.

    Attributes:
        reached: Whether a connection to the platform was established.
    """

    reason: str
    reached: bool


Outcome = Accepted | FencedOff | Refused | NotNow | Unanswered


class ControlApi:
    """Client of the control API; it never retries a call.

    Args:
        address: Address of the control API.
    """

    def __init__(self, address: settings.Address, time: clock.Clock) -> None:
        self._address = address
        self._clock = time
        self._pool = channel.ChannelPool(_CALL_TIMEOUT)

    async def report_usage(
        self, holder: Holder, window: int, counts: abc.Mapping[str, int]
    ) -> Outcome:
        """Report the number of requests that started in a window, by customer."""
        body = {"window": window, "counts": dict(counts)}
        return await self._call(_USAGE, holder, body, FencedOff)

    async def order_servers(self, holder: Holder, order: ServerOrder) -> Outcome:
        """Order a number of servers.

        The platform's response is the same if the servers are not available and if
        another holder has taken over.
        """
        body: dict[str, typing.Any] = {
            "service": order.service,
            "zone": order.failure_domain,
            "desired": order.count,
        }
        if order.spot:
            body["spot"] = True
        return await self._call(_SCALE, holder, body, Refused)

    def close(self) -> None:
        """Close the pooled connections."""
        self._pool.close()

    async def _call(
        self,
        target: bytes,
        holder: Holder,
        body: dict[str, typing.Any],
        conflict: type[FencedOff] | type[Refused],
    ) -> Outcome:
        # Never use an idle connection: the peer may have closed it unnoticed, and then
        # it would be unknown whether the call took effect.
        try:
            link = await self._pool.acquire(
                "control",
                self._address,
                self._clock.monotonic(),
                max_idle=datetime.timedelta(0),
            )
        except channel.ConnectError as error:
            return Unanswered(str(error), reached=False)
        try:
            async with asyncio.timeout(_CALL_TIMEOUT.total_seconds()):
                link.send(
                    "POST", target, self._fields(holder), json.dumps(body).encode()
                )
                start = await link.read_head()
                content = await link.read_body(_MAX_RESPONSE_BYTES)
        except (channel.BrokenError, TimeoutError) as error:
            link.close()
            return Unanswered(repr(error), reached=True)
        except BaseException:
            link.close()
            raise
        self._pool.release("control", link, self._clock.monotonic())
        return _outcome(start.status, content, conflict)

    def _fields(self, holder: Holder) -> list[tuple[bytes, bytes]]:
        return [
            (b"host", f"{self._address.host}:{self._address.port}".encode()),
            (b"content-type", b"application/json"),
            (b"x-duty-holder", holder.name.encode()),
            (b"x-fence-token", b"%d" % holder.fence),
        ]


def _outcome(
    status: int, content: bytes, conflict: type[FencedOff] | type[Refused]
) -> Outcome:
    reason = f"status {status}: {content[:200].decode('utf-8', 'replace')}"
    if 200 <= status < 300:
        return Accepted()
    if status == 409:
        return conflict(reason)
    if status in (429, 503):
        return NotNow(reason)
    return Unanswered(reason, reached=True)
