"""Says what one fleet document would change of another, for operators to read."""

import dataclasses
import typing

from pimentolatch.document import schema

__all__ = ["Added", "Change", "Changed", "Removed", "compare"]

Json = typing.Any
# Keys of callers are secrets' hashes; that one differs is all an operator needs.
_SECRET_FIELDS = frozenset({"key_sha256"})
_MAX_SHOWN_LENGTH = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Added:
    """An entry that only the later document has; `path` is like `models.badge`."""

    path: str

    def __str__(self) -> str:
        return f"+ {self.path}"


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """An entry that only the earlier document has."""

    path: str

    def __str__(self) -> str:
        return f"- {self.path}"


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """A field that differs."""

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        return f"~ {self.path}: {self.before} -> {self.after}"


Change = Added | Removed | Changed


def compare(
    before: schema.FleetDocument, after: schema.FleetDocument
) -> tuple[Change, ...]:
    """Return what replacing `before` by `after` changes, in the document's order.

    Entries of lists are told apart by their names, so a different order of equal
    entries is no change.
    """
    return tuple(
        _compare_mappings(
            "", before.model_dump(mode="json"), after.model_dump(mode="json")
        )
    )


def _compare_values(path: str, before: Json, after: Json) -> list[Change]:
    if before == after:
        return []
    if isinstance(before, dict) and isinstance(after, dict):
        return _compare_mappings(path, before, after)
    if _is_named(before) and _is_named(after):
        return _compare_mappings(path, _by_name(before), _by_name(after))
    field = path.rpartition(".")[2]
    if field in _SECRET_FIELDS:
        return [Changed(path, "(hidden)", "(another)")]
    return [Changed(path, _shorten(before), _shorten(after))]


def _compare_mappings(
    path: str, before: dict[str, Json], after: dict[str, Json]
) -> list[Change]:
    found: list[Change] = []
    for name in dict.fromkeys((*before, *after)):
        inner = f"{path}.{name}" if path else name
        if name not in after:
            found.append(Removed(inner))
        elif name not in before:
            found.append(Added(inner))
        else:
            found += _compare_values(inner, before[name], after[name])
    return found


def _is_named(value: Json) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, dict) and "name" in item for item in value
    )


def _by_name(value: list[dict[str, Json]]) -> dict[str, Json]:
    return {item["name"]: item for item in value}


def _shorten(value: Json) -> str:
    text = repr(value)
    return text if len(text) <= _MAX_SHOWN_LENGTH else text[:_MAX_SHOWN_LENGTH] + "..."
