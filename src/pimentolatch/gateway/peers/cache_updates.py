"""Notifies peers which prompt parts are in the engines' prefix caches.

Load pattern: the prompts of a session reach their preferred engine through any of
hundreds of instances. An instance that does not know that the engine has the session's
prefix in its cache expects a full prefill: it forecasts a wait four times too long,
rejects prompts that would have met their deadlines, and requests engines that are not
needed. Each update is therefore forwarded once by every instance that did not know it,
and reaches the whole fleet within two seconds.
"""

import collections
from collections import abc

from pimentolatch.protocol import beacons
from pimentolatch.requests import prompts
from pimentolatch.routes import servers

__all__ = ["CacheUpdates"]

# Parts in one beacon, ten bytes each.
_MAX_PARTS = 60


class CacheUpdates:
    """Updates that are still to be sent, queued for near and for far peers.

    A queue holds no more than one beacon carries: a small fleet has no far peers, so
    its far queue is never emptied.
    """

    def __init__(self) -> None:
        self._near = _new_queue()
        self._far = _new_queue()

    def add(self, engine: servers.Incarnation, prompt: prompts.Prompt) -> None:
        """Queue the parts that other prompts may share: all but the last."""
        for part in prompt.parts[:-1]:
            key = prompts.part_key(part.name)
            self.forward(beacons.CachedPrefix(engine, key, part.tokens))

    def forward(self, part: beacons.CachedPrefix) -> None:
        """Queue an update, such as one from a peer that was not known before."""
        self._near.append(part)
        self._far.append(part)

    def take_near(self) -> tuple[beacons.CachedPrefix, ...]:
        """Remove and return the updates for near peers, newest first."""
        taken, self._near = self._near, _new_queue()
        return _newest_first(taken)

    def take_far(self) -> tuple[beacons.CachedPrefix, ...]:
        """Remove and return the updates for peers in other domains, newest first."""
        taken, self._far = self._far, _new_queue()
        return _newest_first(taken)


def _new_queue() -> collections.deque[beacons.CachedPrefix]:
    return collections.deque(maxlen=_MAX_PARTS)


def _newest_first(
    parts: abc.Sequence[beacons.CachedPrefix],
) -> tuple[beacons.CachedPrefix, ...]:
    """Return the parts without duplicates, newest first."""
    return tuple(dict.fromkeys(reversed(parts)))
