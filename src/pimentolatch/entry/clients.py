"""The clients through which one instance reaches everybody it sends work to."""

import asyncio

from pimentolatch.backend import engine_client, instance_client, kv_client, plain_client

__all__ = ["BackendClients"]


class BackendClients:
    """One client of each kind.

    Args:
        sender: Name of this instance, which those who are called log.
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
