"""Bar charts of the role planning benchmark."""

import pathlib
import typing
from collections import abc

import matplotlib.figure

from benchmarks import scores

__all__ = ["draw"]

_WIDTH = 0.2


def draw(rows: abc.Sequence[scores.Row], folder: pathlib.Path) -> None:
    """Write a PNG of goodput and one of role changes to a folder."""
    _bars(rows, "answered_share", "share answered in time", folder / "goodput.png")
    _bars(rows, "role_changes", "role changes per run", folder / "role-changes.png")


def _bars(
    rows: abc.Sequence[scores.Row], field: str, label: str, path: pathlib.Path
) -> None:
    groups = list(dict.fromkeys((row.deployment, row.pattern) for row in rows))
    names = list(dict.fromkeys(row.policy for row in rows))
    figure = matplotlib.figure.Figure(figsize=(9, 3.5), layout="constrained")
    axes: typing.Any = figure.subplots()
    for number, policy in enumerate(names):
        chosen = [row for row in rows if row.policy == policy]
        left = [group + number * _WIDTH for group in range(len(chosen))]
        heights = [getattr(row, field) for row in chosen]
        axes.bar(left, heights, width=_WIDTH, label=policy)
    middles = [group + _WIDTH * (len(names) - 1) / 2 for group in range(len(groups))]
    axes.set_xticks(middles, [f"{name}\n{pattern}" for name, pattern in groups])
    axes.set_ylabel(label)
    axes.legend(ncols=len(names), loc="upper center", bbox_to_anchor=(0.5, 1.15))
    figure.savefig(path, dpi=80)
