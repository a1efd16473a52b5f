import asyncio
import contextlib
import dataclasses
import datetime
import itertools
import math
import random
import types

import behave
import logbook

from pimentolatch import clock, settings
from pimentolatch.decisions import demand_rate, server_need, server_plan
from pimentolatch.gateway import fleet_state
from pimentolatch.gateway.leader import capacity_controller
from pimentolatch.platform import configuration, control_api
from pimentolatch.routes import route_table, servers
from standins import memory_store, object_table
from tests.support import route_world, scaling_world

SECOND = datetime.timedelta(seconds=1)
ZERO = datetime.timedelta()
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

    def call(self):
        return contextlib.nullcontext()

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
        self.prefill = 0.0
        self.faults = memory_store.StoreFaults()
        self.answers_lost = False
        self.peers = types.SimpleNamespace(
            demand=lambda service: demand_rate.ServiceDemand(0.0, 0.0),
            prefill_rate=lambda service: 0.0,
        )
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
        if self.answers_lost:
            return control_api.Unanswered("carried out", reached=True)
        return control_api.Accepted()

    def keeper(self, name):
        store = memory_store.MemoryStore(
            self.table, time=self.time, link=name, faults=self.faults
        )
        held = Tenure()
        kept = capacity_controller.CapacityController(
            name,
            self.known,
            held,
            store,
            types.SimpleNamespace(order_servers=self.order_servers),
            server_plan.Policy(),
            self.peers,
            lambda service: demand_rate.ServiceDemand(self.prefill, 0.0),
            self.time,
        )
        return held, kept

    def play(self, kept, seconds):
        async def steps():
            for _ in range(round(2 * seconds)):
                self.time.advance(SECOND / 2)
                kept.observe()
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


def load_of(mean):
    """Return a load that swings within 11 s and bursts to twice its mean."""

    def load(now):
        seconds = now.total_seconds()
        swing = 1 + 0.27 * math.sin(2 * math.pi * seconds / 11)
        return mean * (2.0 if 40 <= seconds < 43 else swing)

    return load


LOADS = {"light": load_of(4.5), "heavy": load_of(10.0)}
FIXED = server_plan.Policy(spare_domains=1, follow_load=False)


def loaded(kind, policy):
    return scaling_world.ScalingWorld(policy, FIRST, SCALING, load=LOADS[kind])


@behave.given("capacity: {kind:w} load on {count:d} dear servers, 1 domain to spare")
def with_load(context, kind, count):
    assert count == NEED
    policy = dataclasses.replace(FIXED, follow_load=True)
    context.scaling, context.fixed = loaded(kind, policy), loaded(kind, FIXED)


@behave.when(
    "capacity: a minute passes in which two domains are reclaimed during a burst"
)
def two_reclaims(context):
    for world in (context.scaling, context.fixed):
        world.play(60, [(39, "east"), (41, "west")])


@behave.then(
    "capacity: callers lack {lack:w} servers, and no more than by a fixed need"
)
def lack_servers(context, lack):
    short, fixed = context.scaling.short, context.fixed.short
    assert (short > 0.0) == (lack == "some"), short
    assert short <= fixed, (short, fixed)


@behave.then("capacity: callers never lack a server")
def never_short(context):
    assert context.scaling.short == 0.0, context.scaling.short


@behave.then(
    "capacity: {dear:w} dear servers are ordered after the reclaims,"
    " {fixed:w} by a fixed need"
)
def dear_after(context, dear, fixed):
    for world, wanted in ((context.scaling, dear), (context.fixed, fixed)):
        counts = [
            order.count
            for at, order in world.orders
            if at > 39 * SECOND and not order.spot
        ]
        assert any(counts) == (wanted == "some"), (wanted, counts)
    cheaper = context.scaling.cost < context.fixed.cost
    assert cheaper or dear == fixed, (context.scaling.cost, context.fixed.cost)


@behave.when(
    "capacity: a load that swings between {low:d} and {high:d} servers is seen for a"
    " minute"
)
def swinging(context, low, high):
    seen = server_need.SeenNeed()
    context.low, context.high, context.needs = low, high, []
    for number in range(70):
        now = number * SECOND
        swing = (1 - math.cos(2 * math.pi * (number - 10) / 11)) / 2
        load = low + (high - low) * swing if number >= 10 else 0.0
        seen.observe(load, now)
        context.needs.append(seen.need(NEED, now))


@behave.then(
    "capacity: nothing is known of the need for {seconds:d} seconds after the first"
    " load"
)
def unknown(context, seconds):
    known = [number for number, need in enumerate(context.needs) if need is not None]
    assert known == list(range(10 + seconds, 70)), known


@behave.then(
    "capacity: the need hardly falls in a trough and bears the peak and twice the mean"
)
def hardly_falls(context):
    known = [need for need in context.needs if need is not None]
    # The window is no multiple of the swing, which moves the mean a little.
    assert max(known) - min(known) <= 2, known
    mean = (context.low + context.high) / 2
    assert min(known) * scaling_world.BUSY_SHARE >= 2 * mean, known
    assert min(known) * scaling_world.BUSY_SHARE >= context.high, known


