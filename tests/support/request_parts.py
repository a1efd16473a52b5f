"""Simulated instances, links and servers for calls with an idempotency key.

Every action of an instance that another process could see first passes a *point*. There
the instance can be frozen or killed; a killed one never gets past a point.
"""

import asyncio
import dataclasses
import random
import typing

from pimentolatch import fleet, results, settings
from pimentolatch.backend import instance_client, outcomes, plain_client
from pimentolatch.decisions import outstanding_work
from pimentolatch.document import schema
from pimentolatch.requests import (
    at_most_once,
    idempotency_keys,
    key_claims,
    retired_owners,
    service_call,
    tickets,
)
from standins import memory_store, object_table
from tests.support import request_history, virtual_time

__all__ = ["LogicInstance", "Safeguards", "Server", "SharedState", "document_of"]

SERVICE, OPERATION = "booking", "confirm"
_CONNECT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Safeguards:
    """Safeguards that a proof can disable to show that its checker then fails.

    Attributes:
        claims: Whether a key is claimed in the store before its call is dispatched.
        distinguish_unknown: Whether a lost answer is distinguished from a call that
            was not sent.
        match_answers: Whether each answer goes to the call that it belongs to.
    """

    claims: bool = True
    distinguish_unknown: bool = True
    match_answers: bool = True


