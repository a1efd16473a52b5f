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
sees to, and to their home (`homes`), where instances that have not heard of one
another's prompts meet. When that engine has a queue, another one fetches them from it,
which costs a few milliseconds of a link where reading takes a hundred of an engine.
"""

import dataclasses
import datetime
import math
from collections import abc

from pimentolatch.decisions import engine_loads, homes, places, urgency
from pimentolatch.requests import prompts
from pimentolatch.routes import servers, table

__all__ = ["Placement", "fullness"]

# Charge of a shared token that is read again, on top of the time it takes: reading
# again what another engine keeps takes the time of others in the queue.
_READ_AGAIN_MS = 0.035
# Charge of a token whose memory crosses a link, and the factor between domains.
_MOVED_MS = 0.002
_FAR_FACTOR = 3.0
# Charge of an answer whose server stands in another failure domain.
_FOREIGN_MS = 5.0
# The same, and for a reading engine too, in a fleet where not everybody hears
# everybody: what is known of far engines is half a second old, so that an engine that
# looks idle is chosen by many at once.
_FAR_MS = 60.0
# A prompt that is read in place delays the streams there. This many unread tokens may
# wait at an engine that writes, so that no pause grows past what callers accept. With
# no engine left that reads for others there is no bound: late answers are better than
# none.
_IN_PLACE_TOKENS = 2000
# Charge for the streams that a server already writes, as a whole batch.
_BATCH_MS = 150.0
# Charge of a first event that comes too late to be on time.
_LATE_MS = 300.0
# From the end of reading to the first event: on the same engine, and on another one.
_FIRST_STEP_MS = 30.0
_HANDOVER_MS = 60.0
# Requests that are refused in one burst are told different times to come back, or they
# would meet again; sooner than the first figure no queue is shorter.
_LEAST_RETRY = datetime.timedelta(milliseconds=200)
_RETRY_SPREAD = 0.5
# Above this share of its slots or memory an engine sets streams back or lets them wait;
# the charge grows so fast that only an engine that is as full is chosen.
_FULL = 0.85
_OVERFULL_MS = 4000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Donor:
    """An engine that keeps the first `tokens` tokens of a prompt."""

    engine: engine_loads.EngineLoad
    tokens: int


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
        asked: places.Asked,
        traits: table.EngineTraits,
        now: datetime.timedelta,
        without: frozenset[servers.Incarnation] = frozenset(),
    ) -> places.Place:
        """Return where to send a prompt.

        Args:
            asked: The prompt and its time.
            traits: The service's engines.
            now: The time.
            without: Engines that have failed the request.
        """
        writers = self._loads.usable(servers.Stage.DECODE, now, without)
        readers = self._loads.usable(servers.Stage.PREFILL, now, without)
        found = list(self._places(asked, traits, now, writers, readers))
        if not found:
            return places.NoEngine()
        # The charge for leaving a home may be longer than clients wait: by cost alone a
        # prompt would be refused for its home's queue while other engines are idle.
        in_time = [item for item in found if item[1].expected <= asked.patience]
        if in_time:
            return min(in_time, key=lambda item: item[0])[1]
        over = min(place.expected for _, place in found) - asked.patience
        return places.Hopeless(
            max(over, _LEAST_RETRY) * (1 + _RETRY_SPREAD * asked.lot)
        )

    def choose_writer(
        self,
        prompt: prompts.Prompt,
        reader: engine_loads.EngineLoad,
        traits: table.EngineTraits,
        now: datetime.timedelta,
        without: frozenset[servers.Incarnation] = frozenset(),
    ) -> engine_loads.EngineLoad | None:
        """Return where to write the answer to a prompt that was just read.

        Reading takes up to seconds. The engine that was the best when it began may be
        full by now, or leaving: then it must not get the request any more.
        """
        writers = self._loads.usable(servers.Stage.DECODE, now, without)
        if not writers:
            return None
        costs = {w.server.server_id: self._writer_cost(w, traits, now) for w in writers}
        return _best_writer(writers, costs, prompt, reader.server.failure_domain)[1]

    def _places(
        self,
        asked: places.Asked,
        traits: table.EngineTraits,
        now: datetime.timedelta,
        writers: abc.Sequence[engine_loads.EngineLoad],
        readers: abc.Sequence[engine_loads.EngineLoad],
    ) -> abc.Iterator[tuple[float, places.InPlace | places.Apart]]:
        """Yield the places worth comparing with their costs in milliseconds.

        Of the pairs of a reading and a writing engine, those with the best writer for
        each reader are enough. Which writer that is depends on the reader's failure
        domain only, since that alone changes the cost of what crosses the link.
        """
        ranking = homes.rank(asked.prompt, readers, self._loads.reading_rate)
        donors = _donors(asked.prompt, [*writers, *readers])
        costs = {w.server.server_id: self._writer_cost(w, traits, now) for w in writers}
        bound = self._in_place_bound() if readers else math.inf
        for writer in writers:
            in_place = self._in_place(writer, asked, now, donors, bound)
            if in_place is not None:
                yield costs[writer.server.server_id] + in_place[0], in_place[1]
        if not writers:
            return
        best: dict[str, tuple[float, engine_loads.EngineLoad]] = {}
        for reader in readers:
            domain = reader.server.failure_domain
            if domain not in best:
                best[domain] = _best_writer(writers, costs, asked.prompt, domain)
            base, writer = best[domain]
            cost, place = self._apart(reader, writer, asked, now, donors)
            if place.donor is None and ranking.donor is not reader:
                place = dataclasses.replace(place, donor=ranking.donor)
            if self._loads.partly_heard:
                cost += self._foreign_cost(reader)
            yield base + cost + ranking.charges[reader.server.server_id], place

    def _in_place_bound(self) -> float:
        """Return the tokens that may wait at an engine that writes.

        In a large fleet none: each instance would see that room by counts that are half
        a second old, and together they would stop the streams there until their clients
        leave.
        """
        return 0.0 if self._loads.partly_heard else _IN_PLACE_TOKENS

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
        return cost + self._foreign_cost(writer)

    def _foreign_cost(self, engine: engine_loads.EngineLoad) -> float:
        if engine.server.failure_domain == self._domain:
            return 0.0
        return _FAR_MS if self._loads.partly_heard else _FOREIGN_MS

    def _in_place(
        self,
        writer: engine_loads.EngineLoad,
        asked: places.Asked,
        now: datetime.timedelta,
        donors: abc.Sequence[_Donor],
        bound: float,
    ) -> tuple[float, places.InPlace] | None:
        tokens, donor, fetched = _to_read(writer, asked.prompt, donors)
        ahead = writer.all_reading(now)
        if ahead + tokens > bound:
            return None
        rate = self._loads.reading_rate / engine_loads.IN_PLACE_SLOWNESS
        milliseconds = (ahead + self._loads.reading_cost(tokens)) / rate
        expected = datetime.timedelta(milliseconds=milliseconds + _FIRST_STEP_MS)
        late = expected > asked.due
        # The streams there wait for it too.
        cost = 2 * milliseconds + (_LATE_MS if late else 0)
        cost += fetched + _READ_AGAIN_MS * _shared(asked.prompt, tokens)
        level = urgency.level_of(
            asked.rank, late=late, large=asked.large, lot=asked.lot
        )
        return cost, places.InPlace(writer, tokens, donor, level, expected)

    def _apart(
        self,
        reader: engine_loads.EngineLoad,
        writer: engine_loads.EngineLoad,
        asked: places.Asked,
        now: datetime.timedelta,
        donors: abc.Sequence[_Donor],
    ) -> tuple[float, places.Apart]:
        tokens, donor, fetched = _to_read(reader, asked.prompt, donors)
        cost = fetched + _READ_AGAIN_MS * _shared(asked.prompt, tokens)
        for late in (False, True):
            level = urgency.level_of(
                asked.rank, late=late, large=asked.large, lot=asked.lot
            )
            work = reader.all_reading(now, level) + self._loads.reading_cost(tokens)
            milliseconds = work / self._loads.reading_rate
            expected = datetime.timedelta(milliseconds=milliseconds + _HANDOVER_MS)
            if expected <= asked.due:
                break
        cost += milliseconds + (_LATE_MS if late else 0)
        return cost, places.Apart(reader, writer, tokens, donor, level, expected)


def fullness(
    writer: engine_loads.EngineLoad,
    traits: table.EngineTraits,
    now: datetime.timedelta,
) -> float:
    """Return the used share of an engine's slots or memory, whichever is scarcer."""
    slots = writer.all_writing(now) / max(1, traits.slots)
    return max(slots, writer.all_held(now) / max(1, traits.kv_tokens))


