"""Human-readable differences between two fleet documents."""

import dataclasses
import typing

from pimentolatch.document import schema

__all__ = ["Added", "Change", "Changed", "Removed", "compare"]

Json = typing.Any
# Hashes of callers' secret keys: shown as changed, without their values.
_SECRET_FIELDS = frozenset({"key_sha256"})
_MAX_SHOWN_LENGTH = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Added:
    """An entry that only the later document has.

    Attributes:
        path: Names of the entry and those around it, for example `models.badge`.
    """

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
    """A field with different values."""

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        return f"~ {self.path}: {self.before} -> {self.after}"


Change = Added | Removed | Changed


def compare(
    before: schema.FleetDocument, after: schema.FleetDocument
) -> tuple[Change, ...]:
    """Return the changes from `before` to `after`, in the document's order.

    Entries of lists are matched by name, so reordering them is no change.
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
