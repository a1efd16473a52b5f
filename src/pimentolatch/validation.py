"""Parses JSON with comments and validates it against a model."""

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
    """Base of models for validated input: immutable, rejects unknown fields."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")


ModelT = typing.TypeVar("ModelT", bound=CheckedModel)


@dataclasses.dataclass(frozen=True, slots=True)
class InputProblem:
    """One validation error.

    Attributes:
        field: Path of the field, such as `backend_servers.3.port`.
        value: Invalid value, shortened for display.
        advice: What is allowed instead.
    """

    field: str
    value: str
    advice: str

    def __str__(self) -> str:
        return f"{self.field}: found {self.value}; {self.advice}"


@dataclasses.dataclass(frozen=True, slots=True)
class Problems:
    """Result of a failed validation: at least one error."""

    problems: tuple[InputProblem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


def _shorten(value: object) -> str:
    text = repr(value)
    if len(text) <= _MAX_VALUE_LENGTH:
        return text
    return text[:_MAX_VALUE_LENGTH] + "..."


def check_value(model: type[ModelT], value: object) -> ModelT | Problems:
    """Validate parsed input against a model.

    Args:
        model: Model that the input must satisfy.
        value: Parsed JSON.

    Returns:
        The validated model, or every error found.
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
    """Parse JSON with comments and validate it against a model."""
    try:
        value = jsonc.loads(text)
    except (ValueError, RecursionError) as error:
        problem = InputProblem(
            "(whole input)", _shorten(text), f"must be JSON with comments: {error}"
        )
        return Problems((problem,))
    return check_value(model, value)


def read_file(model: type[ModelT], path: pathlib.Path) -> ModelT | Problems:
    """Read and validate a file; a file that can't be read gives `Problems` too."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = InputProblem(str(path), "no text", f"must be readable: {error}")
        return Problems((problem,))
    return check_text(model, text)