@behave.then(
    "capacity: a load of {light:f} servers needs {least:d} of {most:d},"
    " one of {heavy:d} needs {all_of_them:d}"
)
def between(context, light, least, most, heavy, all_of_them):
    for load, need in ((light, least), (heavy, all_of_them)):
        seen = server_need.SeenNeed()
        for number in range(30):
            seen.observe(load, number * SECOND)
        assert seen.need(most, 29 * SECOND) == need, seen.need(most, 29 * SECOND)


@behave.given("capacity: cheap servers of which some still boot")
def some_boot(context):
    context.planner = server_plan.ServerPlanner(FIXED, NEED)
    for domain in PRICES:
        context.planner.sent(server_plan.Order(domain, True, 10), ZERO)
    serving = {domain: server_plan.ServerCounts(0, 6) for domain in PRICES}
    context.planner.plan(SCALING, serving, SECOND)
    context.serving = serving


@behave.then(
    "capacity: with {lost} lost among the others, dear ones are ordered: {dear}"
)
def with_lost(context, lost, dear):
    serving = dict(context.serving)
    if lost != "none":
        for domain in ("east", "west"):
            serving[domain] = server_plan.ServerCounts(0, 0)
    orders = context.planner.plan(SCALING, serving, 2 * SECOND)
    dear_counts = [order.count for order in orders if not order.spot]
    assert any(dear_counts) == (dear == "yes"), orders


@behave.given(
    "capacity: {kind:w} load on {count:d} dear servers, no cheap ones allowed"
)
def load_on_dear(context, kind, count):
    assert count == NEED
    context.scaling = loaded(kind, server_plan.Policy(spot=False))


@behave.when('capacity: a minute passes in which "{domain}" is lost')
def domain_lost(context, domain):
    world = context.scaling
    world.play(39)
    context.before = world.server_counts()
    world.lose(domain)
    world.play(21)


@behave.when(
    'capacity: a minute passes in which "{first}" and then "{second}" are lost'
)
def two_domains_lost(context, first, second):
    context.scaling.play(39)
    for domain in (first, second):
        context.scaling.lose(domain)
        context.scaling.play(10)


@behave.then("capacity: the need is served at the end")
def need_served(context):
    world = context.scaling
    assert world.serving[-1] >= world.seen_need(), (world.serving, world.seen_need())


@behave.then("capacity: each domain has its least at the end")
def least_at_end(context):
    counts = context.scaling.server_counts()
    assert all(c.on_demand >= SCALING.min_servers for c in counts.values()), counts


@behave.then(
    'capacity: fewer dear servers stand in "{dearest}" than in "{cheapest}" before the'
    " loss"
)
def fewer_dear(context, dearest, cheapest):
    counts = {domain: found.on_demand for domain, found in context.before.items()}
    assert counts[dearest] < counts[cheapest], counts
    assert sum(counts.values()) < NEED, counts


@behave.then(
    'capacity: the load is not followed if "servers" is set or "follow_load" is off'
)
def not_followed(context):
    assert server_plan.Policy().follows_load
    assert not server_plan.Policy(servers=8).follows_load
    assert not server_plan.Policy(follow_load=False).follows_load


@behave.when("capacity: the answers of its orders are lost and another keeper follows")
def answers_lost(context):
    context.fleet.answers_lost = True
    context.fleet.play(context.kept, 4)
    assert context.fleet.orders
    _, kept = context.fleet.keeper("two")
    context.fleet.play(kept, 20)


@behave.then("capacity: each kind in each domain was ordered one number at the end")
def one_number(context):
    assert sum(context.fleet.counts.values()) == 16, context.fleet.counts
    assert not any(c for (_, spot), c in context.fleet.counts.items() if not spot)


@behave.when(
    "capacity: the store is away for {away:d} seconds and returns for {back:d}"
)
def store_away(context, away, back):
    context.fleet.faults.outage = True
    context.fleet.play(context.kept, away)
    context.before = list(context.fleet.orders)
    context.fleet.faults.clear()
    context.fleet.play(context.kept, back)


@behave.then("capacity: it has ordered nothing before and what suffices after")
def nothing_before(context):
    assert context.before == []
    assert sum(context.fleet.counts.values()) == 16, context.fleet.counts


@behave.when("capacity: it watches for {seconds:d} seconds and then becomes the leader")
def watches(context, seconds):
    for _ in range(2 * seconds):
        context.fleet.time.advance(SECOND / 2)
        context.kept.observe()
    context.fleet.play(context.kept, 0.5)


@behave.then("capacity: it orders at its first look")
def first_look(context):
    assert context.fleet.orders


@behave.when(
    "capacity: prompts that keep {busy:d} engines busy are seen for {seconds:d} seconds"
)
def prompts_seen(context, busy, seconds):
    fleet = context.fleet
    # Half of them arrive at this instance, half at its peers.
    half = busy / 2 * 1000 * fleet.known.loads("lm").prefill_rate
    fleet.prefill = half
    fleet.peers.demand = lambda service: demand_rate.ServiceDemand(half, 0.0)
    fleet.play(context.kept, seconds)


@behave.then(
    "capacity: {provided:d} are known to be provided, {needed:d} to be needed and the"
    " peak as {peak:f}"
)
def needs_seen(context, provided, needed, peak):
    (need,) = context.kept.needs
    found = need.provided, need.seen_need, need.seen_peak
    assert found == (provided, needed, peak), need
