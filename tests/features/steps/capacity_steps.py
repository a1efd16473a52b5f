import asyncio
import dataclasses
import datetime
import itertools
import random
import types

import behave
import logbook

from pimentolatch import clock, settings
from pimentolatch.decisions import server_plan
from pimentolatch.gateway import capacity_controller, fleet_state
from pimentolatch.platform import configuration, control_api
from pimentolatch.routes import route_table, servers
from standins import memory_store, object_table
from tests.support import route_world, scaling_world

SECOND = datetime.timedelta(seconds=1)
PRICES = {"north": 1.0, "east": 0.8, "south": 1.25, "west": 0.9}
SCALING = route_table.Scaling(1, 15, scaling_world.BOOT_TIME, 0.18, PRICES)
FIRST = {"north": 8, "east": 8, "south": 7, "west": 7}
NEED = sum(FIRST.values())
DAYS = 40
DAY_S = 80


@behave.when("capacity: {count:d} servers register within {seconds:d} seconds")
def register(context, count, seconds):
    sizing = server_plan.InitialSize()
    context.found = []
    for tenth in range(100):
        now = tenth * SECOND / 10
        total = min(count, round(count * now / (seconds * SECOND)))
        context.found.append((now, sizing.observe(total, now)))


@behave.then(
    "capacity: {count:d} suffice, known {seconds:d} seconds after the last one"
)
def suffice(context, count, seconds):
    known = [(now, size) for now, size in context.found if size is not None]
    assert {size for _, size in known} == {count}
    assert known[0][0] == (3 + seconds) * SECOND, known[0]


@behave.given(
    "capacity: {count:d} dear servers in four domains, {spare:d} domains to spare"
)
def dear(context, count, spare):
    assert count == NEED
    policy = server_plan.Policy(spare_domains=spare)
    context.scaling = scaling_world.ScalingWorld(policy, FIRST, SCALING)


@behave.given(
    "capacity: {count:d} dear servers in four domains and no cheap ones allowed"
)
def dear_only(context, count):
    policy = server_plan.Policy(spot=False)
    context.scaling = scaling_world.ScalingWorld(policy, FIRST, SCALING)


@behave.given(
    "capacity: {count:d} dear servers in four domains, cheap ones at {price:f} of their"
    " price"
)
def cheap_at(context, count, price):
    scaling = dataclasses.replace(SCALING, spot_price=price)
    policy = server_plan.Policy()
    context.scaling = scaling_world.ScalingWorld(policy, FIRST, scaling)


@behave.when("capacity: {seconds:d} seconds pass")
def pass_seconds(context, seconds):
    context.scaling.play(seconds)


@behave.then("capacity: {count:d} servers serve")
def count_serve(context, count):
    assert context.scaling.serving[-1] == count, context.scaling.serving[-1]


@behave.when(
    'capacity: {seconds:d} seconds pass in which "{domain}" is reclaimed at'
    " {at:d} seconds"
)
def pass_with_reclaim(context, seconds, domain, at):
    context.reclaimed_at = at
    context.scaling.play(seconds - 10, [(at, domain)])
    before = context.scaling.cost
    context.scaling.play(10)
    context.last_cost = context.scaling.cost - before


@behave.then("capacity: at least {count:d} servers serve at every moment")
def serve(context, count):
    assert min(context.scaling.serving) >= count, min(context.scaling.serving)


@behave.then(
    "capacity: the last 10 seconds cost at most {share:f} of what stood at first"
)
def cost(context, share):
    first = 10 * sum(PRICES[domain] * count for domain, count in FIRST.items())
    assert context.last_cost <= share * first, context.last_cost / first


@behave.then("capacity: {count:d} servers serve again {seconds:d} seconds after that")
def serve_again(context, count, seconds):
    after = 2 * (context.reclaimed_at + seconds)
    assert min(context.scaling.serving[after:]) >= count, context.scaling.serving


@behave.then("capacity: no dear server stands at the end")
def none_dear(context):
    assert not any(
        found.on_demand for found in context.scaling.server_counts().values()
    )


@behave.when("capacity: {count:d} drawn days with lost orders and reclaims are played")
def drawn_days(context, count):
    context.days = []
    for seed in range(count):
        chance = random.Random(seed)
        policy = server_plan.Policy(spare_domains=chance.randrange(3))
        world = scaling_world.ScalingWorld(policy, FIRST, SCALING, seed, 0.2)
        moments = [chance.uniform(5, DAY_S - 30) for _ in range(3)]
        world.play(DAY_S, [(at, chance.choice(list(PRICES))) for at in moments])
        context.days.append(world)


