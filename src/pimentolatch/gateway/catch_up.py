"""Learns at once, from the store or a peer, what this instance has missed.

Servers that may have left meanwhile and are listed again are asked before requests go
on: if it is all of a service, they would be used until they have answered.
"""

import asyncio
import datetime
from collections import abc

import logbook

from pimentolatch.gateway import store_watch
from pimentolatch.gateway.peers import peer_snapshots

__all__ = ["CatchUp"]

_log = logbook.Logger("watch")
# Requests wait meanwhile. The store answers in some milliseconds, and so do peers; if
# neither does, waiting longer would cost answers and gain nothing.
_TIME_LIMIT = datetime.timedelta(milliseconds=300)

_ATTEMPTS = 2


class CatchUp:
    """Asks the store and a peer at the same time; the first answer counts.

    Args:
        watches: Read the store.
        fetcher: Asks peers.
        ask_servers: Asks the servers that are not confirmed then.
    """

    def __init__(
        self,
        watches: abc.Sequence[store_watch.Watch],
        fetcher: peer_snapshots.SnapshotFetcher,
        ask_servers: abc.Callable[[], abc.Awaitable[None]],
    ) -> None:
        self._watches = watches
        self._fetcher = fetcher
        self._ask_servers = ask_servers

    async def __call__(self) -> None:
        """Return once this is known, or the time is up."""
        asked = {
            asyncio.create_task(self._read_store()),
            asyncio.create_task(self._fetcher.catch_up()),
        }
        try:
            async with asyncio.timeout(_TIME_LIMIT.total_seconds()):
                for answer in asyncio.as_completed(asked):
                    if await answer:
                        await self._ask_servers()
                        return
            _log.warn("nobody tells what was missed")
        except TimeoutError:
            _log.warn("nobody tells what was missed in time")
        finally:
            for task in asked:
                task.cancel()

    async def _read_store(self) -> bool:
        """List all kinds; return whether the store has answered.

        Connections that were kept may have been closed by the store meanwhile, so a
        failed attempt is followed by one over new connections.
        """
        for _ in range(_ATTEMPTS):
            calls = (watch.catch_up() for watch in self._watches)
            if all(await asyncio.gather(*calls)):
                return True
        return False
