"""Clients of the backend servers and the other instances."""

import asyncio

from pimentolatch import clock
from pimentolatch.backend import engine_client, instance_client, kv_client, plain_client

__all__ = ["BackendClients"]


class BackendClients:
    """One client for engines, KV transfer, plain services and other instances.

    Args:
        sender: Name of this instance, sent with each call for the callee's log.
        time: Clock of this instance.
    """

    def __init__(self, sender: str, time: clock.Clock) -> None:
        self.engines = engine_client.EngineClient(sender)
        self.caches = kv_client.KvClient(sender)
        self.plain = plain_client.PlainClient(sender, time)
        self.instances = instance_client.InstanceClient(sender, time)

    async def aclose(self) -> None:
        """Close all connections."""
        self.plain.close()
        self.instances.close()
        await asyncio.gather(self.engines.aclose(), self.caches.aclose())
