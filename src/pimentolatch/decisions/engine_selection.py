"""Selects the engine for a request.

Load pattern: short and long prompts among few engines, each of which batches many
streams. Selected by number of requests, an engine that prefills three long prompts
looks idle beside one that decodes ten short answers; selected by delayed load reports,
all instances send the same burst to the same engine.

The engine with the earliest predicted finish is selected: the work that this instance
and its peers count as outstanding, less the tokens of the prompt in the engine's prefix
cache, times the engine's slowness. An engine with a full batch, or with more than 250
ms of prompts to prefill, has no room: the request waits here instead, where it can
still be queued fairly, refused in time, or sent elsewhere. The limit is about an eighth
of the 1.9 s within which 95 of 100 first tokens must arrive.

Another failure domain costs a link that may be cut while the answer streams, and room
that its own callers need. It is used only if no engine of the own domain has room, and
only up to half of an engine's batch, since the instances there are not counted here.
"""

import dataclasses
import datetime
from collections import abc

from pimentolatch.decisions import outstanding_work, request_work
from pimentolatch.document import schema

__all__ = ["Candidate", "choose"]

_PREFILL_BACKLOG_LIMIT = datetime.timedelta(milliseconds=250)
_REMOTE_SHARE = 0.5
# An engine this many times slower than its peers gets only requests that it finishes
# before their deadline.
_SLOW_FACTOR = 1.5
# A probe to an unresponsive engine costs the limit on the first token (5 s and three
# times the prefill, see `requests.completion_stream`) before the stream is resumed
# elsewhere.
_PROBE_SPARE = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may be selected, with what is known of it.

    Attributes:
        engine: The engine.
        load: Work outstanding there from all instances whose reports are received.
        own_load: The part of it that this instance dispatched.
        senders: Number of instances that dispatch there.
        own_domain: Whether the engine is in the instance's failure domain.
        slowness: How many times slower than its peers it is; 1 for a healthy engine.
        ejected: Whether it gets only probes.
        probe_due: Whether a probe is due.
        cached_tokens: Prompt tokens that it has in its prefix cache.
    """

    engine: schema.Engine
    load: outstanding_work.Load = outstanding_work.Load()
    own_load: outstanding_work.Load = outstanding_work.Load()
    senders: int = 1
    own_domain: bool = True
    slowness: float = 1.0
    ejected: bool = False
    probe_due: bool = False
    cached_tokens: int = 0

    @property
    def stream_limit(self) -> int:
        """Most streams the engine should run, by its slowness and failure domain."""
        share = 1.0 if self.own_domain else _REMOTE_SHARE
        return max(1, int(share * self.engine.streams / self.slowness))

    @property
    def has_room(self) -> bool:
        """Whether the engine should be sent more.

        An instance may always fill its even share of the batch and of the prefill
        backlog. It sees its own completed work at once and its peers' only with their
        next report, so without a share of its own it would find the room taken again
        each time and its callers would starve. What exceeds the total waits at the
        engine until the other instances see it and hold back.
        """
        if self.ejected:
            return False
        limit = _PREFILL_BACKLOG_LIMIT.total_seconds() / self.slowness
        backlog = int(limit * self.engine.prefill_tokens_per_s) + self.cached_tokens
        return (
            self.load.streams < self.stream_limit
            or self.own_load.streams < self.stream_limit // self.senders
        ) and (
            self.load.prompt_tokens <= backlog
            or self.own_load.prompt_tokens <= backlog // self.senders
        )

    def time_to_finish(self, work: request_work.Work) -> datetime.timedelta:
        """Return the predicted time to the end of an answer if dispatched now."""
        backlog = self.load.prompt_tokens + work.prompt_tokens - self.cached_tokens
        prefill_s = max(0, backlog) / self.engine.prefill_tokens_per_s
        gap = (self.load.streams + 1) / self.engine.decode_tokens_per_s
        seconds = (prefill_s + work.output_tokens * gap) * self.slowness
        return datetime.timedelta(seconds=seconds)


def choose(
    candidates: abc.Sequence[Candidate],
    work: request_work.Work,
    time_left: datetime.timedelta,
    *,
    force: bool = False,
) -> Candidate | None:
    """Return the engine for a request, or None if it should wait.

    Args:
        candidates: The engines that serve the model.
        work: The work of the request.
        time_left: Time until its deadline.
        force: Select an engine even if none has room, as for a broken stream.
    """
    for candidate in candidates:
        if candidate.probe_due and _tolerates_probe(candidate, work, time_left):
            return candidate
    for own_domain in (True, False):
        free = [
            candidate
            for candidate in candidates
            if candidate.own_domain is own_domain
            and candidate.has_room
            and _in_time(candidate, work, time_left)
        ]
        if free:
            return min(free, key=lambda found: _preference(found, work))
    if force:
        return min(
            candidates,
            key=lambda found: (found.ejected, *_preference(found, work)),
            default=None,
        )
    return None


def _preference(
    candidate: Candidate, work: request_work.Work
) -> tuple[datetime.timedelta, int, str]:
    return candidate.time_to_finish(work), candidate.load.streams, candidate.engine.name


def _in_time(
    candidate: Candidate, work: request_work.Work, time_left: datetime.timedelta
) -> bool:
    return (
        candidate.slowness < _SLOW_FACTOR or candidate.time_to_finish(work) <= time_left
    )


def _tolerates_probe(
    candidate: Candidate, work: request_work.Work, time_left: datetime.timedelta
) -> bool:
    finish = candidate.time_to_finish(work) / candidate.slowness
    return candidate.load.streams == 0 and time_left >= max(
        _PROBE_SPARE + finish, finish * min(candidate.slowness, 10.0)
    )
