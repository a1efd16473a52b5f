"""Reads JSON with comments and checks it against a model, with helpful errors."""

import dataclasses
import pathlib
import typing

import jsonc
import pydantic

__all__ = [
    "CheckedModel",
    "InputProblem",
    "Problems",
    "check_text",
    "check_value",
    "read_file",
]

_MAX_VALUE_LENGTH = 60


class CheckedModel(pydantic.BaseModel):
    """Base of all checked input: immutable, and strict about unknown fields."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")


ModelT = typing.TypeVar("ModelT", bound=CheckedModel)


@dataclasses.dataclass(frozen=True, slots=True)
class InputProblem:
    """One thing wrong with an input.

    Attributes:
        field: Path of the field, such as `backend_servers.3.port`.
        value: The value found, shortened for display.
        advice: What is allowed instead.
    """

    field: str
    value: str
    advice: str

    def __str__(self) -> str:
        return f"{self.field}: found {self.value}; {self.advice}"


@dataclasses.dataclass(frozen=True, slots=True)
class Problems:
    """The outcome of a check that failed; at least one problem."""

    problems: tuple[InputProblem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


def _shorten(value: object) -> str:
    text = repr(value)
    if len(text) <= _MAX_VALUE_LENGTH:
        return text
    return text[:_MAX_VALUE_LENGTH] + "..."


def check_value(model: type[ModelT], value: object) -> ModelT | Problems:
    """Check parsed input against a model.

    Args:
        model: The model the input must satisfy.
        value: Parsed JSON.

    Returns:
        The checked model, or every problem found.
    """
    try:
        return model.model_validate(value)
    except pydantic.ValidationError as error:
        found = error.errors(include_url=False, include_context=False)
    return Problems(
        tuple(
            InputProblem(
                field=".".join(str(part) for part in item["loc"]) or "(whole input)",
                value=_shorten(item["input"]),
                advice=item["msg"],
            )
            for item in found
        )
    )


def check_text(model: type[ModelT], text: str) -> ModelT | Problems:
    """Parse JSON with comments and check it against a model."""
    try:
        value = jsonc.loads(text)
    except (ValueError, RecursionError) as error:
        problem = InputProblem(
            "(whole input)", _shorten(text), f"must be JSON with comments: {error}"
        )
        return Problems((problem,))
    return check_value(model, value)


def read_file(model: type[ModelT], path: pathlib.Path) -> ModelT | Problems:
    """Read and check a file; a file that can't be read is a problem too."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = InputProblem(str(path), "no text", f"must be readable: {error}")
        return Problems((problem,))
    return check_text(model, text)
