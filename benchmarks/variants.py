"""Copies of the source tree in which some constants have other values.

The benefit of a mechanism is measured by running the same load with and without it.
Most mechanisms depend on one constant, so a copy with another value disables them. The
product itself needs no switch, which could be left in the wrong position.
"""

import dataclasses
import pathlib
import re
import shutil
from collections import abc

__all__ = ["Override", "Variant", "copy_tree", "parse"]

# Not needed in a copy: history, results, caches and installed packages.
_NOT_COPIED = (
    ".git",
    "journal",
    "build",
    ".venv",
    "__pycache__",
    "*.egg-info",
    ".*_cache",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Override:
    """A new value for a constant.

    Attributes:
        module: Dotted name below `pimentolatch`, such as `decisions.placement`.
        name: The constant; it must be assigned at the beginning of a line.
        value: Its new value, as source text.
    """

    module: str
    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """A named set of overrides; without any it is the unchanged code.

    Attributes:
        source: Another tree to copy from; None for the one given to `copy_tree`.
    """

    name: str
    overrides: tuple[Override, ...] = ()
    source: pathlib.Path | None = None


def parse(text: str) -> Variant:
    """Return the variant that a text such as `x=decisions.placement._LATE_MS=5` names.

    Several overrides are separated by semicolons. `name=@PATH` names another tree.

    Raises:
        ValueError: An override has no module, constant or value.
    """
    name, _, rest = text.partition("=")
    if rest.startswith("@"):
        return Variant(name, source=pathlib.Path(rest[1:]))
    overrides = []
    for part in filter(None, rest.split(";")):
        constant_path, _, value = part.partition("=")
        module, _, constant = constant_path.strip().rpartition(".")
        if not (module and constant and value):
            raise ValueError(f"{part!r} must have the form module.CONSTANT=value")
        overrides.append(Override(module, constant, value.strip()))
    return Variant(name, tuple(overrides))


def copy_tree(
    root: pathlib.Path,
    variant: Variant,
    destination: pathlib.Path,
    *,
    built: bool = False,
) -> None:
    """Copy a source tree to `destination` and apply a variant's overrides there.

    Args:
        root: The tree to copy, if the variant names no other.
        variant: The overrides to apply.
        destination: Path of the copy; it must not exist.
        built: Also copy what the users' bench has built, so that it does not install
            the libraries again.

    Raises:
        ValueError: A constant is not assigned exactly once in its module.
    """
    shutil.copytree(
        variant.source or root,
        destination,
        ignore=shutil.ignore_patterns(*_NOT_COPIED, *([] if built else ["target"])),
        symlinks=True,
    )
    for override in variant.overrides:
        _apply(destination, override)


def _apply(destination: pathlib.Path, override: Override) -> None:
    module_path: abc.Sequence[str] = override.module.split(".")
    path = destination.joinpath("src", "pimentolatch", *module_path).with_suffix(".py")
    text = path.read_text(encoding="utf-8")
    assigned = re.compile(rf"^{re.escape(override.name)}(: [^=\n]+)? = .*$", re.M)
    new_text, count = assigned.subn(f"{override.name} = {override.value}", text)
    if count != 1:
        raise ValueError(
            f"{override.name} must be assigned once at the beginning of a line, "
            f"but is assigned {count} times in {path.name}"
        )
    path.write_text(new_text, encoding="utf-8")
