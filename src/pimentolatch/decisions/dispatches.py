"""Tracks dispatches until they end and learns engine speeds from their tokens.

Load pattern: answers of ten seconds. If an engine slows down or hangs, the ends of its
answers show it only after seconds in which it was sent more. So each stream is observed
while it runs: at its first token, at every sixteenth, and when a token is long overdue.

Grounds: sixteen tokens take half a second in a full batch, and observing them costs a
sixteenth of observing each. The expected time of a token follows the batch down to half
of it: smaller batches are not much faster on every engine. A first token is expected in
no less than half a second, so that its pace is not that of the network or of the
prompts before it. Tokens are overdue at four times their expected time, the slowness at
which an engine is ejected.
"""

import dataclasses
import datetime

from pimentolatch.decisions import health, outstanding_work, request_work, work_reports
from pimentolatch.document import schema

__all__ = ["Dispatches", "Ended"]

_TOKENS_PER_OBSERVATION = 16
_OVERDUE_FACTOR = 4.0
_MIN_FIRST_TOKEN = datetime.timedelta(milliseconds=500)
_MIN_BATCH_SHARE = 0.5
_CHECK_INTERVAL = datetime.timedelta(milliseconds=250)


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A dispatch that has ended.

    Attributes:
        engine: Name of the engine.
        tokens: Tokens that were received.
    """

    engine: str
    tokens: int


@dataclasses.dataclass(slots=True)
class _Sent:
    engine: schema.Engine
    left: request_work.Work
    first_token: datetime.timedelta
    since: datetime.timedelta
    unobserved: int = 0
    tokens: int = 0


class Dispatches:
    """Dispatches in progress, by request.

    Args:
        outstanding: Counts their work.
        peers: Work of other instances at the same engines.
        server_health: Learns the pace of the engines.
    """

    def __init__(
        self,
        outstanding: outstanding_work.OutstandingWork,
        peers: work_reports.PeerReports,
        server_health: health.ServerHealth,
    ) -> None:
        self._outstanding = outstanding
        self._peers = peers
        self._health = server_health
        self._sent: dict[str, _Sent] = {}
        self._checked = datetime.timedelta()

    def __len__(self) -> int:
        return len(self._sent)

    def begin(
        self,
        request_id: str,
        engine: schema.Engine,
        work: request_work.Work,
        first_token: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Count a request as dispatched, with the expected time to its first token."""
        expected = max(first_token, _MIN_FIRST_TOKEN)
        self._sent[request_id] = _Sent(engine, work, expected, now)
        self._outstanding.begin(engine.name, work)

    def token(self, request_id: str, now: datetime.timedelta) -> None:
        """Count one token as received."""
        sent = self._sent[request_id]
        sent.tokens += 1
        sent.unobserved += 1
        if sent.tokens == 1:
            self._observe(sent, now)
            self._done(sent, request_work.Work(sent.left.prompt_tokens, 0))
            sent.unobserved = 0
        elif sent.unobserved >= _TOKENS_PER_OBSERVATION:
            self._observe(sent, now)
            generated = min(sent.unobserved, sent.left.output_tokens)
            self._done(sent, request_work.Work(0, generated))
            sent.unobserved = 0

    def end(
        self, request_id: str, now: datetime.timedelta, *, failed: bool
    ) -> Ended | None:
        """Count a dispatch as ended; returns None for an unknown request."""
        sent = self._sent.pop(request_id, None)
        if sent is None:
            return None
        self._outstanding.end(sent.engine.name, sent.left)
        if failed:
            self._health.failed(sent.engine.name, now)
        return Ended(sent.engine.name, sent.tokens)

    def check(self, now: datetime.timedelta) -> None:
        """Observe streams whose tokens are overdue, to detect an engine that hangs."""
        if now - self._checked < _CHECK_INTERVAL:
            return
        self._checked = now
        for sent in self._sent.values():
            if now - sent.since > _OVERDUE_FACTOR * self._expected(sent):
                self._observe(sent, now, restart=False)

    def _observe(
        self, sent: _Sent, now: datetime.timedelta, *, restart: bool = True
    ) -> None:
        pace = (now - sent.since) / self._expected(sent)
        # A first token can only show that an engine is slow: its expected time is
        # generous, and if a good pace were taken from it, an ejected engine would be
        # readmitted.
        if sent.tokens > 1 or pace > 1:
            self._health.observe(sent.engine.name, pace, now)
        if restart:
            sent.since = now

    def _expected(self, sent: _Sent) -> datetime.timedelta:
        """Return the expected time of the next tokens."""
        if sent.tokens <= 1:
            return sent.first_token
        engine = sent.engine
        streams = self._outstanding.requests(engine.name)
        streams += self._peers.server(engine.name).streams
        batch = max(streams, _MIN_BATCH_SHARE * engine.streams)
        return datetime.timedelta(
            seconds=_TOKENS_PER_OBSERVATION * batch / engine.decode_tokens_per_s
        )

    def _done(self, sent: _Sent, done: request_work.Work) -> None:
        sent.left = request_work.Work(
            sent.left.prompt_tokens - done.prompt_tokens,
            sent.left.output_tokens - done.output_tokens,
        )
        self._outstanding.progress(sent.engine.name, done)
