"""Plans how many servers of a service stand in each failure domain, and of which kind.

Load pattern: a service is paid by the second, while its load swings within seconds and
the mix of prompts and answers turns over, faster than a server boots. Servers that the
platform may take back cost a fraction of the others, and all of them in a failure
domain go at once, seconds after a notice.

Ordering by the load of the moment comes too late for a swing and costs prefix caches
each time. So the plan is about what a failure takes: as many servers that may be taken
back as suffice when some failure domains have lost all of their own, spread evenly. One
domain is reclaimed at a time, but prefix caches go with it, others crash meanwhile, and
the load swings on: a second one to spare is kept where cheap servers still cost less
than half of the dear ones that they replace. What is missing
nevertheless, since they are not to be had, is ordered of the dear kind and given back
once the cheap ones stand.

The dear ones that stand at first are given back only as far as cheap ones serve in
their place.
"""

import dataclasses
import datetime
import math
from collections import abc

from pimentolatch.routes import table

__all__ = ["Order", "Policy", "ServerPlanner", "InitialSize", "ServerCounts"]

# How long nothing more is ordered where nothing was to be had. It is longer than a
# lease holds without being renewed: the refusal of a holder that has been followed by
# another one looks the same, and such a holder must not repeat itself.
_REFUSAL_BACKOFF = datetime.timedelta(seconds=3)
# Failure domains to spare at most, and the cost up to which there is more than one, as
# a share of what the dear servers would cost.
_MAX_SPARE_DOMAINS = 2
_MAX_SPOT_COST = 0.5
# Servers that stand at a start have all registered when no more come for so long.
_SETTLING_TIME = datetime.timedelta(seconds=2)
# An order is sent again so long after its servers should stand, if they do not: it may
# have got lost, or what was taken back can be had again.
_REORDER_DELAY = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerCounts:
    """Servers that serve in a failure domain, by kind."""

    on_demand: int
    spot: int


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """The number of servers of one kind that a failure domain is to have."""

    failure_domain: str
    spot: bool
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How an operator wants servers to be ordered.

    Attributes:
        servers: Servers that suffice; None takes those that stood at first for enough.
        spot: Whether servers may be ordered that can be taken back.
        spare_domains: Failure domains whose loss the cheap ones must cover; None lets
            their price decide.
    """

    servers: int | None = None
    spot: bool = True
    spare_domains: int | None = None


@dataclasses.dataclass(slots=True)
class _Sent:
    count: int
    at: datetime.timedelta


class InitialSize:
    """Learns how many servers stood before any were ordered.

    Servers register one by one, so the most that stood while the number still grew is
    taken.
    """

    def __init__(self) -> None:
        self._highest = 0
        self._grown_at = datetime.timedelta()

    def observe(self, total: int, now: datetime.timedelta) -> int | None:
        """Take how many stand; returns the size once it has settled."""
        if total > self._highest:
            self._highest = total
            self._grown_at = now
        if not self._highest or now - self._grown_at < _SETTLING_TIME:
            return None
        return self._highest


class ServerPlanner:
    """Plans the servers of one service.

    Args:
        policy: How servers are to be ordered.
        need: Servers that suffice.
    """

    def __init__(self, policy: Policy, need: int) -> None:
        self._policy = policy
        self._need = need
        self._sent: dict[tuple[str, bool], _Sent] = {}
        self._refused: dict[tuple[str, bool], datetime.timedelta] = {}

    def sent(self, order: Order, now: datetime.timedelta) -> None:
        """Note an order that was or may have been accepted."""
        self._sent[order.failure_domain, order.spot] = _Sent(order.count, now)

    def refused(self, order: Order, now: datetime.timedelta) -> None:
        """Note that what was ordered is not to be had now."""
        self._refused[order.failure_domain, order.spot] = now

    def plan(
        self,
        scaling: table.Scaling,
        current: abc.Mapping[str, ServerCounts],
        now: datetime.timedelta,
    ) -> tuple[Order, ...]:
        """Return the orders that are to go out now.

        Args:
            scaling: What the operator says.
            current: Servers that serve, by failure domain.
            now: The time.
        """
        wanted = self._wanted(scaling, current)
        return tuple(
            Order(domain, spot, count)
            for (domain, spot), count in sorted(wanted.items())
            if self._is_due((domain, spot), count, current.get(domain), now, scaling)
        )

    def _wanted(
        self, scaling: table.Scaling, current: abc.Mapping[str, ServerCounts]
    ) -> dict[tuple[str, bool], int]:
        domains = sorted(scaling.prices, key=lambda name: (scaling.prices[name], name))
        nothing = ServerCounts(0, 0)
        found = {domain: current.get(domain, nothing) for domain in domains}
        spot_counts = dict.fromkeys(domains, 0)
        uses_spot = self._policy.spot and _spot_is_cheaper(scaling)
        if uses_spot:
            kept = max(1, len(domains) - self._spare(scaling))
            per_domain = min(scaling.most, math.ceil(self._need / kept))
            for domain in domains:
                room = max(0, scaling.most - found[domain].on_demand)
                spot_counts[domain] = min(per_domain, room)
        spot_serving = sum(min(found[d].spot, spot_counts[d]) for d in domains)
        on_demand_counts = self._on_demand_counts(
            scaling, found, max(0, self._need - spot_serving), spot_counts
        )
        wanted = {(domain, False): count for domain, count in on_demand_counts.items()}
        if uses_spot:
            wanted |= {(domain, True): count for domain, count in spot_counts.items()}
        return wanted

    def _spare(self, scaling: table.Scaling) -> int:
        """Return the failure domains whose loss the cheap servers cover."""
        if self._policy.spare_domains is not None:
            return self._policy.spare_domains
        domains = len(scaling.prices)
        affordable = [
            spare
            for spare in range(1, _MAX_SPARE_DOMAINS + 1)
            if scaling.spot_price * domains < _MAX_SPOT_COST * (domains - spare)
        ]
        return max(affordable, default=1)

    def _on_demand_counts(
        self,
        scaling: table.Scaling,
        found: abc.Mapping[str, ServerCounts],
        missing: int,
        spot_counts: abc.Mapping[str, int],
    ) -> dict[str, int]:
        """Return how many dear servers each domain keeps or gets.

        Those that stand are kept first, in the cheapest domains; a change of place
        would cost a boot and their prefix caches.
        """
        least = {d: max(0, scaling.least - spot_counts[d]) for d in found}
        on_demand_counts = {
            domain: min(least[domain], scaling.most) for domain in found
        }
        missing -= sum(on_demand_counts.values())
        for room_of in (
            lambda d: found[d].on_demand,
            lambda d: scaling.most - spot_counts[d],
        ):
            for domain in found:
                more = max(0, min(missing, room_of(domain) - on_demand_counts[domain]))
                on_demand_counts[domain] += more
                missing -= more
        return on_demand_counts

    def _is_due(
        self,
        key: tuple[str, bool],
        count: int,
        found: ServerCounts | None,
        now: datetime.timedelta,
        scaling: table.Scaling,
    ) -> bool:
        refused = self._refused.get(key)
        if refused is not None and now - refused < _REFUSAL_BACKOFF:
            return False
        sent = self._sent.get(key)
        serving = 0 if found is None else found.spot if key[1] else found.on_demand
        if sent is None:
            return serving != count
        if sent.count != count:
            return True
        return serving != count and now - sent.at >= scaling.boot + _REORDER_DELAY


def _spot_is_cheaper(scaling: table.Scaling) -> bool:
    """Tell whether cheap servers with a failure domain to spare cost less."""
    domains = len(scaling.prices)
    return scaling.spot_price * domains < domains - 1
