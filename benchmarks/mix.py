"""Benchmark of role planning while the mix of prompt and output tokens shifts.

Fake engines on virtual time serve both deployments, one failure domain at a time, under
four policies: a static split, a reactive threshold, the planner of this project (ours),
and an oracle, the best schedule found with the whole load known. All four choose
between colocated and disaggregated prefill in the same way, so the rows differ only in
when roles change. An ablation then runs ours with one decision disabled at a time.
Constants are tuned on seeds 0 to 9 and results reported on other seeds.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import random
import time

from benchmarks import (
    fakes,
    patterns,
    plots,
    policies,
    scores,
    simulation,
    simulation_types,
)
from pimentolatch import validation
from pimentolatch.decisions import roles
from pimentolatch.document import schema

__all__ = ["main"]

TUNING_SEEDS = range(10)
REPORT_SEEDS = range(100, 130)
# Fewer seeds for the ablation, which serves each load once for each of ABLATIONS.
ABLATION_SEEDS = range(100, 106)
WORKERS = 4
BUILD = pathlib.Path("build")
EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
# Best static split over all patterns on the tuning seeds, by engines in the domain. It
# is the static policy, and the initial split of ours and of the reactive policy.
FIRST_SPLIT = {2: "PM", 3: "PMM", 4: "PMMM"}
SPLITS = {
    2: ("PM", "MM"),
    3: ("PMM", "PPM", "MMM"),
    4: ("PMMM", "PPMM", "MMMM"),
}
# Costs of a role change in the search for schedules, as multiples of the mean number of
# good answers per window.
SCHEDULE_COSTS = (0.5, 2.0)
ABLATIONS = (
    "ours",
    "limit fixed",
    "never prefill apart",
    "no prefix locality",
    "no admission",
    "no price",
    "no dwell",
    "no floor",
    "no wait before a rescue",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One load of one failure domain."""

    deployment: int
    domain: str
    engines: int
    pattern: str
    seed: int


def _policy(deployment: patterns.Deployment) -> schema.RolePolicy:
    path = EXAMPLES / f"{deployment.name}-fleet.jsonc"
    document = validation.read_file(schema.FleetDocument, path)
    assert isinstance(document, schema.FleetDocument), document
    return document.roles


def _engines(split: str) -> tuple[schema.Engine, ...]:
    return tuple(
        schema.Engine.model_validate(
            {
                "name": f"engine-{number}",
                "failure_domain": "domain",
                "address": {"host": "192.0.2.1", "port": 9000 + number},
                "checks_fencing": True,
                "models": ("model",),
                "role": policies.ROLES[letter],
                "streams": 16,
                "prefill_tokens_per_s": 3000.0,
                "decode_tokens_per_s": 400.0,
            }
        )
        for number, letter in enumerate(split)
    )


class Load:
    """The requests and faults of a case, which can be served repeatedly."""

    def __init__(self, case: Case) -> None:
        deployment = patterns.DEPLOYMENTS[case.deployment]
        rng = random.Random(
            f"{deployment.name}/{case.domain}/{case.pattern}/{case.seed}"
        )
        self._policy = _policy(deployment)
        self._jobs = tuple(
            patterns.generate_jobs(deployment, case.engines, case.pattern, rng)
        )
        self._faults = patterns.draw_faults(case.engines, rng)

    def simulate(
        self,
        split: str,
        planner: simulation_types.Planner,
        options: simulation_types.Options | None = None,
    ) -> simulation_types.Outcome:
        """Serve the load, starting from a split of roles."""
        scenario = simulation_types.Scenario(
            _engines(split), self._policy, self._jobs, self._faults
        )
        return simulation.simulate(scenario, planner, options)


def measure(case: Case) -> dict[str, scores.Score]:
    """Serve one load under each policy."""
    load = Load(case)
    first = FIRST_SPLIT[case.engines]
    static = {
        split: load.simulate(split, policies.Static()) for split in SPLITS[case.engines]
    }
    outcomes = {
        "static": static[first],
        "reactive": load.simulate(first, policies.Reactive()),
        "ours": load.simulate(first, policies.Ours()),
    }
    candidates = [*static.values(), *outcomes.values()]
    for schedule in policies.best_schedules(static, SCHEDULE_COSTS):
        if len(schedule) > 1:
            split = schedule[0][1]
            candidates.append(load.simulate(split, policies.Schedule(schedule)))
    # The oracle is the best of all measured runs, so it is never below another policy.
    outcomes["oracle"] = max(candidates, key=lambda o: (o.good, -len(o.changes)))
    return {name: scores.score(outcome) for name, outcome in outcomes.items()}


