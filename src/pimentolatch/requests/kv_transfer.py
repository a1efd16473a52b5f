"""Has a long prompt read on another engine before its answer begins."""

import asyncio
import datetime
import typing

import logbook

from pimentolatch import settings
from pimentolatch.backend import kv_client
from pimentolatch.document import schema

__all__ = ["KvTransfer", "KvTransferClient", "NoKvTransfer"]

_log = logbook.Logger("handover")


class KvTransferClient(typing.Protocol):
    """What is needed of a client that moves KV caches."""

    async def transfer(
        self,
        reader: settings.Address,
        decode_engine: settings.Address,
        model: str,
        prompt: str,
        limit: datetime.timedelta,
    ) -> kv_client.Handle | kv_client.NotTransferred:
        """Read a prompt at one engine and let another fetch its cache."""


class NoKvTransfer:
    """Leaves every prompt to the engine that answers."""

    async def transfer(
        self,
        reader: settings.Address,
        decode_engine: settings.Address,
        model: str,
        prompt: str,
        limit: datetime.timedelta,
    ) -> kv_client.Handle | kv_client.NotTransferred:
        """See `KvMoves.move`."""
        return kv_client.NotTransferred("no client for it")


class KvTransfer:
    """Moves the cache of a prompt within a time limit, or does without."""

    def __init__(self, moves: KvTransferClient) -> None:
        self._client = moves

    async def transfer(
        self,
        reader: schema.Engine,
        decode_engine: schema.Engine,
        model: str,
        prompt: str,
        limit: datetime.timedelta,
    ) -> str | None:
        """Return the handle of the moved cache, or None if it was not moved.

        A reader that hangs would hold the caller until its deadline. Past the limit
        the answering engine reads the prompt itself: slower, but it needs nobody.
        """
        try:
            async with asyncio.timeout(limit.total_seconds()):
                transferred = await self._client.transfer(
                    reader.address, decode_engine.address, model, prompt, limit
                )
        except TimeoutError:
            transferred = kv_client.NotTransferred("time limit")
        if isinstance(transferred, kv_client.Handle):
            return transferred.name
        _log.warn("prompt read in place", reader=reader.name, reason=transferred.reason)
        return None
