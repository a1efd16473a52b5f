"""Measures requests by the engine time they take, before and after they ran.

Load pattern: a long briefing of 16,000 prompt tokens beside badge drafts of 200.
Counted as requests the two are equal, so whoever sends the long ones gets eighty times
the engine time and every wait is predicted wrong.

Grounds: an engine reads a prompt several times faster than it writes an answer, so a
token of output weighs `prefill rate / decode rate` prompt tokens (6.7 at the
document's default rates). Callers state the longest answer they allow, not the one
they get; the mean of the last answers to prompts of about the same length predicts the
next one. One mean for drafts and briefings would be wrong for both. An answer without
history counts as 256 tokens, the default of the request form.
"""

import collections
import dataclasses
import datetime
from collections import abc

from pimentolatch.document import schema

__all__ = ["OutputEstimates", "Work", "output_weight", "prompt_tokens"]

CHARACTERS_PER_TOKEN = 4
_FIRST_ESTIMATE_TOKENS = 256
_MEMORY = 0.2
_ESTIMATES = 20_000

_Key = tuple[str, str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Tokens of a request that are still to be read and written."""

    prompt_tokens: int = 0
    output_tokens: int = 0

    def units(self, weight: float) -> float:
        """Return the work in prompt tokens; `weight` is that of an output token."""
        return self.prompt_tokens + weight * self.output_tokens

    def run_time(self, engine: schema.Engine, streams: int) -> datetime.timedelta:
        """Return the time on an engine that batches `streams` streams."""
        reading = self.prompt_tokens / engine.prefill_tokens_per_s
        writing = self.output_tokens * streams / engine.decode_tokens_per_s
        return datetime.timedelta(seconds=reading + writing)


def prompt_tokens(prompt: str) -> int:
    """Return the approximate number of tokens of a prompt."""
    return max(1, len(prompt) // CHARACTERS_PER_TOKEN)


def output_weight(engines: abc.Sequence[schema.Engine]) -> float:
    """Return the prompt tokens that take as long as one token of output."""
    prefill = sum(engine.prefill_tokens_per_s for engine in engines)
    decode = sum(engine.decode_tokens_per_s for engine in engines)
    return prefill / decode if decode else 1.0


class OutputEstimates:
    """Predicts the length of answers by caller, model and length of the prompt.

    The table forgets whoever was not seen for longest, so its size is bounded.
    """

    def __init__(self) -> None:
        self._means: collections.OrderedDict[_Key, float] = collections.OrderedDict()

    def expected(self, caller: str, model: str, prompt: int, max_tokens: int) -> int:
        """Return the expected length of an answer, in tokens."""
        key = caller, model, _length_class(prompt)
        mean = self._means.get(key, _FIRST_ESTIMATE_TOKENS)
        return max(1, min(max_tokens, round(mean)))

    def observe(self, caller: str, model: str, prompt: int, tokens: int) -> None:
        """Learn from an answer that ended by itself; `prompt` is in tokens."""
        key = caller, model, _length_class(prompt)
        before = self._means.get(key, float(tokens))
        self._means[key] = before + _MEMORY * (tokens - before)
        self._means.move_to_end(key)
        if len(self._means) > _ESTIMATES:
            self._means.popitem(last=False)


def _length_class(tokens: int) -> int:
    """Return a class in which lengths differ by less than four times."""
    return tokens.bit_length() // 2
