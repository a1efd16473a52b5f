"""Disaggregated prefill: prefills on one engine and transfers the KV cache."""

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
    """Client that transfers KV caches between engines."""

    async def transfer(
        self,
        prefill_engine: settings.Address,
        decode_engine: settings.Address,
        model: str,
        prompt: str,
        limit: datetime.timedelta,
    ) -> kv_client.Handle | kv_client.NotTransferred:
        """Prefill a prompt on one engine and have another fetch its KV cache."""


class NoKvTransfer:
    """Transfers nothing: the decode engine prefills every prompt itself."""

    async def transfer(
        self,
        prefill_engine: settings.Address,
        decode_engine: settings.Address,
        model: str,
        prompt: str,
        limit: datetime.timedelta,
    ) -> kv_client.Handle | kv_client.NotTransferred:
        """See `KvTransferClient.transfer`."""
        return kv_client.NotTransferred("KV transfer is not configured")


class KvTransfer:
    """Transfers the KV cache of a prompt within a time limit, or gives up."""

    def __init__(self, client: KvTransferClient) -> None:
        self._client = client

    async def transfer(
        self,
        prefill_engine: schema.Engine,
        decode_engine: schema.Engine,
        model: str,
        prompt: str,
        limit: datetime.timedelta,
    ) -> str | None:
        """Return the handle of the transferred cache, or None if the transfer failed.

        A hanging prefill engine would block the caller until its deadline. After the
        limit the decode engine prefills the prompt itself, which is slower but does
        not depend on another engine.
        """
        try:
            async with asyncio.timeout(limit.total_seconds()):
                transferred = await self._client.transfer(
                    prefill_engine.address, decode_engine.address, model, prompt, limit
                )
        except TimeoutError:
            transferred = kv_client.NotTransferred(
                "time limit of the transfer exceeded"
            )
        if isinstance(transferred, kv_client.Handle):
            return transferred.name
        _log.warn(
            "KV transfer failed; prefilling on the decode engine",
            reader=prefill_engine.name,
            reason=transferred.reason,
        )
        return None
