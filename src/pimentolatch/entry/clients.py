"""Clients of the backend servers and the other instances."""

import asyncio

from pimentolatch.backend import engine, instance, kv, plain

__all__ = ["BackendClients"]


class BackendClients:
    """One client for engines, KV transfer, plain services and other instances.

    Args:
        sender: Name of this instance, sent with each call for the callee's log.
    """

    def __init__(self, sender: str) -> None:
        self.engines = engine.EngineClient(sender)
        self.caches = kv.KvClient(sender)
        self.plain = plain.PlainClient(sender)
        self.instances = instance.InstanceClient(sender)

    async def aclose(self) -> None:
        """Close all connections."""
        await asyncio.gather(
            self.engines.aclose(),
            self.caches.aclose(),
            self.plain.aclose(),
            self.instances.aclose(),
        )
