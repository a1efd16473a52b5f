"""Adds up what other instances have under way at one engine.

Load pattern: an engine has the work of hundreds of instances, of which one hears ten
neighbours and a sum for each other failure domain. A peer's count is worth something
for half a second, and is dropped when the peer falls silent: its work ends by itself.
"""

import dataclasses
import datetime
import itertools
from collections import abc

from pimentolatch.decisions import urgency

__all__ = ["PeerLoad", "PeerLoads", "Totals"]

# A peer that is silent for longer has ended or is cut off; its work ends by itself.
_EXPIRY = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """What one peer has under way at one engine.

    Attributes:
        reading: Prompt tokens that are not read yet, by urgency.
        writing: Streams that run.
        held: Tokens that these streams keep in memory.
        weight: For how many instances the peer stands.
    """

    prefill_tokens: tuple[float, ...]
    streams: int
    kv_tokens: int
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Totals:
    """What all peers that are heard have under way at one engine.

    Attributes:
        reading: Prompt tokens that are read before a prompt of each urgency.
        until: When the first of these peers has been silent for too long.
    """

    prefill_tokens: tuple[float, ...]
    streams: int
    kv_tokens: int
    valid_until: datetime.timedelta


_Reported = tuple[PeerLoad, datetime.timedelta]


class PeerLoads:
    """Work of peers at one engine: of near ones each, of other domains in sums.

    It is added up once for all questions until the next beacon, since one choice of
    engines asks for it many times.
    """

    def __init__(self) -> None:
        self._near: dict[str, _Reported] = {}
        self._domains: dict[str, _Reported] = {}
        self._totals: Totals | None = None

    def update(self, peer: str, load: PeerLoad, now: datetime.timedelta) -> None:
        """Take what a peer has under way."""
        self._near[peer] = load, now
        self._totals = None

    def forget(self, peer: str) -> None:
        """Drop what a peer had under way."""
        if self._near.pop(peer, None) is not None:
            self._totals = None

    def update_domain(
        self, domain: str, load: PeerLoad, now: datetime.timedelta
    ) -> None:
        """Take what all instances of another failure domain have under way."""
        self._domains[domain] = load, now
        self._totals = None

    def forget_domain(self, domain: str) -> None:
        """Drop what the instances of another failure domain had under way."""
        if self._domains.pop(domain, None) is not None:
            self._totals = None

    def near(self, now: datetime.timedelta) -> PeerLoad:
        """Return what near peers have under way, without the sums of other domains."""
        return _sum(_current(self._near.values(), now))

    def totals(self, now: datetime.timedelta) -> Totals:
        """Return what all others have under way."""
        if self._totals is None or now > self._totals.valid_until:
            self._totals = self._add_up(now)
        return self._totals

    def _add_up(self, now: datetime.timedelta) -> Totals:
        current = _current([*self._near.values(), *self._domains.values()], now)
        total = _sum(current)
        oldest = min((at for _, at in current), default=datetime.timedelta.max / 2)
        return Totals(
            tuple(itertools.accumulate(total.prefill_tokens)),
            total.streams,
            total.kv_tokens,
            oldest + _EXPIRY,
        )


def _current(
    reports: abc.Iterable[_Reported], now: datetime.timedelta
) -> list[_Reported]:
    return [(load, at) for load, at in reports if now - at <= _EXPIRY]


def _sum(current: abc.Iterable[_Reported]) -> PeerLoad:
    """Return the work of all peers that are heard, each by its weight."""
    prefill_tokens = [0.0] * urgency.LEVELS
    streams = kv_tokens = 0.0
    for load, _ in current:
        weight = load.weight
        for level, tokens in enumerate(load.prefill_tokens):
            # Most levels are empty, at most engines.
            if tokens:
                prefill_tokens[level] += weight * tokens
        if load.streams or load.kv_tokens:
            streams += weight * load.streams
            kv_tokens += weight * load.kv_tokens
    return PeerLoad(tuple(prefill_tokens), round(streams), round(kv_tokens))
