"""Reads JSON that others have written, within bounds of depth and size of numbers.

A response of the store has objects of many writers. Readers of JSON give up the whole
text at a value that is nested too deeply or at an integer with too many digits, so that
one object would hide all others. Here such a value becomes `Unreadable`, and the rest
is read.

A sound text is read in one pass. Only if that fails, what is nested too deeply is cut
out, which needs no more than the brackets, and the rest is read by the standard library
with hooks for what it can't represent. Everything the first pass accepts is within the
bounds of the second: whether an object is readable never depends on the others.
"""

import dataclasses
import json
import re
import typing

import pydantic_core

__all__ = ["Document", "Unreadable", "first_unreadable", "loads"]

# Deeper than any real value, deeper than the first pass reads, and so low that code
# that is recursive over a value stays within the interpreter's limit.
_MAX_DEPTH = 256
# Stands for a value that was cut out. JSON has no infinity, so no sound value is lost.
_CUT = "Infinity"
# Text without brackets outside of strings, and then a run of opening or of closing
# brackets or the end. Its groups never give back what they have matched, which keeps
# the time linear; a string that does not end is taken to extend to the end.
_SECTION = re.compile(
    r"""((?:[^\[\]{}"]++|"[^"\\]*+(?:\\(?:.|\Z)[^"\\]*+)*+(?:"|\Z))*+)"""
    r"""([\[{]++|[\]}]++|\Z)""",
    re.DOTALL,
)
_OPENING = ("[", "{")


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """A value that exceeds the bounds, or that JSON does not have."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A text that was read.

    Attributes:
        value: Its value, parts of which may be `Unreadable`.
        is_whole: Whether all of it was readable.
    """

    value: typing.Any
    is_whole: bool


def loads(content: bytes) -> Document:
    """Read a text; raises `ValueError` if it is not JSON."""
    try:
        return Document(pydantic_core.from_json(content, allow_inf_nan=False), True)
    except ValueError:
        # Invalid UTF-8 in one object must not make all others unreadable.
        text = _without_deep_values(content.decode("utf-8", "replace"))
        value = json.loads(text, parse_int=_integer, parse_constant=_constant)
        return Document(value, False)


def first_unreadable(value: typing.Any) -> Unreadable | None:
    """Return an unreadable part of a value, or None if all of it is readable."""
    pending = [value]
    while pending:
        item = pending.pop()
        if isinstance(item, Unreadable):
            return item
        if isinstance(item, str) and not _is_encodable(item):
            return Unreadable("text with an unpaired surrogate")
        if isinstance(item, dict):
            pending += [*item.keys(), *item.values()]
        elif isinstance(item, list):
            pending += item
    return None


def _without_deep_values(text: str) -> str:
    """Replace each value that is nested more than `_MAX_DEPTH` levels deep."""
    kept = []
    depth = 0
    for section in _SECTION.finditer(text):
        between, brackets = section.groups()
        is_opening = brackets[:1] in _OPENING
        if depth <= _MAX_DEPTH:
            kept.append(between)
        elif is_opening:
            depth += len(brackets)
            continue
        if is_opening:
            deepest = depth + len(brackets)
            kept.append(brackets[: max(0, _MAX_DEPTH - depth)])
            if deepest > _MAX_DEPTH:
                kept.append(_CUT)
            depth = deepest
        else:
            kept.append(brackets[max(0, depth - _MAX_DEPTH) :])
            depth -= len(brackets)
    return "".join(kept)


def _integer(text: str) -> int | Unreadable:
    try:
        return int(text)
    except ValueError:
        return Unreadable(f"integer of {len(text)} characters")


def _constant(name: str) -> Unreadable:
    if name == _CUT:
        return Unreadable(f"nested more than {_MAX_DEPTH} levels deep, or {name}")
    return Unreadable(f"{name} is not a JSON value")


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
