"""Chooses where a prompt is read and where its answer is written.

Load pattern: prompts of twelve thousand tokens beside prompts of three hundred, their
shares turning over within seconds. Read where the answers are written, a long prompt
stops the streams there for longer than the pause that callers accept. Read apart, its
memory crosses a link, which costs most between failure domains. Without one choice of
both servers, each half is cheap and the pair is dear.

The choice adds up, in milliseconds, what a pair of servers costs: the wait for the
prompts ahead, the reading of what the server does not keep, a charge for each shared
token that is read again and for each token that crosses a link. Prompts are read in
place only when they are short and few are being read there, so that the streams of
that server go on within their pause.

Shared parts come back to the engine that read them, which the charge for reading again
sees to. A part that nobody has read goes to the engine that ranks highest for it, so
that instances which have not heard of one another's prompts meet on the same engine.
"""

import dataclasses
import datetime

from pimentolatch.decisions import engine_loads, subset
from pimentolatch.requests import prompts
from pimentolatch.routes import servers, table

__all__ = ["Apart", "Hopeless", "InPlace", "Place", "Placement", "fullness"]

# Charge of a shared token that is read again, on top of the time it takes: reading
# again what another engine keeps takes the time of others in the queue.
_READ_AGAIN_MS = 0.02
# Charge of a token whose memory crosses a link, and the factor between domains.
_MOVED_MS = 0.002
_FAR_FACTOR = 3.0
# Charge of an answer whose server stands in another failure domain.
_FOREIGN_MS = 5.0
# Charge of an engine that is not first in the ranking for the prompt's shared part.
_RANK_MS = 20.0
# A prompt that is read in place delays the streams there. This many unread tokens may
# wait at an engine that writes, so that no pause grows past what callers accept.
_IN_PLACE_TOKENS = 2000
# Charge for the streams that a server already writes, as a whole batch.
_BATCH_MS = 150.0
# Above this share of its slots or memory an engine sets streams back or lets them wait;
# the charge grows so fast that only an engine that is as full is chosen.
_FULL = 0.85
_OVERFULL_MS = 4000.0


@dataclasses.dataclass(frozen=True, slots=True)
class InPlace:
    """Read and write on one engine."""

    engine: engine_loads.EngineLoad
    tokens: int
    expected: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Apart:
    """Read on one engine, write on another."""

    reader: engine_loads.EngineLoad
    engine: engine_loads.EngineLoad
    tokens: int
    expected: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Hopeless:
    """No engine can give a first event in time.

    Attributes:
        retry_after: When the queue is expected to have room.
    """

    retry_after: datetime.timedelta


Place = InPlace | Apart | Hopeless


class Placement:
    """Chooses engines for one model service.

    Args:
        loads: Work of the engines.
        own_domain: Failure domain of this instance.
    """

    def __init__(self, loads: engine_loads.EngineLoads, own_domain: str) -> None:
        self._loads = loads
        self._domain = own_domain

    def choose(
        self,
        prompt: prompts.Prompt,
        traits: table.EngineTraits,
        now: datetime.timedelta,
        *,
        patience: datetime.timedelta,
        without: frozenset[str] = frozenset(),
    ) -> Place:
        """Return where to send a prompt.

        Args:
            prompt: What is to be read.
            traits: The service's engines.
            now: The time.
            patience: The first event must come within this time.
            without: Engines that have failed the request.
        """
        writers = self._loads.usable(servers.Stage.DECODE, now, without)
        readers = self._loads.usable(servers.Stage.PREFILL, now, without)
        if not writers:
            return Hopeless(datetime.timedelta(seconds=1))
        ranks = _ranks(prompt, readers)
        best: tuple[float, Place] | None = None
        for writer in writers:
            base = self._writer_cost(writer, traits, now)
            for cost, place in self._in_place(writer, prompt, now):
                if best is None or base + cost < best[0]:
                    best = (base + cost, place)
            for reader in readers:
                cost, place = self._apart(reader, writer, prompt, now)
                cost += base + ranks[reader.server.server_id]
                if best is None or cost < best[0]:
                    best = (cost, place)
        if best is None:
            return Hopeless(datetime.timedelta(seconds=1))
        place = best[1]
        assert not isinstance(place, Hopeless)
        if place.expected > patience:
            return Hopeless(place.expected - patience)
        return place

    def _writer_cost(
        self,
        writer: engine_loads.EngineLoad,
        traits: table.EngineTraits,
        now: datetime.timedelta,
    ) -> float:
        full = fullness(writer, traits, now)
        cost = _BATCH_MS * full
        if full > _FULL:
            cost += _OVERFULL_MS * (full - _FULL)
        if writer.server.failure_domain != self._domain:
            cost += _FOREIGN_MS
        return cost

    def _in_place(
        self,
        writer: engine_loads.EngineLoad,
        prompt: prompts.Prompt,
        now: datetime.timedelta,
    ) -> list[tuple[float, Place]]:
        tokens = writer.unread(prompt)
        ahead = writer.all_reading(now)
        if ahead + tokens > _IN_PLACE_TOKENS:
            return []
        rate = self._loads.reading_rate / engine_loads.IN_PLACE_SLOWNESS
        milliseconds = (ahead + tokens) / rate
        # The streams there wait for it too.
        cost = 2 * milliseconds + _READ_AGAIN_MS * _shared_unread(writer, prompt)
        expected = datetime.timedelta(milliseconds=milliseconds)
        return [(cost, InPlace(writer, tokens, expected))]

    def _apart(
        self,
        reader: engine_loads.EngineLoad,
        writer: engine_loads.EngineLoad,
        prompt: prompts.Prompt,
        now: datetime.timedelta,
    ) -> tuple[float, Place]:
        tokens = reader.unread(prompt)
        milliseconds = (reader.all_reading(now) + tokens) / self._loads.reading_rate
        moved = writer.unread(prompt) * _MOVED_MS
        if reader.server.failure_domain != writer.server.failure_domain:
            moved *= _FAR_FACTOR
        cost = milliseconds + moved + _READ_AGAIN_MS * _shared_unread(reader, prompt)
        expected = datetime.timedelta(milliseconds=milliseconds)
        return cost, Apart(reader, writer, tokens, expected)


def fullness(
    writer: engine_loads.EngineLoad,
    traits: table.EngineTraits,
    now: datetime.timedelta,
) -> float:
    """Return the used share of an engine's slots or memory, whichever is scarcer."""
    slots = writer.all_writing(now) / max(1, traits.slots)
    return max(slots, writer.all_held(now) / max(1, traits.kv_tokens))


def _shared_unread(engine: engine_loads.EngineLoad, prompt: prompts.Prompt) -> int:
    own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
    return max(0, engine.unread(prompt) - own)


def _ranks(
    prompt: prompts.Prompt, readers: list[engine_loads.EngineLoad]
) -> dict[str, float]:
    """Return a small charge by how low an engine ranks for the shared part."""
    shared = prompt.parts[-2].name if len(prompt.parts) > 1 else prompt.model
    names = sorted(
        (reader.server.server_id for reader in readers),
        key=lambda name: subset.rank(name, shared),
        reverse=True,
    )
    return {name: _RANK_MS * min(place, 2) for place, name in enumerate(names)}
