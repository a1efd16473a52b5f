"""Has prompts read by one engine for another one."""

import asyncio
import datetime

import logbook

from pimentolatch.decisions import engine_loads, places, wait_policy
from pimentolatch.gateway import attempt, inbound, sending
from pimentolatch.platform import engines, heads

__all__ = ["PromptReader"]

_log = logbook.Logger("reading")
_RELEASE_LIMIT = datetime.timedelta(seconds=1)
_Outcome = sending.Whole | sending.NotSent | sending.Declined | sending.Broken


class PromptReader:
    """Sends prompts to engines that read, and frees what nobody takes."""

    def __init__(self, context: attempt.Context) -> None:
        self._context = context
        self._background: set[asyncio.Task[None]] = set()

    async def read(
        self, asked: inbound.Inbound, place: places.Apart, progress: attempt.Progress
    ) -> attempt.Source | sending.TakenBack | None:
        """Have a prompt read; None if the engine did not.

        A prompt that still waits when its client is about to leave is taken back.
        """
        reader = place.reader
        loads = self._context.loads(asked)
        begun = self._context.clock.monotonic()
        cost = loads.reading_cost(place.tokens)
        delivery = heads.Delivery(
            reader.server.server_id,
            asked.until - begun - sending.RETURN_TIME,
            urgency=place.level,
            only_read=True,
            donor=attempt.address_of(place.donor),
        )
        ahead = reader.all_reading(begun, place.level)
        reader.reading[place.level] += cost
        try:
            outcome = await self._outcome(asked, place, progress, delivery)
        finally:
            reader.reading[place.level] -= cost
        self._context.log_sent(asked, reader, "read", outcome, begun)
        if isinstance(outcome, sending.TakenBack):
            progress.reason = sending.text_of(outcome)
            return outcome
        source = self._source(reader, outcome)
        now = self._context.clock.monotonic()
        if source is None:
            progress.failed.add(reader.server.incarnation)
            if not isinstance(outcome, sending.NotSent):
                progress.arrivals += 1
            if isinstance(outcome, sending.Declined):
                loads.declined(reader, now)
            else:
                loads.failed(reader, now)
            if isinstance(outcome, sending.Broken) and outcome.server_ended:
                self._context.suspects.server_ended(asked, reader.server, begun)
            progress.reason = f"prompt not read: {sending.text_of(outcome)}"
            return None
        if progress.read_before:
            progress.arrivals += 1
        progress.read_before = True
        loads.succeeded(reader, now)
        self._context.suspects.answered(reader.server, begun)
        loads.read_in(place.tokens, now - begun, ahead)
        self._context.keep(asked, reader)
        return source

    async def _outcome(
        self,
        asked: inbound.Inbound,
        place: places.Apart,
        progress: attempt.Progress,
        delivery: heads.Delivery,
    ) -> _Outcome | sending.TakenBack:
        """Send a prompt and wait for as long as its client does, but for a moment.

        The queue of an overloaded engine outlasts its clients. Left there, a request
        would end in silence and its client not know that nothing ran; refused just
        before, the client has that promise and a time to come back.
        """
        leaves_at = attempt.leaves_at(asked, progress)
        limit = wait_policy.refusal_time(leaves_at) - self._context.clock.monotonic()
        try:
            async with asyncio.timeout(limit.total_seconds()):
                return await self._context.doubts.until_doubtful(
                    place.reader,
                    asked.request_id,
                    self._context.client.whole(place.reader.server, asked, delivery),
                    attempt.first_event_limit(place),
                )
        except TimeoutError:
            return sending.TakenBack()

    def release(self, source: attempt.Source) -> None:
        """Free a prompt that nobody will take, so that others get its memory."""
        if self._context.known.has_ended(source.reader.server.incarnation):
            # The handle may name another request's prompt in the engine's new life.
            return
        task = asyncio.create_task(self._free(source))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _source(
        self,
        reader: engine_loads.EngineLoad,
        outcome: _Outcome,
    ) -> attempt.Source | None:
        if not isinstance(outcome, sending.Whole) or outcome.status != 200:
            return None
        try:
            read = engines.decode_read_prompt(outcome.body)
        except ValueError as error:
            _log.warn("a reading engine gave no handle", reason=str(error))
            return None
        return attempt.Source(reader, read.handle)

    async def _free(self, source: attempt.Source) -> None:
        target = engines.release_target(source.handle)
        await self._context.client.call(
            source.reader.server, "DELETE", target, limit=_RELEASE_LIMIT
        )