def _best_writer(
    writers: abc.Sequence[engine_loads.EngineLoad],
    costs: abc.Mapping[str, float],
    prompt: prompts.Prompt,
    domain: str,
) -> tuple[float, engine_loads.EngineLoad]:
    """Return the best writer for a prompt read in a domain, and its cost."""

    def cost(writer: engine_loads.EngineLoad) -> float:
        return costs[writer.server.server_id] + _moved_cost(domain, writer, prompt)

    writer = min(writers, key=cost)
    return cost(writer), writer


def _moved_cost(
    domain: str, writer: engine_loads.EngineLoad, prompt: prompts.Prompt
) -> float:
    """Return the charge of moving a prompt that was read in a failure domain."""
    moved = writer.unread(prompt) * _MOVED_MS
    return moved * (_FAR_FACTOR if writer.server.failure_domain != domain else 1.0)


def _donors(
    prompt: prompts.Prompt, engines: abc.Iterable[engine_loads.EngineLoad]
) -> list[_Donor]:
    """Return the engines that keep some of a prompt, the most first."""
    found = [_Donor(engine, engine.cached.kept(prompt)) for engine in engines]
    found = [donor for donor in found if donor.tokens >= homes.LEAST_FETCHED]
    return sorted(found, key=lambda donor: donor.tokens, reverse=True)


def _to_read(
    engine: engine_loads.EngineLoad,
    prompt: prompts.Prompt,
    donors: abc.Sequence[_Donor],
) -> tuple[int, engine_loads.EngineLoad | None, float]:
    """Return the tokens to read, who gives the others, and the charge of giving."""
    kept = engine.cached.kept(prompt)
    best: tuple[float, _Donor] | None = None
    for donor in donors:
        fetched = donor.tokens - kept
        if donor.engine is engine or fetched < homes.LEAST_FETCHED:
            continue
        charge = fetched * _MOVED_MS
        if donor.engine.server.failure_domain != engine.server.failure_domain:
            charge *= _FAR_FACTOR
        gain = fetched * _READ_AGAIN_MS - charge
        if best is None or gain > best[0]:
            best = gain, donor
    if best is None:
        return prompt.tokens - kept, None, 0.0
    donor = best[1]
    fetched = donor.tokens - kept
    charge = fetched * _READ_AGAIN_MS - best[0]
    return prompt.tokens - donor.tokens, donor.engine, charge


def _shared(prompt: prompts.Prompt, tokens: int) -> int:
    """Return how many of the tokens to be read belong to shared parts."""
    own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
    return max(0, tokens - own)
