"""Measures role planning through shifts of the prompt-to-output mix.

Both deployments are served by fake engines on virtual time, failure domain by failure
domain, under four policies: a static split, a reactive threshold, ours, and the best
schedule found with the future known. All four use the same prefill decisions, so that
the rows differ in when roles change and in nothing else. Then ours is run again with
each decision off in turn. Figures were tuned on seeds 0 to 9, reported on others.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import random
import time

from benchmarks import fakes, patterns, plots, policies, runs, scores, serving
from pimentolatch import validation
from pimentolatch.decisions import roles
from pimentolatch.document import schema

__all__ = ["main"]

TUNING_SEEDS = range(10)
REPORT_SEEDS = range(100, 130)
# The ablation takes part of the seeds: it repeats each load ten times.
ABLATION_SEEDS = range(100, 106)
AT_ONCE = 4
BUILD = pathlib.Path("build")
EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
# The best split for all patterns together on the tuning seeds, by size of the domain;
# it is the static split and where ours and the reactive policy begin.
FIRST_SPLIT = {2: "PM", 3: "PMM", 4: "PMMM"}
SPLITS = {
    2: ("PM", "MM"),
    3: ("PMM", "PPM", "MMM"),
    4: ("PMMM", "PPMM", "MMMM"),
}
# Prices of a change in the search for schedules, in windows of a domain's answers.
SCHEDULE_PRICES = (0.5, 2.0)
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
    """The requests and faults of a case, to be served several times."""

    def __init__(self, case: Case) -> None:
        deployment = patterns.DEPLOYMENTS[case.deployment]
        chance = random.Random(
            f"{deployment.name}/{case.domain}/{case.pattern}/{case.seed}"
        )
        self._policy = _policy(deployment)
        self._jobs = tuple(
            patterns.load(deployment, case.engines, case.pattern, chance)
        )
        self._faults = patterns.mishaps(case.engines, chance)

    def serve(
        self,
        split: str,
        planner: runs.Planner,
        options: runs.Options | None = None,
    ) -> runs.Outcome:
        """Serve it from a first split."""
        scenario = runs.Scenario(
            _engines(split), self._policy, self._jobs, self._faults
        )
        return serving.serve(scenario, planner, options)


def measure(case: Case) -> dict[str, scores.Score]:
    """Serve one load under each policy."""
    load = Load(case)
    first = FIRST_SPLIT[case.engines]
    static = {
        split: load.serve(split, policies.Static()) for split in SPLITS[case.engines]
    }
    found = {
        "static": static[first],
        "reactive": load.serve(first, policies.Reactive()),
        "ours": load.serve(first, policies.Ours()),
    }
    candidates = [*static.values(), *found.values()]
    for schedule in policies.best_schedules(static, SCHEDULE_PRICES):
        if len(schedule) > 1:
            split = schedule[0][1]
            candidates.append(load.serve(split, policies.Schedule(schedule)))
    # Whatever was really reached counts, so that foresight is never the worse.
    found["oracle"] = max(candidates, key=lambda o: (o.good, -len(o.changes)))
    return {name: scores.score(outcome) for name, outcome in found.items()}


def ablate(case: Case) -> dict[str, scores.Score]:
    """Serve one load under our policy with each decision off in turn."""
    load = Load(case)
    first = FIRST_SPLIT[case.engines]
    off = roles.Safeguards
    planners = {
        "no price": off(cost_test=False),
        "no dwell": off(dwell=False),
        "no floor": off(floor=False),
        "no wait before a rescue": off(rescue_wait=False),
    }
    options = {
        "limit fixed": runs.Options(adaptive_limit=False),
        "never prefill apart": runs.Options(apart=False),
        "no prefix locality": runs.Options(prefix_locality=False),
        "no admission": runs.Options(admission=False),
    }
    return {
        name: scores.score(
            load.serve(
                first,
                policies.Ours(planners.get(name, off())),
                options.get(name, runs.Options()),
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
    """Say for each deployment whether the targets are met, over all patterns."""
    print("\ntargets: goodput >= 95% of the oracle's, changes <= half of reactive's")
    for deployment in patterns.DEPLOYMENTS:
        for pattern in (*patterns.PATTERNS, None):
            chosen = {
                policy: scores.total(rows, deployment.name, pattern, policy)
                for policy in ("reactive", "ours", "oracle")
            }
            share = chosen["ours"].goodput / chosen["oracle"].goodput
            ours, theirs = (chosen[p].role_changes for p in ("ours", "reactive"))
            met = "met" if share >= 0.95 and ours <= theirs / 2 else "MISSED"
            print(
                f"{deployment.name:9} {pattern or 'all':6} goodput {share:.1%} of the "
                f"oracle's, {ours:.2f} changes against {theirs:.2f}: {met}"
            )


def main() -> None:
    """Measure, print the tables, and write build/bench.json and the plots."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tuning", action="store_true", help="use the tuning seeds")
    chosen = parser.parse_args()
    seeds = TUNING_SEEDS if chosen.tuning else REPORT_SEEDS
    ablation_seeds = TUNING_SEEDS[:3] if chosen.tuning else ABLATION_SEEDS
    began = time.monotonic()
    BUILD.mkdir(exist_ok=True)
    with concurrent.futures.ProcessPoolExecutor(AT_ONCE) as pool:
        cases = _cases(seeds)
        measured = list(pool.map(measure, cases, chunksize=4))
        part = _cases(ablation_seeds)
        ablated = list(pool.map(ablate, part, chunksize=2))
    keys = [(patterns.DEPLOYMENTS[c.deployment].name, c.pattern) for c in cases]
    rows = scores.rows(keys, measured, list(seeds))
    part_keys = [(patterns.DEPLOYMENTS[c.deployment].name, c.pattern) for c in part]
    ablation = scores.rows(part_keys, ablated, list(ablation_seeds))
    _print(rows)
    _print_targets(rows)
    print(f"\nablation, seeds {ablation_seeds[0]} to {ablation_seeds[-1]}")
    _print(ablation)
    name = "bench-tuning.json" if chosen.tuning else "bench.json"
    text = json.dumps([row.to_json() for row in rows], indent=1)
    (BUILD / name).write_text(text + "\n", encoding="utf-8")
    text = json.dumps([row.to_json() for row in ablation], indent=1)
    (BUILD / f"ablation-{name}").write_text(text + "\n", encoding="utf-8")
    plots.draw(rows, BUILD)
    print(f"\n{fakes.__name__}: {time.monotonic() - began:.0f} s in all")


if __name__ == "__main__":
    main()
