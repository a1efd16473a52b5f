"""A socket by which instances tell each other what needs no answer."""

import asyncio
import typing
from collections import abc

from pimentolatch import settings

__all__ = ["DatagramSocket"]


class DatagramSocket(asyncio.DatagramProtocol):
    """Owns one socket; all instances use the same port.

    Args:
        address: Where this instance hears the others.
    """

    def __init__(self, address: settings.Address) -> None:
        self._address = address
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket; raises `OSError` if the address can't be had."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._address.host, self._address.port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def send(self, hosts: abc.Iterable[str], datagrams: abc.Collection[bytes]) -> None:
        """Send datagrams to each of some hosts; does nothing while it is closed."""
        if self._transport is None or self._transport.is_closing():
            return
        for host in hosts:
            for datagram in datagrams:
                self._transport.sendto(datagram, (host, self._address.port))
