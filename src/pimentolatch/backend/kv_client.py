"""Transfers the KV cache of a prompt from one engine to another.

Engines transfer the cache directly; only its handle passes through an instance. At the
design load, prompts produce 1,500 GB of KV cache a second, thousands of times the
bandwidth of the instances.
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
    """Handle of a KV cache that the decode engine has."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotTransferred:
    """The transfer failed; the decode engine prefills the prompt itself."""

    reason: str


class KvClient:
    """Has one engine prefill a prompt and another fetch its KV cache.

    Args:
        sender: Name of this instance, for the engines' logs.
    """

    def __init__(
        self,
        sender: str,
        *,
        connect: datetime.timedelta = datetime.timedelta(seconds=1),
    ) -> None:
        self._headers = {"content-type": "application/json", "x-instance": sender}
        self._connect = connect
        self._client = connections.client()

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
        """Prefill a prompt on one engine and have another fetch its KV cache.

        Args:
            prefill_engine: Engine that prefills the prompt.
            decode_engine: Engine that fetches the cache.
            model: Model that both engines serve.
            prompt: The complete prompt.
            limit: Time limit for each of the two calls.
        """
        exported = await self._call(
            prefill_engine, "/v1/kv/export", {"model": model, "prompt": prompt}, limit
        )
        if isinstance(exported, NotTransferred):
            return exported
        handle = exported.get("kv")
        if not isinstance(handle, str):
            return NotTransferred("the response to the export has no handle")
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
        return (
            found
            if isinstance(found, dict)
            else NotTransferred("response body is not a JSON object")
        )
