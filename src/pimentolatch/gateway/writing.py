"""Has an engine write an answer and passes its events on to the client."""

import asyncio
import datetime

from pimentolatch.backend import channel
from pimentolatch.decisions import places, stall_check
from pimentolatch.gateway import attempt, events, inbound, sending
from pimentolatch.platform import heads

__all__ = ["StreamWriter"]

# An engine that is silent for this many of the route's longest pauses is asked whether
# it goes on: a batch that is full and reads prompts besides stays under two.
_STALL_PAUSES = 4.0
_LEAST_STALL = datetime.timedelta(milliseconds=900)


class StreamWriter:
    """Sends requests to engines that write.

    Args:
        context: What serves every request.
    """

    def __init__(self, context: attempt.Context) -> None:
        self._context = context

    async def write(
        self,
        asked: inbound.Inbound,
        answer: inbound.Answer,
        progress: attempt.Progress,
        place: places.InPlace | places.Apart,
        source: attempt.Source | None,
    ) -> bool:
        """Have an engine answer; True if the answer is finished."""
        engine = place.engine
        in_place = place.tokens if source is None else 0
        assert asked.head.prompt is not None
        held = asked.head.prompt.tokens + asked.head.prompt.expected_output
        engine.writing += 1
        engine.held += held
        engine.reading[place.level] += in_place
        writing = attempt.Writing(asked, answer, progress, place, in_place)
        try:
            begun = self._context.clock.monotonic()
            # Set until an answer tells: if the time is up meanwhile, the engine may
            # be writing, and the client must not hear that nothing ran.
            progress.open = True
            opened = await self._open(writing, source)
            progress.open = False
            self._context.log_sent(asked, engine, "run", opened, begun)
            if source is not None:
                source.taken = isinstance(opened, sending.Opened)
                source.doubtful = isinstance(opened, sending.Broken)
            if not isinstance(opened, sending.Opened):
                return self._not_opened(writing, opened, begun)
            with self._context.client.held(engine.server, opened):
                return await self._pass_on(writing, opened, begun)
        finally:
            engine.writing -= 1
            engine.held -= held
            engine.reading[place.level] -= writing.unread

    async def _open(
        self, writing: attempt.Writing, source: attempt.Source | None
    ) -> sending.Opened | sending.NotSent | sending.Declined | sending.Broken:
        asked, place, progress = writing.asked, writing.place, writing.progress
        now = self._context.clock.monotonic()
        resumed = progress.last_event > asked.head.last_event
        delivery = heads.Delivery(
            place.engine.server.server_id,
            asked.until - now - sending.RETURN_TIME,
            urgency=place.level,
            source=None
            if source is None
            else (source.reader.server.address, source.handle),
            last_event=progress.last_event if resumed else None,
            donor=attempt.address_of(place.donor) if source is None else None,
        )
        call = self._context.client.open(place.engine.server, asked, delivery)
        if not asked.route.repeatable:
            return await call
        return await self._context.doubts.until_doubtful(
            place.engine, asked.request_id, call, attempt.first_event_limit(place)
        )

    def _not_opened(
        self,
        writing: attempt.Writing,
        outcome: sending.NotSent | sending.Declined | sending.Broken,
        begun: datetime.timedelta,
    ) -> bool:
        """Note why an engine gave no answer; returns False: the request goes on."""
        asked, progress = writing.asked, writing.progress
        engine = writing.place.engine
        progress.reason = sending.text_of(outcome)
        if not isinstance(outcome, sending.NotSent):
            progress.arrivals += 1
        loads = self._context.loads(asked)
        now = self._context.clock.monotonic()
        progress.failed.add(engine.server.incarnation)
        if isinstance(outcome, sending.Declined):
            loads.declined(engine, now)
            return False
        loads.failed(engine, now)
        if isinstance(outcome, sending.Broken):
            self._count_run(writing)
            if outcome.server_ended:
                self._context.suspects.server_ended(asked, engine.server, begun)
        return False

    def _count_run(self, writing: attempt.Writing) -> None:
        writing.progress.ran += 1
        if not writing.asked.route.repeatable:
            # Nothing may run a second time, so no further engine is tried.
            writing.progress.ran = max(
                writing.progress.ran, writing.asked.route.most_servers
            )

    async def _pass_on(
        self,
        writing: attempt.Writing,
        opened: sending.Opened,
        begun: datetime.timedelta,
    ) -> bool:
        """Pass an engine's events on; True if the answer is finished."""
        asked, progress = writing.asked, writing.progress
        engine = writing.place.engine
        loads = self._context.loads(asked)
        progress.arrivals += 1
        self._count_run(writing)
        try:
            if not 200 <= opened.status < 300:
                return await self._failed_answer(writing, opened)
            if not opened.head.sealed:
                raise channel.BrokenError("a success without the server's proof")
            await self._relay(writing, opened)
        except channel.BrokenError as error:
            opened.link.close()
            progress.reason = str(error)
            broken = sending.Broken(progress.reason, server_ended=True)
            self._context.suspects.server_ended(asked, engine.server, begun)
            self._context.log_sent(
                asked, engine, "stream", broken, asked.arrived, progress.last_event
            )
            progress.failed.add(engine.server.incarnation)
            loads.failed(engine, self._context.clock.monotonic())
            if not asked.route.repeatable and writing.answer.started:
                writing.answer.break_off(progress.reason)
                return True
            return False
        loads.succeeded(engine, self._context.clock.monotonic())
        self._context.suspects.answered(engine.server, begun)
        self._context.suspects.completed(asked)
        return True

    async def _failed_answer(
        self, writing: attempt.Writing, opened: sending.Opened
    ) -> bool:
        body = await opened.link.read_whole(sending.MOST_BODY_BYTES)
        progress = writing.progress
        progress.answered = sending.Whole(opened.status, opened.head, body)
        progress.reason = f"status {opened.status}"
        if opened.status < 500:
            await attempt.conclude(writing.answer, progress)
            return True
        progress.failed.add(writing.place.engine.server.incarnation)
        return False

    async def _relay(self, writing: attempt.Writing, opened: sending.Opened) -> None:
        """Pass whole events on until the stream's end; raises `BrokenError`."""
        cutter = events.EventCutter()
        answer, progress = writing.answer, writing.progress
        last = self._context.clock.monotonic()
        while data := await self._read(writing, opened):
            whole = cutter.feed(data)
            new = [
                e for e in whole if e.number is None or e.number > progress.last_event
            ]
            if not new:
                continue
            now = self._context.clock.monotonic()
            self._learn(writing, now - last)
            self._measure(writing, now)
            last = now
            if not answer.started:
                await answer.start(opened.status, opened.head.fields)
            await answer.write(b"".join(event.data for event in new))
            progress.last_event = new[-1].number or progress.last_event
        if cutter.cut:
            raise channel.BrokenError("the stream ended within an event")
        if not answer.started:
            await answer.start(opened.status, opened.head.fields)
        await answer.finish()

    async def _read(self, writing: attempt.Writing, opened: sending.Opened) -> bytes:
        """Return the next bytes, for as long as the engine has the request."""
        asked = writing.asked
        if not asked.route.repeatable:
            return await opened.link.read()
        limit = max(_STALL_PAUSES * asked.route.pause_target, _LEAST_STALL)
        if writing.unread:
            limit = max(limit, attempt.first_event_limit(writing.place))
        while True:
            try:
                async with asyncio.timeout(limit.total_seconds()):
                    return await opened.link.read()
            except TimeoutError:
                verdict = await self._context.doubts.verdict(
                    writing.place.engine, asked.request_id
                )
            if verdict is not stall_check.Verdict.HAS_IT:
                raise channel.BrokenError(f"in its stream, {verdict.value}")
            limit = stall_check.RECHECK_INTERVAL

    def _learn(self, writing: attempt.Writing, since: datetime.timedelta) -> None:
        """Note the first event, and the pauses after it."""
        engine = writing.place.engine
        if not writing.first_seen:
            writing.first_seen = True
            engine.reading[writing.place.level] -= writing.unread
            writing.unread = 0
            self._context.keep(writing.asked, engine)
            self._count_begun(writing)
            return
        self._context.loads(writing.asked).paused(engine, since)

    def _count_begun(self, writing: attempt.Writing) -> None:
        """Count a request for its customer, however many engines go on with it."""
        if not writing.progress.begun:
            writing.progress.begun = True
            name = writing.asked.customer_name
            self._context.usage.began(name, self._context.clock.now())

    def _measure(self, writing: attempt.Writing, now: datetime.timedelta) -> None:
        """Count what the client sees, whichever engines its events come from."""
        progress, measured = writing.progress, self._context.measured
        if progress.event_at is None:
            measured.first_event((now - writing.asked.arrived).total_seconds())
        else:
            measured.pause((now - progress.event_at).total_seconds())
        progress.event_at = now
