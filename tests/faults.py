"""Runs the fault matrix: each promise under each single fault and each pair.

Each history has a fixed seed, so that a run gives the same result each time. Each
promise is also run with its safeguard disabled, where its checker must reject some
history; a checker that never rejects proves nothing.
"""

import argparse
import collections
import concurrent.futures
import dataclasses
import importlib
import itertools
import json
import pathlib
import pkgutil
import sys
import time
import typing

from tests.support import fault_matrix, proofs

__all__ = [
    "Job",
    "PromiseResult",
    "main",
    "run_job",
    "run_matrix",
    "single_faults",
    "single_faults_and_pairs",
]

PROMISES = range(1, 10)
SEEDS = 4
SEEDS_WITHOUT_SAFEGUARD = 3
PROCESSES = 4
OUTPUT = pathlib.Path("build/faults.json")
_SHOWN_VIOLATIONS = 5


Combinations = typing.Callable[[tuple[str, ...]], list[tuple[str, ...]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One history to make and check."""

    module: str
    faults: tuple[str, ...]
    seed: int
    safeguards: bool


@dataclasses.dataclass(slots=True)
class PromiseResult:
    """Results of one promise over all its histories.

    Attributes:
        violations: Violations found with the safeguards enabled.
        rejected_without_safeguard: Seeds and faults of the histories that the checker
            rejected with the safeguard disabled.
    """

    promise: int
    histories: int = 0
    operations: int = 0
    unknown: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)
    longest_gap_s: dict[str, float] = dataclasses.field(default_factory=dict)
    rejected_without_safeguard: list[tuple[int, tuple[str, ...]]] = dataclasses.field(
        default_factory=list
    )

    @property
    def unknown_share(self) -> float:
        """Share of operations that ended in "outcome unknown"."""
        return self.unknown / self.operations if self.operations else 0.0

    @property
    def holds(self) -> bool:
        """Whether the promise held and its checker rejected a weakened history."""
        return (
            bool(self.histories and self.rejected_without_safeguard)
            and not self.violations
        )

    def add(self, run: fault_matrix.ProofRun, safeguards: bool) -> None:
        """Add the result of one history."""
        if not safeguards:
            if run.violations:
                self.rejected_without_safeguard.append((run.seed, run.faults))
            return
        self.histories += 1
        self.operations += run.operations
        self.unknown += run.unknown
        self.violations += [
            f"faults {run.faults}, seed {run.seed}: {text}" for text in run.violations
        ]
        for domain, gap in run.longest_gap_s.items():
            self.longest_gap_s[domain] = max(gap, self.longest_gap_s.get(domain, 0.0))

    def to_json(self) -> dict[str, typing.Any]:
        """Return the entry for `build/faults.json`."""
        return {
            "promise": self.promise,
            "histories": self.histories,
            "operations": self.operations,
            "violations": len(self.violations),
            "unknown_share": self.unknown_share,
            "seeds_failing_before": sorted(
                {seed for seed, _ in self.rejected_without_safeguard}
            ),
            "failing_before": [
                {"seed": seed, "faults": list(faults)}
                for seed, faults in self.rejected_without_safeguard
            ],
            "longest_gap_s": self.longest_gap_s,
        }

    def __str__(self) -> str:
        if not self.histories:
            return f"promise {self.promise}: no proof"
        gaps = ", ".join(f"{d} {gap:.1f} s" for d, gap in self.longest_gap_s.items())
        return (
            f"promise {self.promise}: {self.histories} histories,"
            f" {self.operations} operations, {len(self.violations)} violations,"
            f" outcome unknown {self.unknown_share:.2%},"
            f" longest without service: {gaps or 'not measured'};"
            f" rejected with the safeguard off: {len(self.rejected_without_safeguard)}"
        )


def proof_modules() -> list[str]:
    """Return the names of the modules that contain a proof."""
    found = pkgutil.iter_modules(proofs.__path__, f"{proofs.__name__}.")
    return sorted(module.name for module in found)


def _proof(module: str) -> fault_matrix.Proof:
    return typing.cast(fault_matrix.Proof, importlib.import_module(module).PROOF)


def single_faults(faults: tuple[str, ...]) -> list[tuple[str, ...]]:
    """Return a combination of each single fault."""
    return [(fault,) for fault in faults]


def single_faults_and_pairs(faults: tuple[str, ...]) -> list[tuple[str, ...]]:
    """Return each single fault and each pair, in a fixed order."""
    return single_faults(faults) + list(itertools.combinations(faults, 2))


def _jobs(
    module: str, seeds: int, seeds_without_safeguard: int, combinations: Combinations
) -> list[Job]:
    chosen = combinations(_proof(module).faults)
    with_safeguards = itertools.product(chosen, range(seeds), (True,))
    without = itertools.product(chosen, range(seeds_without_safeguard), (False,))
    return [Job(module, *job) for job in itertools.chain(with_safeguards, without)]


def run_job(job: Job) -> fault_matrix.ProofRun:
    """Make one history and check it."""
    return _proof(job.module).run(job.faults, job.seed, safeguards=job.safeguards)


def run_matrix(
    modules: typing.Sequence[str],
    seeds: int,
    seeds_without_safeguard: int,
    combinations: Combinations,
    processes: int = PROCESSES,
) -> dict[int, PromiseResult]:
    """Make and check every history of the modules; return a result for each promise.

    Args:
        modules: Modules of `tests.support.proofs`.
        seeds: Number of histories for each combination of faults.
        seeds_without_safeguard: Number of further histories for each combination, with
            the safeguard disabled.
        combinations: Returns the combinations to run of a proof's faults.
        processes: Number of worker processes.
    """
    jobs = [
        job
        for name in modules
        for job in _jobs(name, seeds, seeds_without_safeguard, combinations)
    ]
    results = {promise: PromiseResult(promise) for promise in PROMISES}
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        for job, run in zip(jobs, pool.map(run_job, jobs, chunksize=2), strict=True):
            results[run.promise].add(run, job.safeguards)
    return results


def main() -> int:
    """Run the matrix and print it; return non-zero unless every promise held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--promise", type=int, action="append", choices=PROMISES)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    chosen = parser.parse_args()
    wanted = set(chosen.promise or PROMISES)
    modules = [name for name in proof_modules() if _proof(name).promise in wanted]
    began = time.monotonic()
    results = run_matrix(
        modules, chosen.seeds, SEEDS_WITHOUT_SAFEGUARD, single_faults_and_pairs
    )
    shown = [results[promise] for promise in sorted(wanted)]
    for result in shown:
        print(result)
        for violation in result.violations[:_SHOWN_VIOLATIONS]:
            print(f"  {violation}")
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps([result.to_json() for result in shown], indent=1))
    total = collections.Counter(result.holds for result in shown)
    print(
        f"{total[True]} of {len(shown)} promises held; {time.monotonic() - began:.0f} s"
    )
    return 0 if total[False] == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