def ablate(case: Case) -> dict[str, scores.Score]:
    """Serve one load under our planner with one decision disabled at a time."""
    load = Load(case)
    first = FIRST_SPLIT[case.engines]
    safeguards = roles.Safeguards
    planners = {
        "no price": safeguards(cost_test=False),
        "no dwell": safeguards(dwell=False),
        "no floor": safeguards(floor=False),
        "no wait before a rescue": safeguards(rescue_wait=False),
    }
    options = {
        "limit fixed": simulation_types.Options(adaptive_limit=False),
        "never prefill apart": simulation_types.Options(disaggregate=False),
        "no prefix locality": simulation_types.Options(prefix_locality=False),
        "no admission": simulation_types.Options(admission=False),
    }
    return {
        name: scores.score(
            load.simulate(
                first,
                policies.Ours(planners.get(name, safeguards())),
                options.get(name, simulation_types.Options()),
            )
        )
        for name in ABLATIONS
    }


def _cases(seeds: range) -> list[Case]:
    return [
        Case(number, domain, engines, pattern, seed)
        for number, deployment in enumerate(patterns.DEPLOYMENTS)
        for domain, engines in deployment.domains
        for pattern in patterns.PATTERNS
        for seed in seeds
    ]


def _print(rows: list[scores.Row]) -> None:
    print(scores.HEADER)
    for row in rows:
        print(row.text())


def _print_targets(rows: list[scores.Row]) -> None:
    """Print for each deployment and pattern whether the targets are met."""
    print("\ntargets: goodput >= 95% of the oracle's, changes <= half of reactive's")
    for deployment in patterns.DEPLOYMENTS:
        for pattern in (*patterns.PATTERNS, None):
            rows_by_policy = {
                policy: scores.total(rows, deployment.name, pattern, policy)
                for policy in ("reactive", "ours", "oracle")
            }
            share = rows_by_policy["ours"].goodput / rows_by_policy["oracle"].goodput
            ours, theirs = (
                rows_by_policy[p].role_changes for p in ("ours", "reactive")
            )
            met = "met" if share >= 0.95 and ours <= theirs / 2 else "MISSED"
            print(
                f"{deployment.name:9} {pattern or 'all':6} goodput {share:.1%} of the "
                f"oracle's, {ours:.2f} changes against {theirs:.2f}: {met}"
            )


def main() -> None:
    """Measure, print the tables, and write the JSON files and plots to `build/`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tuning", action="store_true", help="use the tuning seeds")
    options = parser.parse_args()
    seeds = TUNING_SEEDS if options.tuning else REPORT_SEEDS
    ablation_seeds = TUNING_SEEDS[:3] if options.tuning else ABLATION_SEEDS
    started = time.monotonic()
    BUILD.mkdir(exist_ok=True)
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        cases = _cases(seeds)
        measured = list(pool.map(measure, cases, chunksize=4))
        ablation_cases = _cases(ablation_seeds)
        ablated = list(pool.map(ablate, ablation_cases, chunksize=2))
    keys = [(patterns.DEPLOYMENTS[c.deployment].name, c.pattern) for c in cases]
    rows = scores.rows(keys, measured, list(seeds))
    ablation_keys = [
        (patterns.DEPLOYMENTS[c.deployment].name, c.pattern) for c in ablation_cases
    ]
    ablation = scores.rows(ablation_keys, ablated, list(ablation_seeds))
    _print(rows)
    _print_targets(rows)
    print(f"\nablation, seeds {ablation_seeds[0]} to {ablation_seeds[-1]}")
    _print(ablation)
    name = "bench-tuning.json" if options.tuning else "bench.json"
    text = json.dumps([row.to_json() for row in rows], indent=1)
    (BUILD / name).write_text(text + "\n", encoding="utf-8")
    text = json.dumps([row.to_json() for row in ablation], indent=1)
    (BUILD / f"ablation-{name}").write_text(text + "\n", encoding="utf-8")
    plots.draw(rows, BUILD)
    print(f"\n{fakes.__name__}: {time.monotonic() - started:.0f} s in all")


if __name__ == "__main__":
    main()
