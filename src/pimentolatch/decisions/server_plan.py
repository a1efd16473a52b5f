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
replace them. Once the load of the last swings is known, on-demand servers stand in for
missing ones only as far as that load needs them: each costs as much as several spot
servers, which are kept for what the operator provided. Servers that are still booting
count as present for new orders, since one ordered now would be later, but never for a
release. Where spot servers are not used, on-demand ones are released from the dearest
domain first, as long as the rest suffice after the loss of any one domain. If that
happens and the rest do not suffice, lost ones are replaced.
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
# Time after the expected boot within which a server is listed.
_BOOT_MARGIN = datetime.timedelta(seconds=1)


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
        follow_load: Whether on-demand servers follow the load that was seen. It has no
            effect if `servers` is set.
    """

    servers: int | None = None
    spot: bool = True
    spare_domains: int | None = None
    follow_load: bool = True

    @property
    def follows_load(self) -> bool:
        """Whether on-demand servers follow the load that was seen."""
        return self.follow_load and self.servers is None


@dataclasses.dataclass(slots=True)
class _Sent:
    count: int
    at: datetime.timedelta
    highest: int = 0


class InitialSize:
    """Learns how many servers were present before any were ordered.

    Servers register one by one, so the highest number seen while the count still grew
    is used.
    """

    def __init__(self) -> None:
        self._highest = 0
        self._grown_at = datetime.timedelta()

    @property
    def highest(self) -> int:
        """Highest number observed."""
        return self._highest

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

    @property
    def need(self) -> int:
        """Servers that suffice, as the operator provided them."""
        return self._need

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
        seen_need: int | None = None,
    ) -> tuple[Order, ...]:
        """Return the orders to send now.

        Args:
            scaling: Limits and prices, from the configuration.
            current: Servers in service, by failure domain.
            now: The current time.
            seen_need: Servers that the load of the last swings needs, if known.
        """
        self._note_losses(current)
        wanted = self._wanted(scaling, current, now, seen_need)
        return tuple(
            Order(domain, spot, count)
            for (domain, spot), count in sorted(wanted.items())
            if self._is_due((domain, spot), count, current.get(domain), now, scaling)
        )

    def _note_losses(self, current: abc.Mapping[str, ServerCounts]) -> None:
        """Record the most spot servers seen since each order."""
        for (domain, spot), sent in self._sent.items():
            if spot:
                found = current.get(domain)
                sent.highest = max(sent.highest, found.spot if found else 0)

    def _expected_spot(
        self,
        domain: str,
        serving: int,
        scaling: route_table.Scaling,
        now: datetime.timedelta,
    ) -> int:
        """Return the spot servers of a domain with those that are still booting.

        If some were lost since the order, the booting ones may be lost too.
        """
        sent = self._sent.get((domain, True))
        if sent is None or serving < sent.highest:
            return serving
        booting = now - sent.at < scaling.boot_time + _BOOT_MARGIN
        return max(serving, sent.count) if booting else serving

    def _wanted(
        self,
        scaling: route_table.Scaling,
        current: abc.Mapping[str, ServerCounts],
        now: datetime.timedelta,
        seen_need: int | None,
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
        need = self._need if seen_need is None else min(self._need, seen_need)
        on_demand = sum(counts.on_demand for counts in found.values())
        # If fewer are left than needed, some were lost and are replaced below.
        if not uses_spot and seen_need is not None and on_demand >= need:
            rest = _spread(need, scaling, found)
            return {(domain, False): count for domain, count in rest.items()}
        spot_serving = sum(min(found[d].spot, spot_counts[d]) for d in domains)
        spot_expected = sum(
            min(self._expected_spot(d, found[d].spot, scaling, now), spot_counts[d])
            for d in domains
        )
        on_demand_counts = self._on_demand_counts(
            scaling,
            found,
            max(0, need - spot_serving),
            max(0, need - spot_expected),
            spot_counts,
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
        missing_later: int,
        spot_counts: abc.Mapping[str, int],
    ) -> dict[str, int]:
        """Return how many on-demand servers each domain keeps or gets.

        Servers already in service are kept first, in the cheapest domains: moving them
        would cost a boot and their prefix caches.

        Args:
            scaling: Limits and prices.
            found: Servers in service.
            missing: Servers missing now, for which those in service are kept.
            missing_later: Those of them that booting servers won't replace.
            spot_counts: Spot servers that each domain is to have.
        """
        least = {d: max(0, scaling.min_servers - spot_counts[d]) for d in found}
        on_demand_counts = {
            domain: min(least[domain], scaling.max_servers) for domain in found
        }
        for room_of, required in (
            (lambda d: found[d].on_demand, missing),
            (lambda d: scaling.max_servers - spot_counts[d], missing_later),
        ):
            for domain in found:
                lacking = required - sum(on_demand_counts.values())
                more = max(0, min(lacking, room_of(domain) - on_demand_counts[domain]))
                on_demand_counts[domain] += more
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


def _spread(
    need: int,
    scaling: route_table.Scaling,
    found: abc.Mapping[str, ServerCounts],
) -> dict[str, int]:
    """Return the on-demand servers to keep, by failure domain.

    The dearest domain is reduced first. The rest must suffice after the loss of any one
    domain, so no domain keeps so many that its loss breaks the need.
    """
    counts = {
        domain: max(found[domain].on_demand, scaling.min_servers) for domain in found
    }
    domains = sorted(counts, key=lambda name: (-scaling.prices[name], name))
    for domain in domains:
        while counts[domain] > scaling.min_servers:
            fewer = counts | {domain: counts[domain] - 1}
            if sum(fewer.values()) - max(fewer.values()) < need:
                break
            counts = fewer
    return counts


def _spot_is_cheaper(scaling: route_table.Scaling) -> bool:
    """Return whether spot servers with one spare failure domain cost less."""
    domains = len(scaling.prices)
    return scaling.spot_price * domains < domains - 1
