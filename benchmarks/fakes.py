"""Fake engines of one failure domain, on virtual time.

Like a real engine, each engine runs in steps with continuous batching and chunked
prefill: a step decodes one token for each stream of the batch and, if a prompt is in
prefill, processes one chunk of it, which lengthens the step. Small chunks are
inefficient, so colocated prefill costs more than disaggregated prefill. The step length
is constant between two events, so steps are summed rather than simulated one by one.
"""

import collections
import dataclasses
import heapq
import math

from pimentolatch.document import schema

__all__ = ["FakeEngine", "Job", "StepTimes"]

_FIXED_STEP_SHARE = 0.4
_CHUNK_TOKENS: dict[schema.Role, int] = {"prefill": 2048, "mixed": 256, "decode": 64}
_CHUNK_OVERHEAD_S = 0.012
_CACHED_PREFIXES = 24
_BINS = 400
_BIN_S = 0.001
_TOLERANCE = 1e-9


@dataclasses.dataclass(slots=True)
class Job:
    """One request in flight.

    Attributes:
        delivered: Output tokens that the caller has received.
        transferring: Whether its KV cache is to be transferred from another engine.
    """

    number: int
    arrived: float
    deadline: float
    caller: int
    prompt_tokens: int
    output_tokens: int
    prefix: int
    prefix_tokens: int
    entry: int
    first_token: float = -1.0
    delivered: int = 0
    prefill_engine: str = ""
    decode_engine: str = ""
    transferring: bool = False
    counted_prompt: float = 0.0

    def copy(self) -> "Job":
        """Return the request as on arrival, so that a load can be served repeatedly."""
        return Job(
            self.number,
            self.arrived,
            self.deadline,
            self.caller,
            self.prompt_tokens,
            self.output_tokens,
            self.prefix,
            self.prefix_tokens,
            self.entry,
        )


class StepTimes:
    """Histogram of step times in bins of 1 ms, weighted by generated tokens."""

    def __init__(self) -> None:
        self.bins = [0.0] * _BINS

    def add(self, step_s: float, tokens: float) -> None:
        """Add tokens that were generated in steps of `step_s` seconds."""
        self.bins[min(_BINS - 1, int(step_s / _BIN_S))] += tokens


class FakeEngine:
    """An engine with continuous batching."""

    def __init__(self, engine: schema.Engine, times: StepTimes) -> None:
        self.engine = engine
        self.role: schema.Role = engine.role
        self.serving = True
        self._times = times
        self._now = 0.0
        self._steps_done = 0.0
        self._streams: list[tuple[float, int, float, Job]] = []
        self._decode_queue: collections.deque[Job] = collections.deque()
        self._prefill_queue: collections.deque[Job] = collections.deque()
        self._prefill_left = 0.0
        self._cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._step_s = 0.0
        self._prefill_rate = 0.0

    @property
    def idle(self) -> bool:
        """Whether the engine has no requests."""
        return not (self._streams or self._decode_queue or self._prefill_queue)

    def next_event(self) -> float:
        """Return the time in seconds at which the next prefill or answer ends."""
        when = math.inf
        if self._prefill_queue:
            when = self._now + max(0.0, self._prefill_left) / self._prefill_rate
        if self._streams:
            left = self._streams[0][0] - self._steps_done
            when = min(when, self._now + max(0.0, left) * self._step_s)
        return when

    def advance(self, now: float) -> tuple[list[Job], list[Job]]:
        """Advance to `now`; returns the jobs whose prefill and whose output ended."""
        elapsed = now - self._now
        if elapsed > 0.0:
            if self._streams:
                steps = elapsed / self._step_s
                self._steps_done += steps
                self._times.add(self._step_s, steps * len(self._streams))
            if self._prefill_queue:
                self._prefill_left -= elapsed * self._prefill_rate
        self._now = now
        prefilled: list[Job] = []
        completed: list[Job] = []
        if (
            self._prefill_queue
            and self._prefill_left <= _TOLERANCE * self._prefill_rate + 1e-6
        ):
            prefilled.append(self._prefill_queue.popleft())
            self._begin_prefill()
        while self._streams and self._streams[0][0] - self._steps_done <= 1e-6:
            job = heapq.heappop(self._streams)[3]
            job.delivered = job.output_tokens
            completed.append(job)
        if completed:
            while self._decode_queue and len(self._streams) < self.engine.streams:
                self._start(self._decode_queue.popleft())
        if prefilled or completed:
            self._update_step_time()
        return prefilled, completed

    def prefill(self, job: Job) -> None:
        """Queue a job for prefill."""
        self._prefill_queue.append(job)
        if len(self._prefill_queue) == 1:
            self._begin_prefill()
            self._update_step_time()

    def decode(self, job: Job) -> None:
        """Add a prefilled job to the batch, or queue it if the batch is full."""
        if len(self._streams) < self.engine.streams:
            self._start(job)
            self._update_step_time()
        else:
            self._decode_queue.append(job)

    def crash(self) -> list[Job]:
        """Drop all jobs and the prefix cache; returns the jobs."""
        for _, _, began, job in self._streams:
            job.delivered += int(self._steps_done - began)
        jobs = [stream[3] for stream in self._streams]
        jobs += [*self._decode_queue, *self._prefill_queue]
        self._streams.clear()
        self._decode_queue.clear()
        self._prefill_queue.clear()
        self._cache.clear()
        self._update_step_time()
        return jobs

    def set_role(self, role: schema.Role) -> None:
        """Change the role, which clears the prefix cache."""
        self.role = role
        self._cache.clear()
        self._update_step_time()

    def _start(self, job: Job) -> None:
        if job.first_token < 0.0:
            job.first_token = self._now
        end = self._steps_done + job.output_tokens - job.delivered
        heapq.heappush(self._streams, (end, job.number, self._steps_done, job))

    def _begin_prefill(self) -> None:
        if not self._prefill_queue:
            return
        job = self._prefill_queue[0]
        cached = job.prefix in self._cache
        self._cache[job.prefix] = None
        self._cache.move_to_end(job.prefix)
        if len(self._cache) > _CACHED_PREFIXES:
            self._cache.popitem(last=False)
        tokens = job.prompt_tokens + job.delivered
        self._prefill_left = float(tokens - (job.prefix_tokens if cached else 0))

    def _update_step_time(self) -> None:
        """Recompute the step time and prefill rate from the current batch."""
        engine = self.engine
        streams = len(self._streams)
        step = 0.0
        if streams:
            full = engine.streams / engine.decode_tokens_per_s
            share = streams / engine.streams
            step = full * (_FIXED_STEP_SHARE + (1.0 - _FIXED_STEP_SHARE) * share)
        if not self._prefill_queue:
            self._step_s = step
            return
        chunk = _CHUNK_TOKENS[self.role] if streams else _CHUNK_TOKENS["prefill"]
        step += chunk / engine.prefill_tokens_per_s + _CHUNK_OVERHEAD_S
        self._step_s = step
        self._prefill_rate = chunk / step
