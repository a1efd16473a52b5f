"""Estimates which prompt parts one engine has in its prefix cache.

Load pattern: a part that an engine has prefilled stays cached there until memory runs
out, and recomputing it elsewhere costs as much as a new prompt. An instance knows at
once what it dispatched where; the engine's own cache events come late and with gaps.
Eviction is assumed to be least recently used first, by the uses that instances report
to each other.
"""

import collections

from pimentolatch.requests import prompts

__all__ = ["PrefixCache"]

# Share of an engine's KV memory assumed to hold shared parts; running requests take the
# rest first.
_SHARED_PART_SHARE = 0.75


class PrefixCache:
    """Cached parts of one engine by key, evicted least recently used first."""

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[int, int] = collections.OrderedDict()
        self._tokens = 0

    def cached_tokens(self, prompt: prompts.Prompt) -> int:
        """Return the length of a prompt's prefix that the engine has cached, in tokens.

        A cached part saves its tokens only if every part before it is cached too.
        """
        cached = 0
        for part in prompt.parts:
            if prompts.part_key(part.name) not in self._parts:
                break
            cached += part.tokens
        return min(cached, prompt.tokens)

    def add(self, part: int, tokens: int, capacity_tokens: int) -> bool:
        """Record that the engine has a part cached.

        Args:
            part: Key of the part.
            tokens: Tokens of the part.
            capacity_tokens: Tokens that fit the engine's KV memory.

        Returns:
            Whether this was not known before.
        """
        known = part in self._parts
        if known:
            self._parts.move_to_end(part)
        else:
            self._parts[part] = tokens
            self._tokens += tokens
        while self._tokens > capacity_tokens * _SHARED_PART_SHARE and self._parts:
            _, evicted = self._parts.popitem(last=False)
            self._tokens -= evicted
        return not known

    def add_prompt(self, prompt: prompts.Prompt, capacity_tokens: int) -> None:
        """Record that the engine has all parts of a prompt cached; see `add`."""
        for part in prompt.parts:
            self.add(prompts.part_key(part.name), part.tokens, capacity_tokens)
