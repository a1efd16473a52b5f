import collections
import dataclasses
import itertools

import behave

from pimentolatch.requests import prompts
from tests.support import fleet_parts, fleet_world

LONG = fleet_parts.RequestKind("briefing", 51.5, 5382, 150, 6610, 42, 2, 823.0)
SHORT = fleet_parts.RequestKind("draft", 81.0, 0, 0, 826, 32, 0, 609.0)
FIRST_SEED = 1
BURST_BEGINS_S = 3


@behave.given(
    "replay: {instances:d} instances in {domains:d} domains before {engines:d} "
    "engines, {reading:d} of which read"
)
def replayed_fleet(context, instances, domains, engines, reading):
    each = instances // domains
    context.new_fleet = lambda seed: fleet_world.FleetSimulation(
        domains, each, engines, reading, seed
    )


@behave.when("replay: sessions ask for {seconds:d} seconds, drawn by {seed:d}")
def sessions_ask(context, seconds, seed):
    context.fleet = context.new_fleet(seed)
    context.fleet.run((LONG, *fleet_parts.KIOSK[1:]), seconds)


@behave.when("replay: each instance is asked for one prompt at the same moment")
def all_at_once(context):
    context.fleet = context.new_fleet(FIRST_SEED)
    for instance in context.fleet.instances.values():
        context.fleet.submit(instance, SHORT)
    context.chosen = collections.Counter(
        engine.server.server_id
        for instance in context.fleet.instances.values()
        for engine in instance.loads.all()
        if any(engine.prefill_tokens)
    )


@behave.then(
    "replay: at most a tenth of the tokens that were read had been read before"
)
def read_again(context):
    fleet = context.fleet
    assert fleet.prefilled_tokens > 0
    assert fleet.repeated_tokens <= fleet.prefilled_tokens / 10, fleet.repeated_tokens


@behave.then(
    "replay: no engine that reads works more than half as much again as the mean"
)
def even(context):
    assert context.fleet.max_to_mean_work() <= 1.5, context.fleet.max_to_mean_work()


@behave.then("replay: every prompt is answered and nine of ten are on time")
def answered(context):
    fleet = context.fleet
    assert not fleet.refused, fleet.refused
    assert fleet.late.total() <= fleet.done.total() / 10, fleet.late


@behave.then("replay: no engine that reads gets more than twice the mean")
def no_herd(context):
    assert context.chosen.total() == len(context.fleet.instances)
    readers = [e for e in context.fleet.engines.values() if e.prefills]
    mean = context.chosen.total() / len(readers)
    assert max(context.chosen.values()) <= 2 * mean, context.chosen


@behave.when("replay: one instance knows of a part that an engine keeps")
def one_knows(context):
    context.fleet = context.new_fleet(FIRST_SEED)
    context.prompt = prompts.Prompt(
        "m", 6000, 1, 1, (prompts.Part("session", 5000), prompts.Part("own", 1000))
    )
    first = next(iter(context.fleet.instances.values()))
    engine = next(iter(first.loads.all()))
    engine.prefix_cache.add_prompt(context.prompt, fleet_parts.TRAITS.kv_tokens)
    first.updates.add(engine.server.incarnation, context.prompt)


@behave.when("replay: {seconds:d} seconds pass")
def pass_seconds(context, seconds):
    context.fleet.run((), seconds)


@behave.then("replay: nineteen of twenty instances know it")
def most_know(context):
    instances = context.fleet.instances.values()
    engines = [next(iter(instance.loads.all())) for instance in instances]
    know = sum(
        engine.prefix_cache.cached_tokens(context.prompt) == 5000 for engine in engines
    )
    assert know >= 0.95 * len(instances), know


@behave.then("replay: nobody has it to pass on")
def nothing_left(context):
    for instance in context.fleet.instances.values():
        assert instance.updates.take_near() == ()


@behave.when(
    "replay: 24 of 70 engines prefill what 84 instances get, drawn by 2, 3 and 5"
)
def letters(context):
    context.fleets = [
        fleet_world.FleetSimulation(3, 28, 70, 24, seed) for seed in (2, 3, 5)
    ]
    for fleet in context.fleets:
        fleet.run(fleet_parts.LETTERS, 8)
    context.kinds = fleet_parts.LETTERS


@behave.then(
    "replay: of the largest tenth of each route half as many are served as of all"
)
def largest_served(context):
    for fleet in context.fleets:
        for kind in context.kinds:
            ended = [found for found in fleet.outcomes if found.kind == kind.name]
            ended.sort(key=lambda found: found.tokens)
            largest = ended[-len(ended) // 10 :]
            share, of_all = served_share(largest), served_share(ended)
            assert share >= of_all / 2, (kind.name, share, of_all)


def served_share(ended):
    served = [found for found in ended if found.status in fleet_parts.SERVED_STATUSES]
    return len(served) / len(ended)


@behave.given("replay: {count:d} instances hear no peer")
def deaf(context, count):
    context.deaf_instances = count


@behave.when(
    "replay: an assistant's requests come twice as often for {seconds:d} seconds, "
    "drawn by 2, 3 and 5"
)
def assistant_burst(context, seconds):
    context.fleets = [context.new_fleet(seed) for seed in (2, 3, 5)]
    bursts = [
        fleet_parts.Burst(kind.name, BURST_BEGINS_S, BURST_BEGINS_S + seconds, 2.0)
        for kind in fleet_parts.ASSISTANT
    ]
    context.kinds = fleet_parts.ASSISTANT
    for fleet in context.fleets:
        fleet.deaf.update(list(fleet.instances)[: context.deaf_instances])
        fleet.run(context.kinds, BURST_BEGINS_S + seconds, bursts)


@behave.then(
    "replay: no kind is served less often than a less urgent one by over 5 in 100, "
    "nor on time by over 15 in 100"
)
def in_order(context):
    for fleet in context.fleets:
        shares = [ended_shares(fleet, kind) for kind in fleet_parts.ASSISTANT]
        for urgent, other in itertools.combinations(shares, 2):
            assert urgent.served >= other.served - 0.05, shares
            assert urgent.on_time >= other.on_time - 0.15, shares


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Shares of a kind's requests that were served at all, and on time."""

    kind: str
    served: float
    on_time: float


def ended_shares(fleet, kind):
    ended = [found for found in fleet.outcomes if found.kind == kind.name]
    on_time = sum(found.status is fleet_parts.Status.SERVED for found in ended)
    return Shares(kind.name, served_share(ended), on_time / len(ended))
