"""Records at peers which build began a stream, and looks it up there."""

import asyncio
import collections
import dataclasses
import datetime
import functools
import itertools
import random
from collections import abc

import logbook

from pimentolatch import clock, settings
from pimentolatch.decisions import neighbours, stream_origins
from pimentolatch.gateway.peers import datagrams
from pimentolatch.protocol import origin_messages

__all__ = ["OriginExchange"]

_log = logbook.Logger("origins")
# Pause before the second transmission of a record. Datagrams are lost in bursts.
_REPEAT_DELAY = datetime.timedelta(milliseconds=100)
# Bound on the records that wait for their second transmission; the oldest are dropped.
_MAX_REPEATS = 2000
# Longer than a round trip between regions.
_RESEND_DELAY = datetime.timedelta(milliseconds=60)
# A resumed request waits this long at most for an answer.
_FIND_TIMEOUT = datetime.timedelta(milliseconds=200)
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Questions are numbered from a random number of this size, so that a late answer to a
# former process on this host matches none.
_FIRST_NUMBER_BITS = 52


@dataclasses.dataclass(frozen=True, slots=True)
class _Repeat:
    """A record to send once more.

    Attributes:
        due: Monotonic time at which to send it.
        hosts: The receivers.
        origin: Key of the request that began the stream.
        build: Key of the software version.
        expires_at: Monotonic time from which the record no longer counts.
    """

    due: datetime.timedelta
    hosts: list[str]
    origin: int
    build: int
    expires_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingQuestion:
    """A question that was sent.

    Attributes:
        message: The question.
        unanswered: Hosts that have not answered.
        build: Completed with the build, or with None if nobody knows it.
    """

    message: origin_messages.Question
    unanswered: set[str]
    build: asyncio.Future[int | None]


class OriginExchange(datagrams.DatagramSocket):
    """Socket over which instances record and look up the origins of streams.

    Args:
        address: Local address; all instances use the same port.
        places: Returns all other known instances.
        time: Clock of this instance.
    """

    def __init__(
        self,
        address: settings.Address,
        places: abc.Callable[[], abc.Collection[neighbours.Place]],
        time: clock.Clock,
    ) -> None:
        super().__init__(address)
        self._places = places
        self._clock = time
        self._table = stream_origins.OriginTable()
        self._repeats: collections.deque[_Repeat] = collections.deque(
            maxlen=_MAX_REPEATS
        )
        self._repeat_queued = asyncio.Event()
        self._pending: dict[int, _PendingQuestion] = {}
        self._numbers = itertools.count(random.getrandbits(_FIRST_NUMBER_BITS))

    @property
    def pending_questions(self) -> int:
        """Number of lookups that wait for answers."""
        return len(self._pending)

    def record(
        self, origin: int, build: int, lifetime: datetime.timedelta, *, repeat: bool
    ) -> None:
        """Record the build that began a stream, here and at peers.

        Args:
            origin: Key of the request that began the stream.
            build: Key of the software version.
            lifetime: How long the record counts; cut to `stream_origins.LIFETIME`.
            repeat: Whether to send the record a second time, in case it gets lost.
        """
        now = self._clock.monotonic()
        expires_at = now + min(lifetime, stream_origins.LIFETIME)
        self._table.record(origin, build, expires_at, now)
        hosts = stream_origins.replica_hosts(origin, self._places())
        record = _Repeat(now + _REPEAT_DELAY, hosts, origin, build, expires_at)
        self._announce(record, now)
        if repeat:
            self._repeats.append(record)
            self._repeat_queued.set()

    async def find(self, origin: int) -> int | None:
        """Return the build that began a stream; None if it can't be found out."""
        now = self._clock.monotonic()
        known = self._table.find(origin, now)
        if known is not None or self._table.is_ambiguous(origin, now):
            return known
        hosts = stream_origins.query_hosts(origin, self._places())
        build = await self._query(origin, hosts) if hosts else None
        if build is not None:
            now = self._clock.monotonic()
            self._table.record(origin, build, now + stream_origins.LIFETIME, now)
        return build

    async def run(self) -> None:
        """Send records a second time; runs until cancelled."""
        while True:
            await self._repeat_queued.wait()
            while self._repeats:
                await self._clock.sleep(self._repeats[0].due - self._clock.monotonic())
                self._send_due_repeats()
            self._repeat_queued.clear()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a message from a peer."""
        message = origin_messages.decode(data)
        if isinstance(message, origin_messages.Malformed):
            _log.warn(
                "malformed origin datagram dropped",
                sender=addr[0],
                reason=message.reason,
            )
            return
        self._receive(message, addr[0])

    @functools.singledispatchmethod
    def _receive(self, message: origin_messages.Message, host: str) -> None:
        raise TypeError(f"not a message: {message!r:.60}")

    @_receive.register
    def _(self, message: origin_messages.Announcement, host: str) -> None:
        now = self._clock.monotonic()
        for row in message.origins:
            expires_at = now + row.remaining_ms * _MILLISECOND
            self._table.record(row.origin, row.build, expires_at, now)

    @_receive.register
    def _(self, message: origin_messages.Question, host: str) -> None:
        build = self._table.find(message.origin, self._clock.monotonic())
        answer = origin_messages.Answer(message.number, build)
        self.send([host], [origin_messages.encode(answer)])

    @_receive.register
    def _(self, message: origin_messages.Answer, host: str) -> None:
        pending = self._pending.get(message.number)
        if pending is None or host not in pending.unanswered:
            return
        pending.unanswered.discard(host)
        if message.build is not None or not pending.unanswered:
            _complete(pending, message.build)

    def _announce(self, record: _Repeat, now: datetime.timedelta) -> None:
        remaining_ms = max(0, (record.expires_at - now) // _MILLISECOND)
        row = origin_messages.Origin(record.origin, record.build, remaining_ms)
        message = origin_messages.Announcement((row,))
        self.send(record.hosts, [origin_messages.encode(message)])

    def _send_due_repeats(self) -> None:
        now = self._clock.monotonic()
        while self._repeats and self._repeats[0].due <= now:
            self._announce(self._repeats.popleft(), now)

    async def _query(self, origin: int, hosts: list[str]) -> int | None:
        message = origin_messages.Question(next(self._numbers), origin)
        pending = _PendingQuestion(
            message, set(hosts), asyncio.get_running_loop().create_future()
        )
        self._pending[message.number] = pending
        timer = asyncio.create_task(self._send_until_timeout(pending))
        try:
            return await pending.build
        finally:
            timer.cancel()
            del self._pending[message.number]

    async def _send_until_timeout(self, pending: _PendingQuestion) -> None:
        datagram = origin_messages.encode(pending.message)
        self.send(list(pending.unanswered), [datagram])
        await self._clock.sleep(_RESEND_DELAY)
        self.send(list(pending.unanswered), [datagram])
        await self._clock.sleep(_FIND_TIMEOUT - _RESEND_DELAY)
        _complete(pending, None)


def _complete(pending: _PendingQuestion, build: int | None) -> None:
    if not pending.build.done():
        pending.build.set_result(build)
