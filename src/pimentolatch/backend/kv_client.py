"""Moves the KV cache of a prompt from one engine to another.

The cache goes from engine to engine; what passes through an instance is its handle.
At the size designed for, prompts make 1,500 GB of KV cache a second, thousands of times
what instances could carry.
"""

import dataclasses
import datetime
import json
import typing

from pimentolatch import settings
from pimentolatch.backend import connections

__all__ = ["Handle", "KvClient", "NotTransferred"]


@dataclasses.dataclass(frozen=True, slots=True)
class Handle:
    """Names a KV cache that the answering engine holds."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotTransferred:
    """The cache did not get there; the answering engine reads the prompt itself."""

    reason: str


class KvClient:
    """Has a prompt read on one engine and its cache fetched by another.

    Args:
        sender: Name of this instance, which engines log.
    """

    def __init__(
        self,
        sender: str,
        *,
        connect: datetime.timedelta = datetime.timedelta(seconds=1),
    ) -> None:
        self._headers = {"content-type": "application/json", "x-instance": sender}
        self._connect = connect
        self._client = connections.client(reuse=True)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.connector.cleanup()

    async def transfer(
        self,
        prefill_engine: settings.Address,
        decode_engine: settings.Address,
        model: str,
        prompt: str,
        limit: datetime.timedelta,
    ) -> Handle | NotTransferred:
        """Read a prompt at `reader` and let `answering` fetch its cache.

        Args:
            prefill_engine: Engine that prefills the prompt.
            decode_engine: Engine that fetches the cache.
            model: Model that both hold.
            prompt: The whole prompt.
            limit: Longest wait for each of the two steps.
        """
        exported = await self._call(
            prefill_engine, "/v1/kv/export", {"model": model, "prompt": prompt}, limit
        )
        if isinstance(exported, NotTransferred):
            return exported
        handle = exported.get("kv")
        if not isinstance(handle, str):
            return NotTransferred("the export gave no handle")
        fetched = await self._call(
            decode_engine,
            "/v1/kv/import",
            {"kv": handle, "source": prefill_engine.url},
            limit,
        )
        return fetched if isinstance(fetched, NotTransferred) else Handle(handle)

    async def _call(
        self,
        address: settings.Address,
        path: str,
        body: dict[str, typing.Any],
        limit: datetime.timedelta,
    ) -> dict[str, typing.Any] | NotTransferred:
        try:
            response = await self._client.post(
                address.url + path,
                data=json.dumps(body).encode(),
                headers=self._headers,
                timeouts=connections.timeouts(
                    connect=self._connect, response_timeout=limit
                ),
            )
            if response.status_code != 200:
                return NotTransferred(f"status {response.status_code}")
            found = json.loads(await response.content())
        except connections.ANSWER_FAILURES as error:
            return NotTransferred(repr(error))
        return found if isinstance(found, dict) else NotTransferred("no object")
