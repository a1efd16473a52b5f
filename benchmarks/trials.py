"""Plays one load with one variant, on the users' bench or on our own emulator."""

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
    """A play gave no result."""


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """What is played.

    Attributes:
        site: Path of a deployment's file; a domain of engines for the emulator.
        day: Name of a day there, or the path of one; a pattern for the emulator.
        seed: Other luck on the same day; None for the day's own.
    """

    site: str
    day: str
    seed: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What callers received.

    Attributes:
        worth: The users' measure; the share answered in time for the emulator.
        served: Share of the requests that were answered at all.
        orders: Changes of stage, or of role.
        broken: Rules that were broken.
        losses: Worth lost, by cause.
        kinds: Share of its worth that each kind of request earned.
        by_second: Share earned, by the second of the load.
    """

    worth: float
    served: float
    orders: int
    broken: tuple[str, ...] = ()
    losses: dict[str, float] = dataclasses.field(default_factory=dict)
    kinds: dict[str, float] = dataclasses.field(default_factory=dict)
    by_second: dict[float, float] = dataclasses.field(default_factory=dict)


def build(bench: pathlib.Path, tree: pathlib.Path) -> None:
    """Build a tree as the users' bench does before it plays."""
    _run([str(bench.resolve()), "build"], tree)


def run_on_bench(
    bench: pathlib.Path, tree: pathlib.Path, trial: Trial, why: str
) -> Result:
    """Play a day on the users' bench; processor time is not charged, so it repeats.

    Raises:
        FailedError: The bench printed no report.
    """
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [str(bench), "run", trial.site, trial.day, "--no-cpu"]
        command += ["--report", report.name, "--why", why, "--jobs", "1"]
        if trial.seed is not None:
            command += ["--seed", str(trial.seed)]
        output = _run(command, tree)
        text = pathlib.Path(report.name).read_text(encoding="utf-8")
    if not text.strip():
        raise TrialError(f"{' '.join(command)}: {output[-400:]}")
    return read_report(json.loads(text))


def read_report(report: dict[str, typing.Any]) -> Result:
    """Return the result that the bench's report of a day holds."""
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
    """Play a pattern of load on our own engines, with the tree's planner of roles.

    Raises:
        FailedError: The emulator printed no result.
    """
    command = [python, "-m", "benchmarks.one_load", trial.site, trial.day]
    output = _run([*command, str(trial.seed or 0)], tree, {"PYTHONPATH": "src:."})
    try:
        fields = json.loads(output.splitlines()[-1])
    except (ValueError, IndexError):
        raise TrialError(f"{' '.join(command)}: {output[-400:]}") from None
    return Result(**fields)


def _run(
    command: list[str], tree: pathlib.Path, extra: dict[str, str] | None = None
) -> str:
    output = subprocess.run(
        command,
        cwd=tree,
        env=os.environ | (extra or {}),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )
    return output.stdout
