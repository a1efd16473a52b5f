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

__all__ = ["PeerLoad", "PeerLoads", "Sums"]

# A peer that is silent for longer has ended or is cut off; its work ends by itself.
_SILENCE = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """What one peer has under way at one engine.

    Attributes:
        reading: Prompt tokens that are not read yet, by urgency.
        writing: Streams that run.
        held: Tokens that these streams keep in memory.
        weight: For how many instances the peer stands.
    """

    reading: tuple[float, ...]
    writing: int
    held: int
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sums:
    """What all peers that are heard have under way at one engine.

    Attributes:
        reading: Prompt tokens that are read before a prompt of each urgency.
        until: When the first of these peers has been silent for too long.
    """

    reading: tuple[float, ...]
    writing: int
    held: int
    until: datetime.timedelta


_Told = tuple[PeerLoad, datetime.timedelta]


class PeerLoads:
    """Work of peers at one engine: of near ones each, of other domains in sums.

    It is added up once for all questions until the next beacon, since one choice of
    engines asks for it many times.
    """

    def __init__(self) -> None:
        self._near: dict[str, _Told] = {}
        self._domains: dict[str, _Told] = {}
        self._sums: Sums | None = None

    def hear(self, peer: str, load: PeerLoad, now: datetime.timedelta) -> None:
        """Take what a peer has under way."""
        self._near[peer] = load, now
        self._sums = None

    def forget(self, peer: str) -> None:
        """Drop what a peer had under way."""
        if self._near.pop(peer, None) is not None:
            self._sums = None

    def hear_domain(self, domain: str, load: PeerLoad, now: datetime.timedelta) -> None:
        """Take what all instances of another failure domain have under way."""
        self._domains[domain] = load, now
        self._sums = None

    def forget_domain(self, domain: str) -> None:
        """Drop what the instances of another failure domain had under way."""
        if self._domains.pop(domain, None) is not None:
            self._sums = None

    def near(self, now: datetime.timedelta) -> PeerLoad:
        """Return what near peers have under way, without the sums of other domains."""
        return _sum(_heard(self._near.values(), now))

    def sums(self, now: datetime.timedelta) -> Sums:
        """Return what all others have under way."""
        if self._sums is None or now > self._sums.until:
            self._sums = self._add_up(now)
        return self._sums

    def _add_up(self, now: datetime.timedelta) -> Sums:
        heard = _heard([*self._near.values(), *self._domains.values()], now)
        total = _sum(heard)
        oldest = min((at for _, at in heard), default=datetime.timedelta.max / 2)
        return Sums(
            tuple(itertools.accumulate(total.reading)),
            total.writing,
            total.held,
            oldest + _SILENCE,
        )


def _heard(told: abc.Iterable[_Told], now: datetime.timedelta) -> list[_Told]:
    return [(load, at) for load, at in told if now - at <= _SILENCE]


def _sum(heard: abc.Iterable[_Told]) -> PeerLoad:
    """Return the work of all peers that are heard, each by its weight."""
    reading = [0.0] * urgency.LEVELS
    writing = held = 0.0
    for load, _ in heard:
        weight = load.weight
        for level, tokens in enumerate(load.reading):
            # Most levels are empty, at most engines.
            if tokens:
                reading[level] += weight * tokens
        if load.writing or load.held:
            writing += weight * load.writing
            held += weight * load.held
    return PeerLoad(tuple(reading), round(writing), round(held))