@behave.then(
    "capacity: no domain is ever ordered more than its most or less than its least"
)
def bounds(context):
    for world in context.days:
        desired = {(domain, False): count for domain, count in FIRST.items()}
        for _, order in world.orders:
            desired[order.failure_domain, order.spot] = order.count
            both = desired.get((order.failure_domain, False), 0)
            both += desired.get((order.failure_domain, True), 0)
            assert both <= SCALING.max_servers, (order, both)
        for domain in PRICES:
            both = sum(desired.get((domain, spot), 0) for spot in (False, True))
            assert both >= SCALING.min_servers, (domain, both)


@behave.then("capacity: what suffices serves at the end of each")
def suffices_at_end(context):
    for world in context.days:
        assert world.serving[-1] >= NEED, world.serving[-20:]


@behave.then(
    'capacity: orders of cheap servers in "{domain}" are {seconds:d} seconds apart'
    " or more"
)
def apart(context, domain, seconds):
    orders = context.scaling.orders
    times = [at for at, o in orders if o.failure_domain == domain and o.spot]
    after = [at for at in times if at > context.reclaimed_at * SECOND]
    assert len(after) > 1, times
    gaps = [later - earlier for earlier, later in itertools.pairwise(after)]
    assert min(gaps) >= seconds * SECOND, gaps


@behave.then("capacity: nothing was ordered")
def nothing_ordered(context):
    assert context.scaling.orders == []


class Tenure:
    """A tenure that is held for as long as a test says."""

    def __init__(self):
        self.active = True
        self.fence = 1

    def valid(self):
        return self.active

    async def acquire(self):
        return self.active

    def fenced_off(self):
        self.active = False


class Fleet:
    """A service whose servers come and go as they are ordered, at once."""

    def __init__(self, context):
        self.known = fleet_state.FleetState()
        spec = route_world.configuration(1, route_world.ROUTES)
        spec["services"][0]["scaling"] = {
            "min": 1,
            "max": 15,
            "boot_s": 4.0,
            "spot_price": 0.18,
            "zone_prices": PRICES,
        }
        self.known.configure(configuration.decode(spec), spec)
        self.counts = {(domain, False): 2 for domain in PRICES}
        self.revision = 0
        self.time = clock.ManualClock()
        self.table = object_table.ObjectTable()
        self.orders = []
        self.list()

    def list(self):
        self.revision += 1
        address = settings.Address.from_text("127.0.0.1:80")
        self.known.replace_servers(
            self.revision,
            [
                servers.Server(
                    f"{domain}-{spot}-{number}",
                    "lm",
                    address,
                    domain,
                    False,
                    servers.Stage.DECODE,
                    8,
                    spot=spot,
                )
                for (domain, spot), count in self.counts.items()
                for number in range(count)
            ],
        )

    async def order_servers(self, holder, order):
        self.orders.append(order)
        self.counts[order.failure_domain, order.spot] = order.count
        self.list()
        return control_api.Accepted()

    def keeper(self, name):
        store = memory_store.MemoryStore(self.table, time=self.time, link=name)
        held = Tenure()
        kept = capacity_controller.CapacityController(
            name,
            self.known,
            held,
            store,
            types.SimpleNamespace(order_servers=self.order_servers),
            server_plan.Policy(),
            self.time,
        )
        return held, kept

    def play(self, kept, seconds):
        async def steps():
            for _ in range(2 * seconds):
                self.time.advance(SECOND / 2)
                await kept.order_due()

        with logbook.NullHandler().applicationbound():
            asyncio.run(steps())


@behave.given("capacity: a keeper before 8 dear servers of a service")
def keeper(context):
    context.fleet = Fleet(context)
    context.held, context.kept = context.fleet.keeper("one")


@behave.when("capacity: it holds the duties until the cheap ones stand")
def holds(context):
    context.fleet.play(context.kept, 20)
    context.ordered = dict(context.fleet.counts)
    assert sum(context.ordered.values()) == 16, context.ordered


@behave.when("capacity: another keeper holds them for 20 seconds")
def another(context):
    _, kept = context.fleet.keeper("two")
    context.fleet.play(kept, 20)


@behave.then("capacity: the same numbers are ordered")
def same_numbers(context):
    assert context.fleet.counts == context.ordered, context.fleet.counts


@behave.when("capacity: it loses the lease and looks")
def loses(context):
    context.held.active = False
    context.fleet.play(context.kept, 10)


@behave.then("capacity: it has ordered nothing")
def ordered_nothing(context):
    assert context.fleet.orders == []
