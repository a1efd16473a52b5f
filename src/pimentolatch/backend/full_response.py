"""Sends requests and reads their responses to the end.

For calls whose response may have any status and any body, so that nothing in it tells
whether it is complete: only the framing does. `backend.channel` reports a response that
was cut, within its head or its body; the HTTP library used elsewhere takes the end of
the connection for the end of a head.
"""

import asyncio
import contextlib
import dataclasses
import datetime
from collections import abc

from pimentolatch import clock, settings
from pimentolatch.backend import channel, outcomes

__all__ = ["FullResponse", "FullResponseClient"]

_MAX_BODY_BYTES = 64_000_000
# Callers have set a time limit for the whole call, which ends it by a reset as well.
_ACKNOWLEDGEMENT_LIMIT = datetime.timedelta(seconds=10)
_ENCODING = b"content-encoding"
_UNENCODED = b"identity"


@dataclasses.dataclass(frozen=True, slots=True)
class FullResponse:
    """A complete response.

    Attributes:
        fields: Header fields, with lower-case names.
    """

    status: int
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def field(self, name: str, default: str = "") -> str:
        """Return the value of a header field, or the default if it is missing."""
        value = dict(self.fields).get(name.encode("latin-1"))
        if value is None:
            return default
        return channel.writable(value).decode("latin-1")


class FullResponseClient:
    """Sends requests with a body to any address; it never repeats one.

    Args:
        time: Clock of this instance.
        connect: Time limit for opening a connection.
    """

    def __init__(self, time: clock.Clock, *, connect: datetime.timedelta) -> None:
        self._clock = time
        self._connect = connect
        self._pool = channel.ChannelPool(
            connect, acknowledgement_limit=_ACKNOWLEDGEMENT_LIMIT
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def post(
        self,
        address: settings.Address,
        target: str,
        fields: abc.Mapping[str, str],
        body: bytes,
        *,
        time_limit: datetime.timedelta,
        reuse: bool,
        repeated_field: str | None = None,
    ) -> FullResponse | outcomes.NotRun | outcomes.OutcomeUnknown:
        """Send a request and wait for the complete response.

        Args:
            address: Address of the server.
            target: Path of the request.
            fields: Header fields besides the host.
            body: Body of the request.
            time_limit: Time limit for the complete response.
            reuse: Whether the connection may have been used before and may be used
                again. An idle one can be closed while a request is sent on it, and then
                it is unknown whether the request ran.
            repeated_field: Name of the header field that tells which request is
                answered. A connection isn't used again after a response without it:
                one that the server repeats would be taken for the next request's.

        Returns:
            `NotRun` only if no byte was sent.
        """
        try:
            async with asyncio.timeout(time_limit.total_seconds()):
                # Connecting gets half of the time at most, so that a time-out while
                # connecting is reported as such and not taken for a lost response.
                link = await self._open(address, time_limit / 2, reuse=reuse)
                if isinstance(link, outcomes.NotRun):
                    return link
                with _closed_on_error(link):
                    headers = _encode(address, fields)
                    link.send("POST", target.encode("latin-1"), headers, body)
                    head = await link.read_head()
                    content = await link.read_body(_MAX_BODY_BYTES)
        except (channel.BrokenError, TimeoutError) as error:
            return outcomes.OutcomeUnknown(repr(error))
        response = FullResponse(head.status, head.fields, content)
        if reuse and (repeated_field is None or response.field(repeated_field)):
            self._pool.release(address, link, self._clock.monotonic())
        else:
            link.close()
        if dict(head.fields).get(_ENCODING, _UNENCODED).lower() != _UNENCODED:
            return outcomes.OutcomeUnknown("the body was recoded on the way")
        return response

    async def _open(
        self, address: settings.Address, limit: datetime.timedelta, *, reuse: bool
    ) -> channel.Channel | outcomes.NotRun:
        try:
            async with asyncio.timeout(min(self._connect, limit).total_seconds()):
                now = self._clock.monotonic()
                return await self._pool.acquire(address, address, now, reuse=reuse)
        except (channel.ConnectError, TimeoutError) as error:
            return outcomes.NotRun(repr(error), reached=False)


@contextlib.contextmanager
def _closed_on_error(link: channel.Channel) -> abc.Generator[None, None, None]:
    """Close a connection on any error, so that a late response is never read."""
    try:
        yield
    except BaseException:
        link.close()
        raise


def _encode(
    address: settings.Address, fields: abc.Mapping[str, str]
) -> list[tuple[bytes, bytes]]:
    host = (b"host", f"{address.host}:{address.port}".encode())
    encoded = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in fields.items()
    ]
    return [host, (b"accept-encoding", _UNENCODED), *encoded]
