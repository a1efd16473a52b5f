"""Measures requests by the engine time they take, estimated or actual.

Load pattern: a prompt of 16,000 tokens beside prompts of 200. Counted as requests the
two are equal, so a caller that sends the long ones gets eighty times the engine time
and every wait is predicted wrong.

Grounds: an engine prefills several times faster than it decodes, so an output token
weighs `prefill rate / decode rate` prompt tokens (6.7 at the document's default rates).
Callers state the longest answer they allow, not the one they get; the mean of the last
answers to prompts of about the same length predicts the next one. One mean for short
and long prompts would be wrong for both. An answer without history counts as 256
tokens, the default of the request form.
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
    """Tokens of a request that are still to be prefilled and decoded."""

    prompt_tokens: int = 0
    output_tokens: int = 0

    def units(self, weight: float) -> float:
        """Return the work in prompt tokens; `weight` is that of an output token."""
        return self.prompt_tokens + weight * self.output_tokens

    def run_time(self, engine: schema.Engine, streams: int) -> datetime.timedelta:
        """Return the run time on an engine that batches `streams` streams."""
        prefill_s = self.prompt_tokens / engine.prefill_tokens_per_s
        decode_s = self.output_tokens * streams / engine.decode_tokens_per_s
        return datetime.timedelta(seconds=prefill_s + decode_s)


def prompt_tokens(prompt: str) -> int:
    """Return the approximate number of tokens of a prompt."""
    return max(1, len(prompt) // CHARACTERS_PER_TOKEN)


def output_weight(engines: abc.Sequence[schema.Engine]) -> float:
    """Return the prompt tokens that take as long as one output token."""
    prefill = sum(engine.prefill_tokens_per_s for engine in engines)
    decode = sum(engine.decode_tokens_per_s for engine in engines)
    return prefill / decode if decode else 1.0


class OutputEstimates:
    """Predicts the length of answers by caller, model and prompt length.

    The table is bounded; the least recently updated entries are evicted.
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
    """Return a class of lengths that differ by less than a factor of four."""
    return tokens.bit_length() // 2
