"""Answers requests on stream routes from model engines."""

import asyncio
import dataclasses
import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock, settings
from pimentolatch.backend import channel
from pimentolatch.decisions import (
    demand_rate,
    engine_loads,
    placement,
    repeat_budget,
    subset,
)
from pimentolatch.gateway import (
    events,
    inbound,
    knowledge,
    peers,
    refusals,
    sending,
    story,
)
from pimentolatch.platform import engines, heads

__all__ = ["StreamForwarder"]

_Outcome = typing.TypeVar("_Outcome")
_log = logbook.Logger("streams")

# The answer needs this long back to the client.
_RETURN_TIME = datetime.timedelta(milliseconds=10)
# Clients give a stream up after a gap of the longest of these.
_CLIENT_GAP = datetime.timedelta(seconds=2)
_CLIENT_GAP_TARGETS = 4
_CLIENT_GAP_PAUSES = 8
# An engine that is silent for this many of the route's longest pauses has stopped: a
# batch that is full and reads prompts besides stays under two.
_STALL_PAUSES = 4.0
# Time allowed to the first event, as a multiple of what was expected and at least.
_FIRST_EVENT_FACTOR = 3.0
_LEAST_FIRST_EVENT = datetime.timedelta(milliseconds=900)
# Engines that one request may be offered to, declining ones included.
_MOST_TRIES = 5
_RELEASE_LIMIT = datetime.timedelta(seconds=1)
_NO_MORE_TRIES_RETRY = datetime.timedelta(milliseconds=500)
_PROMISES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True, slots=True)
class _Source:
    """A prompt that waits at the engine that read it."""

    reader: engine_loads.EngineLoad
    handle: str


@dataclasses.dataclass(slots=True)
class _Progress:
    """What has become of one request so far.

    Attributes:
        failed: Engines that failed or declined it.
        ran: Engines that may have begun to write.
        arrivals: Sendings that reached an engine, as the budget counts them.
        read_before: An engine has read the prompt for another one.
        last_event: Number of the last event that the client received.
        answered: A failure that an engine gave, to be passed on if nothing better
            comes.
        wait: When to come back, if no engine took the request.
        counted: The request has been counted as demand.
    """

    failed: set[str] = dataclasses.field(default_factory=set)
    ran: int = 0
    arrivals: int = 0
    read_before: bool = False
    last_event: int = 0
    answered: sending.Whole | None = None
    reason: str = ""
    wait: datetime.timedelta = _NO_MORE_TRIES_RETRY
    counted: bool = False


