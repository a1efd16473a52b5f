"""Tells peers which parts of prompts engines keep in their prefix caches.

Load pattern: prompts of a session reach a home through any of hundreds of instances.
One that does not know that the home keeps the session's part expects it to be read
again: it forecasts a wait four times too long, refuses prompts that would have been in
time, and asks for engines that nobody needs. So what one instance learns is passed on
by each that had not known it, once, and reaches the whole fleet within two seconds.
"""

import collections
from collections import abc

from pimentolatch.protocol import beacons
from pimentolatch.requests import prompts
from pimentolatch.routes import servers

__all__ = ["CacheUpdates"]

# Parts told in one beacon, ten bytes each.
_MAX_PARTS = 60


class CacheUpdates:
    """Parts that peers have not been told of yet, for near peers and for far ones.

    No more are kept than one beacon tells: a small fleet has no far peers to take them.
    """

    def __init__(self) -> None:
        self._near = _new_queue()
        self._far = _new_queue()

    def add(self, engine: servers.Incarnation, prompt: prompts.Prompt) -> None:
        """Note the parts that other prompts may share: all but the last."""
        for part in prompt.parts[:-1]:
            key = prompts.part_key(part.name)
            self.forward(beacons.CachedPart(engine, key, part.tokens))

    def forward(self, part: beacons.CachedPart) -> None:
        """Note what a peer has told and was not known."""
        self._near.append(part)
        self._far.append(part)

    def take_near(self) -> tuple[beacons.CachedPart, ...]:
        """Return what near peers are to be told, newest first, and forget it."""
        taken, self._near = self._near, _new_queue()
        return _newest_first(taken)

    def take_far(self) -> tuple[beacons.CachedPart, ...]:
        """Return what peers of other domains are to be told, and forget it."""
        taken, self._far = self._far, _new_queue()
        return _newest_first(taken)


def _new_queue() -> collections.deque[beacons.CachedPart]:
    return collections.deque(maxlen=_MAX_PARTS)


def _newest_first(
    parts: abc.Sequence[beacons.CachedPart],
) -> tuple[beacons.CachedPart, ...]:
    """Return the parts, the newest first, each once."""
    return tuple(dict.fromkeys(reversed(parts)))
