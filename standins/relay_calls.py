"""Messages between the process of the relays and the one that started it."""

import dataclasses
import typing
from collections import abc

__all__ = ["Call", "Reply"]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A method of the engine to call, and its arguments."""

    method: abc.Callable[..., abc.Coroutine[typing.Any, typing.Any, typing.Any]]
    arguments: tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What a called method has returned, or the error that it has raised."""

    result: typing.Any = None
    error: OSError | None = None
