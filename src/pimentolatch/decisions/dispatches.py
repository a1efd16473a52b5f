"""Follows what was sent until it ends, and learns from how it goes.

Load pattern: answers of ten seconds. An engine that slows down or hangs is known by
the ends of its answers only after seconds in which it was sent more. So each stream
tells while it runs: at its first token, at every sixteenth, and when a token is long
overdue.

Grounds: a count of sixteen tokens is half a second at the full batch, and a sixteenth
of the cost of counting each. The time expected of a token follows the batch down to
half of it: smaller ones are not much faster on every engine. A first token is expected
in no less than half a second, so that its pace is not that of the network or of the
prompts before it. Tokens are overdue at four times their expected time, the bound at
which an engine is ejected.
"""

import dataclasses
import datetime

from pimentolatch.decisions import health, outstanding, work, work_reports
from pimentolatch.document import schema

__all__ = ["Dispatches", "Ended"]

_TOKENS_AT_ONCE = 16
_OVERDUE = 4.0
_LEAST_FIRST_TOKEN = datetime.timedelta(milliseconds=500)
_LEAST_BATCH = 0.5
_CHECK_INTERVAL = datetime.timedelta(milliseconds=250)


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A dispatch that is over; `tokens` is what it gave."""

    engine: str
    tokens: int


@dataclasses.dataclass(slots=True)
class _Sent:
    engine: schema.Engine
    left: work.Work
    first_token: datetime.timedelta
    since: datetime.timedelta
    uncounted: int = 0
    tokens: int = 0


class Dispatches:
    """Dispatches under way, by request.

    Args:
        counted: Counts their work.
        peers: Work of other instances at the same engines.
        known: Learns their paces.
    """

    def __init__(
        self,
        counted: outstanding.Outstanding,
        peers: work_reports.PeerReports,
        known: health.ServerHealth,
    ) -> None:
        self._counted = counted
        self._peers = peers
        self._health = known
        self._sent: dict[str, _Sent] = {}
        self._checked = datetime.timedelta()

    def __len__(self) -> int:
        return len(self._sent)

    def begin(
        self,
        request_id: str,
        engine: schema.Engine,
        asked: work.Work,
        first_token: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Count a request as sent; its first token is expected after a time."""
        expected = max(first_token, _LEAST_FIRST_TOKEN)
        self._sent[request_id] = _Sent(engine, asked, expected, now)
        self._counted.begin(engine.name, asked)

    def token(self, request_id: str, now: datetime.timedelta) -> None:
        """Count one token as received."""
        sent = self._sent[request_id]
        sent.tokens += 1
        sent.uncounted += 1
        if sent.tokens == 1:
            self._observe(sent, now)
            self._done(sent, work.Work(sent.left.prompt_tokens, 0))
            sent.uncounted = 0
        elif sent.uncounted >= _TOKENS_AT_ONCE:
            self._observe(sent, now)
            written = min(sent.uncounted, sent.left.output_tokens)
            self._done(sent, work.Work(0, written))
            sent.uncounted = 0

    def end(
        self, request_id: str, now: datetime.timedelta, *, failed: bool
    ) -> Ended | None:
        """Count a dispatch as over; None if it is not known."""
        sent = self._sent.pop(request_id, None)
        if sent is None:
            return None
        self._counted.end(sent.engine.name, sent.left)
        if failed:
            self._health.failed(sent.engine.name, now)
        return Ended(sent.engine.name, sent.tokens)

    def check(self, now: datetime.timedelta) -> None:
        """Learn from tokens that are overdue, so that a hanging engine is found."""
        if now - self._checked < _CHECK_INTERVAL:
            return
        self._checked = now
        for sent in self._sent.values():
            if now - sent.since > _OVERDUE * self._expected(sent):
                self._observe(sent, now, restart=False)

    def _observe(
        self, sent: _Sent, now: datetime.timedelta, *, restart: bool = True
    ) -> None:
        pace = (now - sent.since) / self._expected(sent)
        # A first token can only show that an engine is slow: its expectation is
        # generous, and taken for a good pace it would bring back an ejected engine.
        if sent.tokens > 1 or pace > 1:
            self._health.observe(sent.engine.name, pace, now)
        if restart:
            sent.since = now

    def _expected(self, sent: _Sent) -> datetime.timedelta:
        """Return the time expected of the tokens that are waited for."""
        if sent.tokens <= 1:
            return sent.first_token
        engine = sent.engine
        streams = self._counted.requests(engine.name)
        streams += self._peers.server(engine.name).streams
        batch = max(streams, _LEAST_BATCH * engine.streams)
        return datetime.timedelta(
            seconds=_TOKENS_AT_ONCE * batch / engine.decode_tokens_per_s
        )

    def _done(self, sent: _Sent, done: work.Work) -> None:
        sent.left = work.Work(
            sent.left.prompt_tokens - done.prompt_tokens,
            sent.left.output_tokens - done.output_tokens,
        )
        self._counted.progress(sent.engine.name, done)