class StreamForwarder:
    """Places requests on engines and passes their events on.

    A stream that breaks goes on at another engine, within the same answer, if its
    route allows it: the client sees no seam. Otherwise its connection is closed, so
    that the answer does not look whole.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        client: sending.ServerClient,
        budget: repeat_budget.RepeatBudget,
        time: clock.Clock,
        own_domain: str,
        sightings: peers.Sightings,
        told: story.Story,
    ) -> None:
        self._story = told
        self._known = known
        self._client = client
        self._sightings = sightings
        self._demands: dict[str, demand_rate.DemandRate] = {}
        self._budget = budget
        self._clock = time
        self._domain = own_domain
        self._background: set[asyncio.Task[None]] = set()

    def demand(self, service: str) -> demand_rate.ServiceDemand:
        """Return what clients ask of a service through this instance."""
        return self._rate(service).rate(self._clock.monotonic())

    def demands(self) -> dict[str, demand_rate.ServiceDemand]:
        """Return what clients ask of each service through this instance."""
        return {service: self.demand(service) for service in self._demands}

    def _rate(self, service: str) -> demand_rate.DemandRate:
        return self._demands.setdefault(service, demand_rate.DemandRate())

    def _count_demand(self, asked: inbound.Inbound, place: placement.Place) -> None:
        """Count what the engines that read apart are asked for."""
        prompt = asked.head.prompt
        assert prompt is not None
        loads = self._known.loads(asked.service.name)
        if isinstance(place, placement.InPlace):
            cost = 0.0
        elif isinstance(place, placement.Apart):
            cost = loads.reading_cost(place.tokens)
        else:
            unread = (engine.unread(prompt) for engine in loads.all())
            cost = loads.reading_cost(min(unread, default=prompt.tokens))
        rate = self._rate(asked.service.name)
        rate.add(cost, prompt.expected_output, self._clock.monotonic())

    async def run(self, asked: inbound.Inbound, answer: inbound.Answer) -> None:
        """Answer a request."""
        progress = _Progress(last_event=asked.head.last_event)
        try:
            async with asyncio.timeout(
                max(0.0, (asked.until - self._clock.monotonic()).total_seconds())
            ):
                for _ in range(_MOST_TRIES):
                    if await self._try(asked, answer, progress):
                        return
        except TimeoutError:
            await self._time_is_up(answer, progress)
            return
        await self._conclude(answer, progress)

    async def _time_is_up(self, answer: inbound.Answer, progress: _Progress) -> None:
        if answer.started:
            answer.break_off("deadline passed in the stream")
        elif progress.ran:
            await answer.refuse(refusals.deadline_passed())
        else:
            await answer.refuse(refusals.not_run_in_time())

    async def _conclude(self, answer: inbound.Answer, progress: _Progress) -> None:
        whole = progress.answered
        if answer.started:
            answer.break_off(progress.reason)
        elif whole is not None and whole.status not in _PROMISES:
            await answer.whole(whole.status, whole.head.fields, whole.body)
        elif progress.ran:
            await answer.refuse(refusals.outcome_unknown(progress.reason))
        else:
            await answer.refuse(refusals.overloaded(progress.wait))

    async def _try(
        self, asked: inbound.Inbound, answer: inbound.Answer, progress: _Progress
    ) -> bool:
        """Offer the request to engines once; True if the answer is finished."""
        now = self._clock.monotonic()
        if progress.ran >= max(1, asked.route.most_servers):
            return await self._give_up(answer, progress)
        place = self._choose(asked, progress, now)
        if isinstance(place, placement.Hopeless):
            progress.wait = place.retry_after
            return await self._give_up(answer, progress)
        if not self._may_send(asked, progress):
            return await self._give_up(answer, progress)
        if isinstance(place, placement.InPlace):
            return await self._write(asked, answer, progress, place, None)
        source = await self._read_apart(asked, place, progress)
        if source is None:
            return False
        writer = self._choose_writer(asked, source, progress)
        if writer is None or not self._may_send(asked, progress):
            self._release(source)
            return await self._give_up(answer, progress)
        place = dataclasses.replace(place, engine=writer)
        return await self._write(asked, answer, progress, place, source)

    def _choose_writer(
        self, asked: inbound.Inbound, source: _Source, progress: _Progress
    ) -> engine_loads.EngineLoad | None:
        assert asked.head.prompt is not None and asked.service.engine is not None
        loads = self._known.loads(asked.service.name)
        return placement.Placement(loads, self._domain).choose_writer(
            asked.head.prompt,
            source.reader,
            asked.service.engine,
            self._clock.monotonic(),
            without=frozenset(progress.failed),
        )

    def _may_send(self, asked: inbound.Inbound, progress: _Progress) -> bool:
        """Tell whether the budget allows one more sending of a request.

        The first sending is free, and so is the first prompt that is read apart. A
        further one is paid for before it goes out, since a server that declines it has
        been disturbed all the same.
        """
        if not progress.arrivals:
            return True
        return self._budget.spend(asked.service.name, self._clock.monotonic())

    async def _give_up(self, answer: inbound.Answer, progress: _Progress) -> bool:
        await self._conclude(answer, progress)
        return True

    def _choose(
        self, asked: inbound.Inbound, progress: _Progress, now: datetime.timedelta
    ) -> placement.Place:
        assert asked.head.prompt is not None and asked.service.engine is not None
        loads = self._known.loads(asked.service.name)
        chooser = placement.Placement(loads, self._domain)
        place = chooser.choose(
            placement.Asked(
                asked.head.prompt,
                asked.route.rank,
                asked.route.latency_target,
                due=asked.arrived + asked.route.latency_target - now,
                patience=min(asked.until, asked.arrived + _client_gap(asked)) - now,
                lot=subset.rank(asked.request_id, "lot") / 2**64,
            ),
            asked.service.engine,
            now,
            without=frozenset(progress.failed),
        )
        if not progress.counted:
            progress.counted = True
            self._count_demand(asked, place)
        self._tell_place(asked, place)
        return place

    def _tell_place(self, asked: inbound.Inbound, place: placement.Place) -> None:
        if isinstance(place, placement.Hopeless):
            wait = place.retry_after / datetime.timedelta(milliseconds=1)
            self._story.tell(
                story.PLACED, asked.request_id, wrong=True, refused_for_ms=round(wait)
            )
            return
        reader = place.reader if isinstance(place, placement.Apart) else place.engine
        self._story.tell(
            story.PLACED,
            asked.request_id,
            reader=reader.server.server_id,
            writer=place.engine.server.server_id,
            donor=None if place.donor is None else place.donor.server.server_id,
            tokens=place.tokens,
            urgency=place.level,
            expected_ms=round(place.expected / datetime.timedelta(milliseconds=1)),
        )

    def _tell_sent(
        self,
        asked: inbound.Inbound,
        engine: engine_loads.EngineLoad,
        what: str,
        outcome: sending.Outcome,
        since: datetime.timedelta,
    ) -> None:
        self._story.tell(
            story.SENT,
            asked.request_id,
            wrong=not isinstance(outcome, sending.Whole | sending.Opened),
            server=engine.server.server_id,
            what=what,
            outcome=sending.text_of(outcome),
            ms=self._story.elapsed_ms(since),
        )

    async def _read_apart(
        self, asked: inbound.Inbound, place: placement.Apart, progress: _Progress
    ) -> _Source | None:
        """Have the prompt read; None if the engine did not."""
        reader = place.reader
        loads = self._known.loads(asked.service.name)
        begun = self._clock.monotonic()
        ahead = reader.all_reading(begun)
        cost = loads.reading_cost(place.tokens)
        delivery = heads.Delivery(
            reader.server.server_id,
            asked.until - begun - _RETURN_TIME,
            urgency=place.level,
            only_read=True,
            donor=_address(place.donor),
        )
        reader.reading[place.level] += cost
        try:
            outcome = await self._while_alive(
                reader,
                self._client.whole(reader.server, asked, delivery),
                max(_LEAST_FIRST_EVENT, _FIRST_EVENT_FACTOR * place.expected),
            )
        finally:
            reader.reading[place.level] -= cost
        self._tell_sent(asked, reader, "read", outcome, begun)
        source = self._source(reader, outcome)
        now = self._clock.monotonic()
        if source is None:
            progress.failed.add(reader.server.server_id)
            if not isinstance(outcome, sending.NotSent):
                progress.arrivals += 1
            if isinstance(outcome, sending.Declined):
                loads.declined(reader, now)
            else:
                loads.failed(reader, now)
            progress.reason = f"prompt not read: {sending.text_of(outcome)}"
            return None
        if progress.read_before:
            progress.arrivals += 1
        progress.read_before = True
        loads.succeeded(reader, now)
        loads.read_in(ahead, place.tokens, now - begun)
        self._keep(asked, reader)
        return source

    async def _while_alive(
        self,
        engine: engine_loads.EngineLoad,
        call: abc.Coroutine[typing.Any, typing.Any, _Outcome],
        silence: datetime.timedelta,
    ) -> _Outcome | sending.Broken:
        """Wait for a call as long as its engine answers anybody.

        A prompt that waits behind others is not helped by a second engine, where it
        would start at the end of the queue again and cost a repeat. An engine that has
        answered nothing in all that time has stopped.
        """
        task = asyncio.create_task(call)
        begun = self._clock.monotonic()
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=silence.total_seconds())
                if not task.done() and engine.answered_at < begun:
                    return sending.Broken("the engine answered nobody in time")
                begun = self._clock.monotonic()
            return task.result()
        finally:
            task.cancel()

    def _source(
        self,
        reader: engine_loads.EngineLoad,
        outcome: sending.Whole | sending.NotSent | sending.Declined | sending.Broken,
    ) -> _Source | None:
        if not isinstance(outcome, sending.Whole) or outcome.status != 200:
            return None
        try:
            return _Source(reader, engines.decode_read_prompt(outcome.body).handle)
        except ValueError as error:
            _log.warn("a reading engine gave no handle", reason=str(error))
            return None

    def _keep(self, asked: inbound.Inbound, engine: engine_loads.EngineLoad) -> None:
        assert asked.head.prompt is not None and asked.service.engine is not None
        engine.keep(asked.head.prompt.parts, asked.service.engine.kv_tokens)
        self._sightings.add(engine.server.server_id, asked.head.prompt.parts)

    async def _write(
        self,
        asked: inbound.Inbound,
        answer: inbound.Answer,
        progress: _Progress,
        place: placement.InPlace | placement.Apart,
        source: _Source | None,
    ) -> bool:
        engine = place.engine
        in_place = place.tokens if source is None else 0
        assert asked.head.prompt is not None
        held = asked.head.prompt.tokens + asked.head.prompt.expected_output
        engine.writing += 1
        engine.held += held
        engine.reading[place.level] += in_place
        writing = _Writing(asked, answer, progress, place, in_place)
        taken = False
        try:
            begun = self._clock.monotonic()
            opened = await self._open(writing, source)
            self._tell_sent(asked, engine, "run", opened, begun)
            if not isinstance(opened, sending.Opened):
                return self._not_opened(writing, opened)
            taken = True
            with self._client.held(engine.server, opened):
                return await self._pass_on(writing, opened)
        finally:
            engine.writing -= 1
            engine.held -= held
            engine.reading[place.level] -= writing.unread
            if source is not None and not taken:
                self._release(source)

    async def _open(
        self, writing: "_Writing", source: _Source | None
    ) -> sending.Opened | sending.NotSent | sending.Declined | sending.Broken:
        asked, place, progress = writing.asked, writing.place, writing.progress
        now = self._clock.monotonic()
        resumed = progress.last_event > asked.head.last_event
        delivery = heads.Delivery(
            place.engine.server.server_id,
            asked.until - now - _RETURN_TIME,
            urgency=place.level,
            source=None
            if source is None
            else (source.reader.server.address, source.handle),
            last_event=progress.last_event if resumed else None,
            donor=_address(place.donor) if source is None else None,
        )
        limit = max(_LEAST_FIRST_EVENT, _FIRST_EVENT_FACTOR * place.expected)
        if not asked.route.repeatable:
            limit = asked.until - now
        try:
            async with asyncio.timeout(limit.total_seconds()):
                return await self._client.open(place.engine.server, asked, delivery)
        except TimeoutError:
            return sending.Broken("no answer in time")

    def _not_opened(
        self,
        writing: "_Writing",
        outcome: sending.NotSent | sending.Declined | sending.Broken,
    ) -> bool:
        """Note why an engine gave no answer; returns False: the request goes on."""
        asked, progress = writing.asked, writing.progress
        engine = writing.place.engine
        progress.reason = sending.text_of(outcome)
        if not isinstance(outcome, sending.NotSent):
            progress.arrivals += 1
        loads = self._known.loads(asked.service.name)
        now = self._clock.monotonic()
        progress.failed.add(engine.server.server_id)
        if isinstance(outcome, sending.Declined):
            loads.declined(engine, now)
            return False
        loads.failed(engine, now)
        if isinstance(outcome, sending.Broken):
            self._count_run(writing)
        return False

    def _count_run(self, writing: "_Writing") -> None:
        writing.progress.ran += 1
        if not writing.asked.route.repeatable:
            # Nothing may run a second time, so no further engine is tried.
            writing.progress.ran = max(
                writing.progress.ran, writing.asked.route.most_servers
            )

    async def _pass_on(self, writing: "_Writing", opened: sending.Opened) -> bool:
        """Pass an engine's events on; True if the answer is finished."""
        asked, progress = writing.asked, writing.progress
        engine = writing.place.engine
        loads = self._known.loads(asked.service.name)
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
            broken = sending.Broken(progress.reason)
            self._tell_sent(asked, engine, "stream", broken, asked.arrived)
            progress.failed.add(engine.server.server_id)
            loads.failed(engine, self._clock.monotonic())
            if not asked.route.repeatable and writing.answer.started:
                writing.answer.break_off(progress.reason)
                return True
            return False
        loads.succeeded(engine, self._clock.monotonic())
        return True

    async def _failed_answer(self, writing: "_Writing", opened: sending.Opened) -> bool:
        body = bytearray()
        while part := await opened.link.read():
            body += part
        progress = writing.progress
        progress.answered = sending.Whole(opened.status, opened.head, bytes(body))
        progress.reason = f"status {opened.status}"
        if opened.status < 500:
            await self._conclude(writing.answer, progress)
            return True
        progress.failed.add(writing.place.engine.server.server_id)
        return False

    async def _relay(self, writing: "_Writing", opened: sending.Opened) -> None:
        """Pass whole events on until the stream's end; raises `BrokenError`."""
        cutter = events.EventCutter()
        answer, progress = writing.answer, writing.progress
        last = self._clock.monotonic()
        while data := await self._read(writing, opened):
            whole = cutter.feed(data)
            new = [
                e for e in whole if e.number is None or e.number > progress.last_event
            ]
            if not new:
                continue
            now = self._clock.monotonic()
            self._learn(writing, now - last)
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

    async def _read(self, writing: "_Writing", opened: sending.Opened) -> bytes:
        route = writing.asked.route
        if not route.repeatable:
            return await opened.link.read()
        limit = _STALL_PAUSES * route.pause_target
        if writing.unread:
            limit = max(limit, _FIRST_EVENT_FACTOR * writing.place.expected)
        limit = max(limit, _LEAST_FIRST_EVENT)
        try:
            async with asyncio.timeout(limit.total_seconds()):
                return await opened.link.read()
        except TimeoutError:
            raise channel.BrokenError("the engine stopped in its stream") from None

    def _learn(self, writing: "_Writing", since: datetime.timedelta) -> None:
        """Note the first event, and the pauses after it."""
        engine = writing.place.engine
        if not writing.first_seen:
            writing.first_seen = True
            engine.reading[writing.place.level] -= writing.unread
            writing.unread = 0
            self._keep(writing.asked, engine)
            return
        self._known.loads(writing.asked.service.name).paused(engine, since)

    def _release(self, source: _Source) -> None:
        """Free a prompt that nobody will take, so that others get its memory."""
        task = asyncio.create_task(self._free(source))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _free(self, source: _Source) -> None:
        target = engines.release_target(source.handle)
        await self._client.call(
            source.reader.server, "DELETE", target, limit=_RELEASE_LIMIT
        )


@dataclasses.dataclass(slots=True)
class _Writing:
    """One engine's part in answering a request.

    Attributes:
        in_place: Tokens of the prompt that the engine reads itself.
        unread: Those of them that it has not read yet.
    """

    asked: inbound.Inbound
    answer: inbound.Answer
    progress: _Progress
    place: placement.InPlace | placement.Apart
    in_place: int
    unread: int = 0
    first_seen: bool = False

    def __post_init__(self) -> None:
        self.unread = self.in_place


def _address(engine: engine_loads.EngineLoad | None) -> settings.Address | None:
    return None if engine is None else engine.server.address


def _client_gap(asked: inbound.Inbound) -> datetime.timedelta:
    """Return how long the client waits for an event before it leaves."""
    route = asked.route
    return max(
        _CLIENT_GAP,
        _CLIENT_GAP_TARGETS * route.latency_target,
        _CLIENT_GAP_PAUSES * route.pause_target,
    )
