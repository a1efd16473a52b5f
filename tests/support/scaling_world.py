"""A service whose servers are ordered, without a network: boots, reclaims, prices."""

import dataclasses
import datetime
import random

from pimentolatch.decisions import server_plan

STEP = datetime.timedelta(milliseconds=500)
BOOT = datetime.timedelta(seconds=4)
NOTICE = datetime.timedelta(seconds=2.5)
# How long nothing that may be taken back is to be had after a reclaim.
GONE = datetime.timedelta(seconds=11)
DRAIN = datetime.timedelta(seconds=3)
ZERO = datetime.timedelta()


@dataclasses.dataclass
class Server:
    """One ordered server.

    Attributes:
        serves_at: When it has booted.
        leaves_at: When it ends; None if nobody has said so.
    """

    domain: str
    spot: bool
    serves_at: datetime.timedelta
    leaves_at: datetime.timedelta | None = None


class ScalingWorld:
    """The platform's side of orders.

    Args:
        policy: How servers are ordered.
        first: Dear servers in each domain at first.
        scaling: What the operator says.
        seed: Draws which orders get lost.
    """

    def __init__(self, policy, first, scaling, seed=1, lost_share=0.0):
        self.chance = random.Random(seed)
        self.scaling = scaling
        self.now = ZERO
        self.servers = [
            Server(domain, False, ZERO)
            for domain, count in first.items()
            for _ in range(count)
        ]
        self.planner = server_plan.ServerPlanner(policy, sum(first.values()))
        self.gone = {}
        self.orders = []
        self.desired = {(d, False): c for d, c in first.items()}
        self.serving = []
        self.cost = 0.0
        self._lost_share = lost_share

    def play(self, seconds, reclaims=()):
        """Play some seconds.

        Args:
            seconds: How long.
            reclaims: Pairs of a second and the domain that is reclaimed then.
        """
        left = sorted(reclaims)
        for _ in range(round(seconds / STEP.total_seconds())):
            self.now += STEP
            while left and self.now.total_seconds() >= left[0][0]:
                self._reclaim(left.pop(0)[1])
            self._step()

    def _reclaim(self, domain):
        self.gone[domain] = self.now + GONE
        for server in self.servers:
            if server.domain == domain and server.spot:
                server.leaves_at = self.now + NOTICE

    def _step(self):
        self.servers = [
            s for s in self.servers if s.leaves_at is None or s.leaves_at > self.now
        ]
        for server in self.servers:
            price = self.scaling.prices[server.domain]
            price *= self.scaling.spot_price if server.spot else 1.0
            self.cost += price * STEP.total_seconds()
        self.serving.append(sum(self._serves(s) for s in self.servers))
        for order in self.planner.plan(self.scaling, self.standing(), self.now):
            self._carry_out(order)

    def _serves(self, server):
        return server.serves_at <= self.now and server.leaves_at is None

    def standing(self):
        """Return the servers that take requests, by domain."""
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

    def _carry_out(self, order):
        key = order.failure_domain, order.spot
        self.orders.append((self.now, order))
        there = [
            s for s in self.servers if (s.domain, s.spot) == key and s.leaves_at is None
        ]
        more = order.count - len(there)
        if order.spot and more > 0 and self.gone.get(key[0], ZERO) > self.now:
            self.planner.refused(order, self.now)
            return
        self.planner.sent(order, self.now)
        if self.chance.random() < self._lost_share:
            return
        self.desired[key] = order.count
        for _ in range(max(0, more)):
            self.servers.append(Server(*key, self.now + BOOT))
        for server in there[: max(0, -more)]:
            server.leaves_at = self.now + DRAIN
