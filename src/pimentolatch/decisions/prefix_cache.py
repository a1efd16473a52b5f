"""Remembers which parts of prompts one engine keeps in its prefix cache.

Load pattern: a part that an engine has read is kept there until memory runs out, and
reading it again elsewhere costs as much as a new prompt. What was sent where is known
at once; the engine's own events of it come late and with gaps. Parts are taken to
yield in the order in which they were last used, as far as instances tell each other.
"""

import collections

from pimentolatch.requests import prompts

__all__ = ["PrefixCache"]

# Part of an engine's memory that is taken to hold shared parts; running requests take
# the rest first.
_SHARED_PART_SHARE = 0.75


class PrefixCache:
    """Parts that one engine keeps, by their keys; the least lately used ones yield."""

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[int, int] = collections.OrderedDict()
        self._tokens = 0

    def cached_tokens(self, prompt: prompts.Prompt) -> int:
        """Return the tokens at the beginning of a prompt that the engine keeps.

        A kept part saves its tokens only if every part before it is kept too.
        """
        cached = 0
        for part in prompt.parts:
            if prompts.part_key(part.name) not in self._parts:
                break
            cached += part.tokens
        return min(cached, prompt.tokens)

    def add(self, part: int, tokens: int, capacity_tokens: int) -> bool:
        """Note that the engine keeps a part.

        Args:
            part: Key of the part.
            tokens: Its tokens.
            capacity_tokens: Tokens that fit the engine's memory.

        Returns:
            Whether this was not known.
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
        """Note that the engine keeps all parts of a prompt; see `keep`."""
        for part in prompt.parts:
            self.add(prompts.part_key(part.name), part.tokens, capacity_tokens)
