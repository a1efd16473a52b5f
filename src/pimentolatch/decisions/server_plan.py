"""Plans how many servers of each kind a service has in each failure domain.

Load pattern: a service is billed by the second, while its load swings within seconds
and the mix of prompts and answers shifts faster than a server boots. Spot servers cost
a fraction of on-demand ones, but the platform may reclaim all of them in a failure
domain at once, seconds after a notice.

Ordering by current load is too late for a swing and discards prefix caches each time.
So the plan covers a failure instead: it keeps enough spot servers to suffice after some
failure domains have lost all of theirs, spread evenly. One domain is reclaimed at a
time, but its prefix caches are lost with it, other servers crash meanwhile, and the
load keeps swinging. A second spare domain is therefore kept where spot servers still
cost less than half of the on-demand servers that they replace. If spot servers are
unavailable, on-demand servers are ordered for what is missing and are released once the
spot servers are in service.

The on-demand servers present at the start are released only as far as spot servers
replace them.
"""

import dataclasses
import datetime
import math
from collections import abc

from pimentolatch.routes import route_table

__all__ = ["InitialSize", "Order", "Policy", "ServerCounts", "ServerPlanner"]

# Backoff after an order was refused for lack of servers. It exceeds the time for which
# a lease is valid without renewal: a refusal looks the same to a former leader, which
# must not repeat its order.
_REFUSAL_BACKOFF = datetime.timedelta(seconds=3)
# Most spare failure domains, and the cost up to which there is more than one, as a
# share of the cost of on-demand servers.
_MAX_SPARE_DOMAINS = 2
_MAX_SPOT_COST = 0.5
# Time without a new registration after which all initial servers have registered.
_SETTLING_TIME = datetime.timedelta(seconds=2)
# Time after the expected boot at which an order is repeated if its servers are not in
# service: the order may have been lost, or reclaimed servers may be available again.
_REORDER_DELAY = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerCounts:
    """Servers in service in a failure domain, by kind."""

    on_demand: int
    spot: int


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """The number of servers of one kind that a failure domain should have."""

    failure_domain: str
    spot: bool
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The operator's policy for ordering servers.

    Attributes:
        servers: Servers that suffice; None uses the number present at the start.
        spot: Whether spot servers may be ordered.
        spare_domains: Failure domains whose loss the spot servers must cover; None
            decides by their price.
    """

    servers: int | None = None
    spot: bool = True
    spare_domains: int | None = None


@dataclasses.dataclass(slots=True)
class _Sent:
    count: int
    at: datetime.timedelta


class InitialSize:
    """Learns how many servers were present before any were ordered.

    Servers register one by one, so the highest number seen while the count still grew
    is used.
    """

    def __init__(self) -> None:
        self._highest = 0
        self._grown_at = datetime.timedelta()

    def observe(self, total: int, now: datetime.timedelta) -> int | None:
        """Record the number of servers; return the size once it has settled."""
        if total > self._highest:
            self._highest = total
            self._grown_at = now
        if not self._highest or now - self._grown_at < _SETTLING_TIME:
            return None
        return self._highest


class ServerPlanner:
    """Plans the servers of one service.

    Args:
        policy: The operator's policy.
        need: Servers that suffice.
    """

    def __init__(self, policy: Policy, need: int) -> None:
        self._policy = policy
        self._need = need
        self._sent: dict[tuple[str, bool], _Sent] = {}
        self._refused: dict[tuple[str, bool], datetime.timedelta] = {}

    def sent(self, order: Order, now: datetime.timedelta) -> None:
        """Record an order that was or may have been accepted."""
        self._sent[order.failure_domain, order.spot] = _Sent(order.count, now)

    def refused(self, order: Order, now: datetime.timedelta) -> None:
        """Record that the servers of an order are not available now."""
        self._refused[order.failure_domain, order.spot] = now

    def plan(
        self,
        scaling: route_table.Scaling,
        current: abc.Mapping[str, ServerCounts],
        now: datetime.timedelta,
    ) -> tuple[Order, ...]:
        """Return the orders to send now.

        Args:
            scaling: Limits and prices, from the configuration.
            current: Servers in service, by failure domain.
            now: The current time.
        """
        wanted = self._wanted(scaling, current)
        return tuple(
            Order(domain, spot, count)
            for (domain, spot), count in sorted(wanted.items())
            if self._is_due((domain, spot), count, current.get(domain), now, scaling)
        )

    def _wanted(
        self, scaling: route_table.Scaling, current: abc.Mapping[str, ServerCounts]
    ) -> dict[tuple[str, bool], int]:
        domains = sorted(scaling.prices, key=lambda name: (scaling.prices[name], name))
        nothing = ServerCounts(0, 0)
        found = {domain: current.get(domain, nothing) for domain in domains}
        spot_counts = dict.fromkeys(domains, 0)
        uses_spot = self._policy.spot and _spot_is_cheaper(scaling)
        if uses_spot:
            kept = max(1, len(domains) - self._spare(scaling))
            per_domain = min(scaling.max_servers, math.ceil(self._need / kept))
            for domain in domains:
                room = max(0, scaling.max_servers - found[domain].on_demand)
                spot_counts[domain] = min(per_domain, room)
        spot_serving = sum(min(found[d].spot, spot_counts[d]) for d in domains)
        on_demand_counts = self._on_demand_counts(
            scaling, found, max(0, self._need - spot_serving), spot_counts
        )
        wanted = {(domain, False): count for domain, count in on_demand_counts.items()}
        if uses_spot:
            wanted |= {(domain, True): count for domain, count in spot_counts.items()}
        return wanted

    def _spare(self, scaling: route_table.Scaling) -> int:
        """Return the number of failure domains whose loss spot servers cover."""
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
        scaling: route_table.Scaling,
        found: abc.Mapping[str, ServerCounts],
        missing: int,
        spot_counts: abc.Mapping[str, int],
    ) -> dict[str, int]:
        """Return how many on-demand servers each domain keeps or gets.

        Servers already in service are kept first, in the cheapest domains: moving them
        would cost a boot and their prefix caches.
        """
        least = {d: max(0, scaling.min_servers - spot_counts[d]) for d in found}
        on_demand_counts = {
            domain: min(least[domain], scaling.max_servers) for domain in found
        }
        missing -= sum(on_demand_counts.values())
        for room_of in (
            lambda d: found[d].on_demand,
            lambda d: scaling.max_servers - spot_counts[d],
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
        scaling: route_table.Scaling,
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
        return serving != count and now - sent.at >= scaling.boot_time + _REORDER_DELAY


def _spot_is_cheaper(scaling: route_table.Scaling) -> bool:
    """Return whether spot servers with one spare failure domain cost less."""
    domains = len(scaling.prices)
    return scaling.spot_price * domains < domains - 1
