"""Chooses the backend server for a request.

Load pattern: short drafts and long briefings among few engines, each able to take
many streams at once. Chosen by number of requests, an engine that reads three
briefings looks idle beside one that writes ten drafts; chosen by late reports, all
instances send the same burst to the same engine.

The engine is the one with the earliest predicted finish, from the work that this
instance and its peers count as outstanding, less what of the prompt an engine holds
in its cache, times its slowness. An engine with a full batch, or with more than a
second of prompts unread, has no room: the request waits here instead, where it can
still be put in a fair order, refused in time, or sent elsewhere. A second is about
half of the 1.9 s that 95 of 100 first tokens may take.

Another failure domain costs a link that may be cut while the answer streams, and room
that its own callers need. It is used only when no engine of the own domain has room,
and only up to half of an engine's batch, since instances there are not counted here.
"""

import dataclasses
import datetime
from collections import abc

from pimentolatch.decisions import outstanding_work, request_work
from pimentolatch.document import schema

__all__ = ["Candidate", "choose"]

_PREFILL_BACKLOG_LIMIT = datetime.timedelta(milliseconds=250)
_REMOTE_SHARE = 0.5
# A slower engine is tried only with requests that stand it.
_SLOW_FACTOR = 1.5
# An engine that hangs costs a probe the limit on the first token (5 s and three times
# the reading, see `requests.stream`) before the stream is resumed elsewhere.
_PROBE_SPARE = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may be chosen, with what is known of it.

    Attributes:
        load: Work outstanding there, from all instances that are heard.
        own: The part of it that this instance sent.
        senders: Instances that send there.
        own_domain: Whether it stands in the instance's failure domain.
        slowness: Times slower than its peers; 1 for a healthy engine.
        ejected: Whether it gets only probes.
        probe: Whether a probe is due.
        cached_tokens: Prompt tokens it need not read again.
    """

    engine: schema.Engine
    load: outstanding_work.Load = outstanding_work.Load()
    own: outstanding_work.Load = outstanding_work.Load()
    senders: int = 1
    own_domain: bool = True
    slowness: float = 1.0
    ejected: bool = False
    probe: bool = False
    cached_tokens: int = 0

    @property
    def limit(self) -> int:
        """Streams the engine should hold, by its slowness and domain."""
        share = 1.0 if self.own_domain else _REMOTE_SHARE
        return max(1, int(share * self.engine.streams / self.slowness))

    @property
    def room(self) -> bool:
        """Whether the engine should be sent more.

        An instance may always fill its even part of the batch and of the unread
        prompts. It sees its own work done at once and its peers' a report later, so
        without a part of its own it would find the room taken again each time and its
        callers would starve. What goes above the whole waits at the engine until the
        other instances see it and hold back.
        """
        if self.ejected:
            return False
        limit = _PREFILL_BACKLOG_LIMIT.total_seconds() / self.slowness
        backlog = int(limit * self.engine.prefill_tokens_per_s) + self.cached_tokens
        return (
            self.load.streams < self.limit
            or self.own.streams < self.limit // self.senders
        ) and (
            self.load.prompt_tokens <= backlog
            or self.own.prompt_tokens <= backlog // self.senders
        )

    def finish(self, work: request_work.Work) -> datetime.timedelta:
        """Return the time to the end of an answer, if sent now."""
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
        work: The request's work.
        time_left: Time until its deadline.
        force: Choose even if no engine has room, as for a stream that broke off.
    """
    for candidate in candidates:
        if candidate.probe and _tolerates_probe(candidate, work, time_left):
            return candidate
    for own_domain in (True, False):
        free = [
            candidate
            for candidate in candidates
            if candidate.own_domain is own_domain
            and candidate.room
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
    return candidate.finish(work), candidate.load.streams, candidate.engine.name


def _in_time(
    candidate: Candidate, work: request_work.Work, time_left: datetime.timedelta
) -> bool:
    return candidate.slowness < _SLOW_FACTOR or candidate.finish(work) <= time_left


def _tolerates_probe(
    candidate: Candidate, work: request_work.Work, time_left: datetime.timedelta
) -> bool:
    finish = candidate.finish(work) / candidate.slowness
    return candidate.load.streams == 0 and time_left >= max(
        _PROBE_SPARE + finish, finish * min(candidate.slowness, 10.0)
    )
