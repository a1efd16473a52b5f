"""Prompts of model requests and the shared parts they consist of."""

import dataclasses
import functools
import hashlib

__all__ = ["Part", "Prompt", "part_key"]


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A sequence of tokens that prompts may share, identified by its name."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt as a sequence of parts; the last one is specific to the request.

    Attributes:
        tokens: Tokens of the whole prompt.
        max_output: Limit on the number of generated tokens.
        expected_output: Output tokens expected by the client; often far off.
    """

    model: str
    tokens: int
    max_output: int
    expected_output: int
    parts: tuple[Part, ...]

    @property
    def shared_names(self) -> tuple[str, ...]:
        """Names of the parts that other requests may share."""
        return tuple(part.name for part in self.parts[:-1])


@functools.lru_cache(maxsize=65_536)
def part_key(name: str) -> int:
    """Return a 32-bit key of a part, equal at all instances.

    With ten thousand parts in use at a time, two of them collide with a probability of
    about one in a hundred. Then one of the two may be taken for cached where it is not.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")
