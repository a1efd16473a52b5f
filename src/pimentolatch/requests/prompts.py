"""What a model request asks to be read and written."""

import dataclasses

__all__ = ["Part", "Prompt"]


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A run of tokens that other prompts may share; its name stands for its text."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt by its parts, in order; the last part is the request's own.

    Attributes:
        tokens: Tokens of the whole prompt.
        most_output: Tokens that may be written at most.
        expected_output: Tokens that the client expects; often far off.
    """

    model: str
    tokens: int
    most_output: int
    expected_output: int
    parts: tuple[Part, ...]
