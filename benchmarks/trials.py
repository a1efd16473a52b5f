"""Runs one load on one variant, with the users' bench or the emulator."""

import dataclasses
import json
import os
import pathlib
import re
import subprocess
import tempfile
import typing

__all__ = [
    "TrialError",
    "Trial",
    "Result",
    "build",
    "run_on_bench",
    "run_on_emulator",
    "read_report",
]

_ORDER_COUNT = re.compile(r"(\d+) orders")
_TIMEOUT_S = 1200


class TrialError(Exception):
    """A trial gave no result."""


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """Load of a trial.

    Attributes:
        site: Path of a deployment file; a failure domain for the emulator.
        day: Name or path of a day of the deployment; a load pattern for the emulator.
        seed: Seed for the random events of the day; None for the seed of the day.
    """

    site: str
    day: str
    seed: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of a trial.

    Attributes:
        worth: Score of the users' bench; for the emulator the share of requests
            answered within their deadline.
        served: Share of the requests that were answered at all.
        orders: Number of stage or role changes.
        broken: Rules that were broken.
        losses: Lost worth by cause.
        kinds: Share of its possible worth that each kind of request earned.
        by_second: Share of worth earned by second of the load; good answers by window
            of arrival for the emulator.
    """

    worth: float
    served: float
    orders: int
    broken: tuple[str, ...] = ()
    losses: dict[str, float] = dataclasses.field(default_factory=dict)
    kinds: dict[str, float] = dataclasses.field(default_factory=dict)
    by_second: dict[float, float] = dataclasses.field(default_factory=dict)


def build(bench: pathlib.Path, tree: pathlib.Path) -> None:
    """Build a tree as the users' bench does before a run."""
    _run([str(bench.resolve()), "build"], tree)


def run_on_bench(
    bench: pathlib.Path, tree: pathlib.Path, trial: Trial, why: str
) -> Result:
    """Run a day on the users' bench.

    Processor time is not charged, so that the result is reproducible.

    Raises:
        TrialError: The bench wrote no report.
    """
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [str(bench), "run", trial.site, trial.day, "--no-cpu"]
        command += ["--report", report.name, "--why", why, "--jobs", "1"]
        if trial.seed is not None:
            command += ["--seed", str(trial.seed)]
        output = _run(command, tree)
        text = pathlib.Path(report.name).read_text(encoding="utf-8")
    if not text.strip():
        raise TrialError(f"{' '.join(command)} wrote no report: {output[-400:]}")
    return read_report(json.loads(text))


def read_report(report: dict[str, typing.Any]) -> Result:
    """Convert the bench's report of a day to a result."""
    losses = {name: cost for name, _, cost in report["prices"]}
    losses |= {
        f"not earned: {name}": weight * (1 - share)
        for name, weight, share in report["parts"]
    }
    match = _ORDER_COUNT.search(" ".join(report["hints"]))
    return Result(
        worth=report["G"],
        served=1 - report["unserved"],
        orders=int(match.group(1)) if match else 0,
        broken=tuple(report["breaks"]) + ((report["fault"],) * bool(report["fault"])),
        losses=losses,
        kinds={row["name"]: row["worth"] for row in report["classes"]},
        by_second={float(row["name"]): row["worth"] for row in report["windows"]},
    )


def run_on_emulator(tree: pathlib.Path, trial: Trial, python: str) -> Result:
    """Run a load pattern on the emulator, with the role planner of the tree.

    Raises:
        TrialError: The emulator printed no result.
    """
    command = [python, "-m", "benchmarks.one_load", trial.site, trial.day]
    output = _run([*command, str(trial.seed or 0)], tree, {"PYTHONPATH": "src:."})
    try:
        fields = json.loads(output.splitlines()[-1])
    except (ValueError, IndexError):
        raise TrialError(
            f"{' '.join(command)} printed no result: {output[-400:]}"
        ) from None
    return Result(**fields)


def _run(
    command: list[str], tree: pathlib.Path, extra: dict[str, str] | None = None
) -> str:
    completed = subprocess.run(
        command,
        cwd=tree,
        env=os.environ | (extra or {}),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )
    return completed.stdout
