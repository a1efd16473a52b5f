"""Sends orders to engines such that a delayed order can't take effect.

Each order uses its own connection, opened before the order becomes pending in the
platform's store, and is never sent again on another one. With `Expect: 100-continue`
the engine confirms that it waits for the body, so its read time-out starts before the
order is pending. After that time-out, anything that a delayed sender still writes
reaches a closed connection.
"""

import asyncio
import contextlib
import dataclasses
import datetime
import json
import typing

import h11

from pimentolatch import settings

__all__ = [
    "Attempt",
    "EngineState",
    "HttpOrderClient",
    "OrderClient",
    "Refused",
    "Sent",
    "Taken",
    "Unreachable",
]

_READ_BYTES = 65_536
_CONNECT_LIMIT = datetime.timedelta(seconds=1)
_HEADERS = (("content-type", "application/json"), ("connection", "close"))
_CALL_FAILURES = (OSError, TimeoutError, ValueError, KeyError, h11.RemoteProtocolError)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """State reported by an engine.

    Attributes:
        models: Names of the loaded models, with the versions of their weights.
        fence: Highest fencing token accepted, or 0 if none since its start.
        changing: Whether a change is in progress.
        last_order: Id of the last order accepted, or None if none since its start.
        streams: Number of streams running or queued.
        incarnation: Id that changes with each start, when all of the above is reset.
    """

    role: str
    models: tuple[tuple[str, str], ...]
    fence: int
    changing: bool
    last_order: str | None
    streams: int
    incarnation: str

    @classmethod
    def from_json(cls, value: dict[str, typing.Any]) -> "EngineState":
        """Return the state decoded from an engine's response."""
        return cls(
            value["role"],
            tuple(sorted(value["models"].items())),
            value["fence"],
            value["changing"],
            value["last_order"],
            value["streams"],
            value["incarnation"],
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No complete response was received; the order may have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The engine carried out the order and is in this state."""

    state: EngineState


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The engine reported that it did not accept the order."""

    reason: str


Sent = Taken | Refused | Unreachable


class Attempt(typing.Protocol):
    """One connection on which one order may be sent once."""

    async def send(self) -> Sent:
        """Send the order and wait for its outcome."""

    async def aclose(self) -> None:
        """Close the connection; without a `send` the order is never received."""


class OrderClient(typing.Protocol):
    """Client for the state and orders of engines."""

    async def state(self, address: settings.Address) -> EngineState | Unreachable:
        """Return the current state of an engine."""

    async def open(
        self, address: settings.Address, body: dict[str, typing.Any]
    ) -> Attempt | Unreachable:
        """Send the head of an order and wait until the engine expects the body."""


class HttpOrderClient:
    """`OrderClient` over HTTP.

    Args:
        sender: Name of this instance, for the engines' logs.
        answer_limit: Time limit for the outcome of an order. Longer than a change
            takes; otherwise the outcome has to be read back later.
    """

    def __init__(
        self,
        sender: str,
        *,
        answer_limit: datetime.timedelta = datetime.timedelta(seconds=60),
    ) -> None:
        self._sender = sender
        self._answer_limit = answer_limit

    async def state(self, address: settings.Address) -> EngineState | Unreachable:
        """See `OrderClient.state`."""
        exchange: _Exchange | None = None
        try:
            async with asyncio.timeout(_CONNECT_LIMIT.total_seconds()):
                exchange = await _connect(address)
                await exchange.send(self._request(address, "GET", "/v1/state", ()))
                await exchange.send(h11.EndOfMessage())
                status, body = await exchange.answer()
            if status != 200:
                return Unreachable(f"status {status}")
            return EngineState.from_json(body)
        except _CALL_FAILURES as error:
            return Unreachable(repr(error))
        finally:
            if exchange is not None:
                await exchange.aclose()

    async def open(
        self, address: settings.Address, body: dict[str, typing.Any]
    ) -> Attempt | Unreachable:
        """See `OrderClient.open`."""
        data = json.dumps(body).encode()
        head = self._request(
            address,
            "POST",
            "/v1/orders",
            (("content-length", str(len(data))), ("expect", "100-continue")),
        )
        exchange: _Exchange | None = None
        try:
            async with asyncio.timeout(_CONNECT_LIMIT.total_seconds()):
                exchange = await _connect(address)
                await exchange.send(head)
                event = await exchange.next_event()
        except _CALL_FAILURES as error:
            if exchange is not None:
                await exchange.aclose()
            return Unreachable(repr(error))
        if not isinstance(event, h11.InformationalResponse):
            await exchange.aclose()
            return Unreachable("no 100 Continue from the engine; order not sent")
        return _HttpAttempt(exchange, data, self._answer_limit)

    def _request(
        self,
        address: settings.Address,
        method: str,
        path: str,
        more: tuple[tuple[str, str], ...],
    ) -> h11.Request:
        host = ("host", f"{address.host}:{address.port}")
        sender = ("x-instance", self._sender)
        headers = [host, sender, *_HEADERS, *more]
        return h11.Request(method=method, target=path, headers=headers)


class _HttpAttempt:
    def __init__(
        self, exchange: "_Exchange", data: bytes, answer_limit: datetime.timedelta
    ) -> None:
        self._exchange = exchange
        self._data = data
        self._answer_limit = answer_limit

    async def send(self) -> Sent:
        """See `Attempt.send`."""
        try:
            async with asyncio.timeout(self._answer_limit.total_seconds()):
                await self._exchange.send(h11.Data(data=self._data))
                await self._exchange.send(h11.EndOfMessage())
                status, body = await self._exchange.answer()
            if status == 200:
                return Taken(EngineState.from_json(body))
        except _CALL_FAILURES as error:
            return Unreachable(repr(error))
        if status in (408, 409, 503):
            return Refused(f"status {status}: {body.get('reason')}")
        return Unreachable(f"status {status}")

    async def aclose(self) -> None:
        """See `Attempt.aclose`."""
        await self._exchange.aclose()


class _Exchange:
    """One HTTP exchange on its own connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.CLIENT)

    async def send(self, event: h11.Event) -> None:
        self._writer.write(self._protocol.send(event) or b"")
        await self._writer.drain()

    async def next_event(self) -> h11.Event:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                # Never PAUSED, since the connection is used for one exchange.
                return typing.cast(h11.Event, event)
            self._protocol.receive_data(await self._reader.read(_READ_BYTES))

    async def answer(self) -> tuple[int, dict[str, typing.Any]]:
        """Return the status and the body of the final response."""
        status = 0
        data = b""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                data += event.data
            elif isinstance(event, h11.EndOfMessage):
                return status, json.loads(data)
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError(
                    "connection closed before the end of the response"
                )

    async def aclose(self) -> None:
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()


async def _connect(address: settings.Address) -> _Exchange:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    return _Exchange(reader, writer)
