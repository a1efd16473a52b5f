"""Simulates a service whose servers are ordered: boot times, spot reclaims, prices."""

import dataclasses
import datetime
import random

from pimentolatch.decisions import server_need, server_plan

STEP = datetime.timedelta(milliseconds=500)
BOOT_TIME = datetime.timedelta(seconds=4)
RECLAIM_NOTICE = datetime.timedelta(seconds=2.5)
# Time after a reclaim in which the failure domain offers no spot servers.
UNAVAILABLE_AFTER_RECLAIM = datetime.timedelta(seconds=11)
DRAIN_TIME = datetime.timedelta(seconds=3)
# Share of a server's time above which callers wait for it.
BUSY_SHARE = 0.8
ZERO = datetime.timedelta()


@dataclasses.dataclass
class Server:
    """One ordered server.

    Attributes:
        ready_at: When it has booted.
        ends_at: When it terminates; None if that is not decided.
    """

    domain: str
    spot: bool
    ready_at: datetime.timedelta
    ends_at: datetime.timedelta | None = None


class ScalingWorld:
    """Simulates the platform that carries out orders of servers.

    Args:
        policy: Policy of the server planner.
        initial: Initial number of on-demand servers in each failure domain.
        scaling: Scaling settings of the service.
        seed: Seed that decides which orders are lost.
        lost_share: Share of the orders that are lost.
        load: Returns the load at a time, as a number of fully occupied servers.
    """

    def __init__(
        self, policy, initial, scaling, seed=1, lost_share=0.0, load=lambda now: 0.0
    ):
        self.rng = random.Random(seed)
        self.scaling = scaling
        self.now = ZERO
        self.servers = [
            Server(domain, False, ZERO)
            for domain, count in initial.items()
            for _ in range(count)
        ]
        self.planner = server_plan.ServerPlanner(policy, sum(initial.values()))
        self.spot_unavailable_until = {}
        self.orders = []
        self.desired = {(d, False): c for d, c in initial.items()}
        self.serving = []
        self.cost = 0.0
        self.short = 0.0
        self._policy = policy
        self._lost_share = lost_share
        self._load = load
        self._seen = server_need.SeenNeed()

    def play(self, seconds, reclaims=()):
        """Simulate a time.

        Args:
            seconds: Simulated time.
            reclaims: Pairs of a time in seconds and the failure domain whose spot
                servers are reclaimed then.
        """
        pending = sorted(reclaims)
        for _ in range(round(seconds / STEP.total_seconds())):
            self.now += STEP
            while pending and self.now.total_seconds() >= pending[0][0]:
                self._reclaim(pending.pop(0)[1])
            self._step()

    def _reclaim(self, domain):
        self.spot_unavailable_until[domain] = self.now + UNAVAILABLE_AFTER_RECLAIM
        for server in self.servers:
            if server.domain == domain and server.spot:
                server.ends_at = self.now + RECLAIM_NOTICE

    def lose(self, domain):
        """End all servers of a failure domain at once."""
        self.servers = [s for s in self.servers if s.domain != domain]

    def _step(self):
        self.servers = [
            s for s in self.servers if s.ends_at is None or s.ends_at > self.now
        ]
        for server in self.servers:
            price = self.scaling.prices[server.domain]
            price *= self.scaling.spot_price if server.spot else 1.0
            self.cost += price * STEP.total_seconds()
        self.serving.append(sum(self._serves(s) for s in self.servers))
        load = self._load(self.now)
        missing = load / BUSY_SHARE - self.serving[-1]
        self.short += max(0.0, missing) * STEP.total_seconds()
        self._seen.observe(load, self.now)
        for order in self.planner.plan(
            self.scaling, self.server_counts(), self.now, self.seen_need()
        ):
            self._execute(order)

    def seen_need(self):
        """Return the servers that the load seen needs; None if that is not known."""
        if not self._policy.follows_load:
            return None
        return self._seen.need(self.planner.need, self.now)

    def _serves(self, server):
        return server.ready_at <= self.now and server.ends_at is None

    def server_counts(self):
        """Return the numbers of servers in service, by failure domain."""
        found = {}
        for domain in self.scaling.prices:
            on_demand, spot = (
                sum(
                    s.domain == domain and s.spot == kind and self._serves(s)
                    for s in self.servers
                )
                for kind in (False, True)
            )
            found[domain] = server_plan.ServerCounts(on_demand, spot)
        return found

    def _execute(self, order):
        key = order.failure_domain, order.spot
        self.orders.append((self.now, order))
        current = [
            s for s in self.servers if (s.domain, s.spot) == key and s.ends_at is None
        ]
        missing = order.count - len(current)
        if (
            order.spot
            and missing > 0
            and self.spot_unavailable_until.get(key[0], ZERO) > self.now
        ):
            self.planner.refused(order, self.now)
            return
        self.planner.sent(order, self.now)
        if self.rng.random() < self._lost_share:
            return
        self.desired[key] = order.count
        for _ in range(max(0, missing)):
            self.servers.append(Server(*key, self.now + BOOT_TIME))
        for server in current[: max(0, -missing)]:
            server.ends_at = self.now + DRAIN_TIME