class SharedState:
    """State that all instances of a simulation share.

    Attributes:
        never: Event that is never set; a killed incarnation waits for it.
        cut: Pairs of names between which the link is cut.
        hooks: Pairs of a point and a function that is called once, with the instance
            that passes the point first.
    """

    def __init__(self, seed: int, safeguards: Safeguards) -> None:
        self.random = random.Random(seed)
        self.safeguards = safeguards
        self.time = virtual_time.LoopClock()
        self.history = request_history.RequestHistory()
        self.table = object_table.ObjectTable()
        self.store_faults = memory_store.StoreFaults()
        self.servers: dict[str, Server] = {}
        self.instances: dict[str, LogicInstance] = {}
        self.calls_per_second = 1000.0
        self.never = asyncio.Event()
        self.cut: set[tuple[str, str]] = set()
        self.fleet = fleet.Fleet()
        self.hooks: list[tuple[str, typing.Callable[[LogicInstance], None]]] = []

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether the link between two instances or servers is cut."""
        return (one, other) in self.cut or (other, one) in self.cut


class Server:
    """A plain server: runs each call even if its answer is lost.

    Attributes:
        slow_s: Additional time before and after each run, in seconds.
        lost_answers: Number of the next answers that are lost.
        refusals: Number of the next calls that are refused without being run.
        crashes: Number of the next calls after whose run the server crashes.
    """

    def __init__(self, shared: SharedState, name: str, host: str) -> None:
        self.name = name
        self.address = settings.Address(host=host, port=9200)
        self.down = False
        self.slow_s = 0.0
        self.lost_answers = 0
        self.refusals = 0
        self.crashes = 0
        self._shared = shared
        self._last_response: outcomes.Response | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def receive(
        self, call: plain_client.Call
    ) -> asyncio.Future[outcomes.ServiceOutcome]:
        """Start a call and return a future of its answer.

        The call runs on even if nobody waits for the future.
        """
        answer: asyncio.Future[outcomes.ServiceOutcome] = asyncio.Future()
        task = asyncio.create_task(self._run(call, answer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return answer

    def restart(self) -> None:
        """Accept calls again after a crash."""
        self.down = False

    async def _run(
        self, call: plain_client.Call, answer: asyncio.Future[outcomes.ServiceOutcome]
    ) -> None:
        rng = self._shared.random
        await asyncio.sleep(rng.uniform(0.001, 0.05) + self.slow_s)
        if self.down:
            answer.set_result(outcomes.OutcomeUnknown("reset"))
            return
        if self.refusals:
            self.refusals -= 1
            answer.set_result(outcomes.NotRun("busy", reached=True))
            return
        key = call.body.decode()
        text = f"{self.name} ran {key} as {call.dispatch_id}"
        request = call.dispatch_id.rpartition(".")[0]
        self._shared.history.add(request_history.Run(request, key, text))
        await asyncio.sleep(rng.uniform(0.001, 0.05) + self.slow_s)
        if self.crashes:
            self.crashes -= 1
            self.down = True
            asyncio.get_running_loop().call_later(rng.uniform(0.1, 3.0), self.restart)
        response = outcomes.Response(200, text.encode(), "text/plain")
        if self.lost_answers or self.down:
            self.lost_answers = max(0, self.lost_answers - 1)
            answer.set_result(outcomes.OutcomeUnknown("connection lost"))
        elif (
            not self._shared.safeguards.match_answers
            and self._last_response is not None
        ):
            answer.set_result(self._last_response)
        else:
            answer.set_result(response)
        self._last_response = response


class _NonExclusiveClaims(key_claims.ClaimPages):
    """Claims with the safeguard disabled: every attempt gets the claim of its key."""

    async def claim(self, name: str, fingerprint: str) -> typing.Any:
        found = await super().claim(name, fingerprint)
        if isinstance(found, key_claims.AlreadyClaimed):
            return key_claims.Claimed(found.claim)
        return found


class LogicInstance:
    """The part of an entry instance that runs calls with an idempotency key.

    It can be killed and restarted.
    """

    def __init__(self, shared: SharedState, name: str, host: str) -> None:
        self.name = name
        self.address = settings.Address(host=host, port=8080)
        self.frozen_until = 0.0
        self._shared = shared
        self._starts = 0
        self.start()

    @property
    def alive(self) -> bool:
        """Whether an incarnation is running."""
        return not self.ended.is_set()

    def start(self) -> None:
        """Start a new incarnation without any state of earlier ones."""
        shared = self._shared
        self._starts += 1
        incarnation = f"{self.name}#{self._starts}"
        self.ended = asyncio.Event()
        links = _Links(shared, self, self.ended)
        owner = key_claims.Owner(incarnation, self.address)
        self.store = store = memory_store.MemoryStore(
            shared.table,
            time=shared.time,
            link=self.name,
            faults=shared.store_faults,
            pause=links.point,
        )
        pages = (
            key_claims.ClaimPages if shared.safeguards.claims else _NonExclusiveClaims
        )
        table = idempotency_keys.KeyTable(shared.time)
        self.once = at_most_once.AtMostOnce(
            owner,
            pages=pages(
                store,
                owner,
                shared.time,
                key_claims.claims_budget(shared.calls_per_second, shared.time),
            ),
            ticket_issuer=tickets.TicketIssuer(
                store, owner, shared.time, table.lifetime
            ),
            table=table,
            retirements=retired_owners.RetiredOwners(
                store, shared.time, table.lifetime
            ),
            instances=links,
            sender=service_call.CallSender(
                own_fleet=shared.fleet,
                own_domain="north",
                servers=links,
                work=outstanding_work.OutstandingWork(),
                time=shared.time,
            ),
            time=shared.time,
        )

    def kill(self) -> None:
        """Kill the incarnation; calls that it has sent still run."""
        self.ended.set()

    def freeze(self, seconds: float) -> None:
        """Freeze the incarnation for a time."""
        until = asyncio.get_running_loop().time() + seconds
        self.frozen_until = max(self.frozen_until, until)

    async def serve(
        self, call: service_call.ServiceCall
    ) -> idempotency_keys.Outcome | None:
        """Answer a call; None if the instance was killed meanwhile."""
        ended = self.ended
        if ended.is_set():
            return None
        work = asyncio.create_task(self.once.run(call))
        killed = asyncio.create_task(ended.wait())
        await asyncio.wait((work, killed), return_when="FIRST_COMPLETED")
        killed.cancel()
        if ended.is_set():
            work.cancel()
            return None
        outcome = work.result()
        await self.wait_until_thawed()
        return None if ended.is_set() else outcome

    async def wait_until_thawed(self) -> None:
        """Wait until the incarnation is not frozen."""
        remaining = self.frozen_until - asyncio.get_running_loop().time()
        if remaining > 0:
            await asyncio.sleep(remaining)
            await self.wait_until_thawed()


class _Links:
    """Links of one incarnation to the servers, the instances and the store."""

    def __init__(
        self, shared: SharedState, of: LogicInstance, ended: asyncio.Event
    ) -> None:
        self._shared = shared
        self._of = of
        self._ended = ended

    async def point(self, name: str) -> None:
        """Pass a point: wait while frozen, and for ever once killed."""
        for hook in [t for t in self._shared.hooks if t[0] == name]:
            self._shared.hooks.remove(hook)
            hook[1](self._of)
        await asyncio.sleep(self._shared.random.uniform(0.0001, 0.004))
        await self._of.wait_until_thawed()
        if self._ended.is_set():
            # The process has been killed: nothing after this point may happen.
            await self._shared.never.wait()

    async def call(
        self, address: settings.Address, call: plain_client.Call
    ) -> outcomes.ServiceOutcome:
        """Send a call to a plain server, as the product's client does."""
        await self.point("send")
        server = next(s for s in self._shared.servers.values() if s.address == address)
        if server.down or self._shared.is_cut(self._of.name, server.name):
            await asyncio.sleep(_CONNECT_S)
            await self.point("refused")
            return outcomes.NotRun("connect", reached=False)
        answer = server.receive(call)
        outcome: outcomes.ServiceOutcome
        try:
            async with asyncio.timeout(call.time_limit.total_seconds()):
                outcome = await asyncio.shield(answer)
            if self._shared.is_cut(self._of.name, server.name):
                outcome = outcomes.OutcomeUnknown("cut")
        except TimeoutError:
            outcome = outcomes.OutcomeUnknown("no answer in time")
        await self.point("answered")
        if not self._shared.safeguards.distinguish_unknown and isinstance(
            outcome, outcomes.OutcomeUnknown
        ):
            return outcomes.NotRun(outcome.reason, reached=False)
        return outcome

    async def forward(
        self, address: settings.Address, call: instance_client.Forward
    ) -> (
        outcomes.Response | results.Refusal | outcomes.NotRun | outcomes.OutcomeUnknown
    ):
        """Forward a call to another instance, as the product's client does."""
        await self.point("forward")
        target = next(
            i for i in self._shared.instances.values() if i.address == address
        )
        if not target.alive or self._shared.is_cut(self._of.name, target.name):
            await asyncio.sleep(_CONNECT_S)
            return outcomes.NotRun("connect", reached=False)
        forwarded_call = service_call.ServiceCall(
            call.request_id,
            call.authorization or "",
            call.service,
            call.operation,
            call.body,
            call.content_type,
            self._shared.time.monotonic() + call.time_limit,
            call.idempotency_key,
            call.authorization,
            forwarded=True,
        )
        try:
            async with asyncio.timeout(call.time_limit.total_seconds()):
                outcome = await target.serve(forwarded_call)
        except TimeoutError:
            return outcomes.OutcomeUnknown("no answer in time")
        await self.point("forwarded")
        return (
            outcomes.OutcomeUnknown("connection lost") if outcome is None else outcome
        )


def document_of(servers: typing.Iterable[Server]) -> fleet.Configuration:
    """Return a configuration with one service that the servers offer."""
    document = schema.FleetDocument(
        fleet="proof",
        failure_domains=({"name": "north", "region": "region"},),
        services=(
            {
                "name": SERVICE,
                "operations": [{"name": OPERATION, "repeatable": False}],
            },
        ),
        backend_servers=tuple(
            {
                "kind": "plain",
                "name": server.name,
                "failure_domain": "north",
                "address": server.address.model_dump(),
                "services": [SERVICE],
            }
            for server in servers
        ),
    )
    return fleet.Configuration(1, "hash", document)
