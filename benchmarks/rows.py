"""Rows of benchmark results, printed as a table and written as JSON."""

import dataclasses
import json
import pathlib
import typing

__all__ = ["BUILD", "Row", "print_table", "write_rows"]

BUILD = pathlib.Path("build")


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One figure and its target; `target` is None if there is no target."""

    name: str
    value: float
    unit: str
    target: float | None = None
    lower_is_better: bool = True

    @property
    def verdict(self) -> str:
        """The word for whether the target is met; empty without a target."""
        if self.target is None:
            return ""
        if self.lower_is_better:
            return "met" if self.value <= self.target else "MISSED"
        return "met" if self.value >= self.target else "MISSED"


def print_table(rows: typing.Iterable[Row]) -> None:
    """Print rows as aligned columns."""
    for row in rows:
        target = "" if row.target is None else f"target {row.target:g}"
        print(f"{row.name:56} {row.value:10.3f} {row.unit:6} {target:12} {row.verdict}")


def write_rows(name: str, rows: typing.Iterable[typing.Any]) -> pathlib.Path:
    """Write data class rows to `build/NAME.json`."""
    BUILD.mkdir(exist_ok=True)
    path = BUILD / f"{name}.json"
    data = [dataclasses.asdict(row) for row in rows]
    path.write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")
    return path
