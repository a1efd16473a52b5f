"""UDP socket over which instances send each other messages that need no reply."""

import asyncio
import typing
from collections import abc

from pimentolatch import settings

__all__ = ["DatagramSocket"]


class DatagramSocket(asyncio.DatagramProtocol):
    """One UDP socket; all instances use the same port.

    Args:
        address: Local address of the socket.
    """

    def __init__(self, address: settings.Address) -> None:
        self._address = address
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket.

        Raises:
            OSError: The address can't be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._address.host, self._address.port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def send(self, hosts: abc.Iterable[str], datagrams: abc.Collection[bytes]) -> None:
        """Send all datagrams to each host; does nothing while the socket is closed."""
        if self._transport is None or self._transport.is_closing():
            return
        for host in hosts:
            for datagram in datagrams:
                self._transport.sendto(datagram, (host, self._address.port))
