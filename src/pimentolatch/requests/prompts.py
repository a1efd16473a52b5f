"""What a model request asks to be read and written."""

import dataclasses
import functools
import hashlib

__all__ = ["Part", "Prompt", "part_key"]


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
    max_output: int
    expected_output: int
    parts: tuple[Part, ...]


@functools.lru_cache(maxsize=65_536)
def part_key(name: str) -> int:
    """Return a short key of a part, alike in every instance.

    Ten thousand parts are in use at a time; two of them share one of four billion keys
    about once in a hundred such times, and then one is taken for kept where it is not.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")
