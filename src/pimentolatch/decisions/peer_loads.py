"""Sums the work that other instances have outstanding at one engine.

Load pattern: an engine has the work of hundreds of instances, of which one receives the
reports of ten neighbours and a sum for each other failure domain. A peer's count is
accurate for half a second, and is dropped when the peer is unresponsive, since its work
ends by itself.
"""

import dataclasses
import datetime
import itertools
from collections import abc

from pimentolatch.decisions import urgency

__all__ = ["PeerLoad", "PeerLoads", "Totals"]

# A peer without a report for longer has terminated or is partitioned; its work ends by
# itself.
_EXPIRY = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """Work that one peer has outstanding at one engine.

    Attributes:
        prefill_tokens: Prompt tokens that are not yet prefilled, by urgency level.
        streams: Running streams.
        kv_tokens: Tokens that these streams hold in KV memory.
        weight: Number of instances that the peer stands for.
    """

    prefill_tokens: tuple[float, ...]
    streams: int
    kv_tokens: int
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Totals:
    """Work that all peers with current reports have outstanding at one engine.

    Attributes:
        prefill_tokens: Tokens that are prefilled before a prompt of each urgency level.
        streams: Running streams.
        kv_tokens: Tokens that these streams hold in KV memory.
        valid_until: When the first of these reports expires.
    """

    prefill_tokens: tuple[float, ...]
    streams: int
    kv_tokens: int
    valid_until: datetime.timedelta


_Reported = tuple[PeerLoad, datetime.timedelta]


class PeerLoads:
    """Work of peers at one engine: of neighbours each, of other domains in sums.

    The totals are cached until the next report, since one placement reads them many
    times.
    """

    def __init__(self) -> None:
        self._near: dict[str, _Reported] = {}
        self._domains: dict[str, _Reported] = {}
        self._totals: Totals | None = None

    def update(self, peer: str, load: PeerLoad, now: datetime.timedelta) -> None:
        """Set the work of a neighbour."""
        self._near[peer] = load, now
        self._totals = None

    def forget(self, peer: str) -> None:
        """Remove the work of a neighbour."""
        if self._near.pop(peer, None) is not None:
            self._totals = None

    def update_domain(
        self, domain: str, load: PeerLoad, now: datetime.timedelta
    ) -> None:
        """Set the work of all instances of another failure domain."""
        self._domains[domain] = load, now
        self._totals = None

    def forget_domain(self, domain: str) -> None:
        """Remove the work of the instances of another failure domain."""
        if self._domains.pop(domain, None) is not None:
            self._totals = None

    def near(self, now: datetime.timedelta) -> PeerLoad:
        """Return the work of neighbours, without the sums of other domains."""
        return _sum(_current(self._near.values(), now))

    def totals(self, now: datetime.timedelta) -> Totals:
        """Return the work of all other instances."""
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
    """Return the sum of the current reports, each with its weight."""
    prefill_tokens = [0.0] * urgency.LEVELS
    streams = kv_tokens = 0.0
    for load, _ in current:
        weight = load.weight
        for level, tokens in enumerate(load.prefill_tokens):
            # At most engines most levels are empty.
            if tokens:
                prefill_tokens[level] += weight * tokens
        if load.streams or load.kv_tokens:
            streams += weight * load.streams
            kv_tokens += weight * load.kv_tokens
    return PeerLoad(tuple(prefill_tokens), round(streams), round(kv_tokens))
