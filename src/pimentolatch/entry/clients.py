"""Clients of the backend servers and the other instances."""

import asyncio

from pimentolatch.backend import engine_client, instance_client, kv_client, plain_client

__all__ = ["BackendClients"]


class BackendClients:
    """One client for engines, KV transfer, plain services and other instances.

    Args:
        sender: Name of this instance, sent with each call for the callee's log.
    """

    def __init__(self, sender: str) -> None:
        self.engines = engine_client.EngineClient(sender)
        self.caches = kv_client.KvClient(sender)
        self.plain = plain_client.PlainClient(sender)
        self.instances = instance_client.InstanceClient(sender)

    async def aclose(self) -> None:
        """Close all connections."""
        await asyncio.gather(
            self.engines.aclose(),
            self.caches.aclose(),
            self.plain.aclose(),
            self.instances.aclose(),
        )
