"""One entry instance: its parts, put together, started and stopped in order."""

import asyncio
import datetime
import signal

import logbook

from pimentolatch import clock, fleet, metrics, settings, tasks
from pimentolatch.backend import order_client
from pimentolatch.control import holder
from pimentolatch.decisions import outstanding_work
from pimentolatch.entry import (
    callers,
    clients,
    control_plane,
    gate,
    operators,
    peer_work,
    planner,
    servers,
)
from pimentolatch.membership import sender_counts
from pimentolatch.requests import (
    at_most_once,
    completion,
    idempotency_keys,
    key_claims,
    retired_owners,
    service_call,
    tickets,
)

__all__ = ["EntryInstance", "run_until_signal"]

_log = logbook.Logger("entry")
# The balancer goes on sending for a moment after readiness ends. Until it has
# noticed, new requests are served; refusing them at once would fail callers in a
# planned stop.
BALANCER_NOTICE = datetime.timedelta(seconds=1)


class EntryInstance:
    """All parts of an entry instance."""

    def __init__(self, chosen: settings.EntrySettings, time: clock.Clock) -> None:
        self._settings = chosen
        self._clock = time
        self._gate = gate.Gate()
        self._fleet = fleet.Fleet()
        self._metrics = metrics.Metrics()
        self._work = outstanding_work.OutstandingWork()
        self._clients = clients.BackendClients(chosen.instance)
        self._completions = completion.CompletionRunner(
            own_fleet=self._fleet,
            own_domain=chosen.failure_domain,
            engines=self._clients.engines,
            work=self._work,
            time=time,
            own_instance=chosen.instance,
            kv_client=self._clients.caches,
        )
        decisions = self._completions.scheduler.decisions
        self._peer_table = peer_work.PeerTable(decisions, time)
        self._senders = sender_counts.SenderCounts(
            self._work.requests,
            lambda: self._control.known_incarnations,
            self._peer_table,
        )
        self._control = control_plane.ControlPlane(
            chosen,
            self._fleet,
            time=time,
            measured=self._metrics,
            crashes=self._completions.suspects,
            source=self._peer_table.own,
            table=self._senders,
        )
        self._peer_work = peer_work.PeerWork(decisions, self._control, time)
        self._duty = self._duty_holder()
        self._sender = service_call.CallSender(
            own_fleet=self._fleet,
            own_domain=chosen.failure_domain,
            servers=self._clients.plain,
            work=self._work,
            time=time,
        )
        self._keyed = self._keyed_calls()
        self._caller_server = servers.HttpServer(
            self._caller_face().application(), chosen.callers
        )
        self._operator_server = servers.HttpServer(
            self._operator_face().application(), chosen.operators
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _duty_holder(self) -> holder.DutyHolder:
        return holder.DutyHolder(
            self._control.store,
            self._fleet,
            self._clock,
            failure_domain=self._settings.failure_domain,
            incarnation=self._control.incarnation,
            acknowledgements=self._control.acknowledgements,
            senders=self._senders,
            engines=order_client.HttpOrderClient(self._settings.instance),
            leaving=lambda: self._control.leaving_servers,
            planner=planner.DemandPlanner(self._fleet, self._peer_table.demand),
        )

    def _keyed_calls(self) -> at_most_once.AtMostOnce:
        objects, time = self._control.store, self._clock
        owner = key_claims.Owner(self._control.incarnation, self._settings.callers)
        table = idempotency_keys.KeyTable(time)
        budget = key_claims.claims_budget(
            self._settings.platform.calls_per_second, time
        )
        return at_most_once.AtMostOnce(
            owner,
            pages=key_claims.ClaimPages(objects, owner, time, budget),
            ticket_issuer=tickets.TicketIssuer(objects, owner, time, table.lifetime),
            table=table,
            retirements=retired_owners.RetiredOwners(objects, time, table.lifetime),
            instances=self._clients.instances,
            sender=self._sender,
            time=time,
        )

    def _caller_face(self) -> callers.CallerFace:
        return callers.CallerFace(
            self._settings,
            own_fleet=self._fleet,
            completions=self._completions,
            calls=service_call.ServiceCallRunner(
                own_fleet=self._fleet, sender=self._sender, keyed=self._keyed
            ),
            issuer=self._keyed,
            door=self._gate,
            time=self._clock,
            measured=self._metrics,
        )

    def _operator_face(self) -> operators.OperatorFace:
        return operators.OperatorFace(
            self._settings,
            own_fleet=self._fleet,
            control=self._control,
            duty=self._duty,
            door=self._gate,
            time=self._clock,
            measured=self._metrics,
        )

    async def start(self) -> None:
        """Start the parts; raises `OSError` if an address can't be had."""
        await self._operator_server.start()
        await self._control.start()
        await self._caller_server.start()
        for work in (
            self._completions.scheduler.run,
            self._peer_work.run,
            self._duty.run,
        ):
            kept = tasks.keep_running(work.__qualname__, work, self._clock)
            self._tasks.append(asyncio.create_task(kept))
        _log.info("started", failure_domain=self._settings.failure_domain)

    async def stop(self, notice: datetime.timedelta = BALANCER_NOTICE) -> None:
        """Stop without cutting a request."""
        _log.info("stopping", in_flight=self._gate.in_flight)
        self._gate.announce_stop()
        await self._clock.sleep(notice)
        self._gate.stop()
        await self._duty.stop()
        grace = datetime.timedelta(seconds=self._settings.stop_grace_s)
        if not await self._gate.wait_empty(grace):
            _log.warn("requests cut at the end of the grace", n=self._gate.in_flight)
        await self._keyed.retire()
        await self._caller_server.stop()
        await self._operator_server.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._clients.aclose()
        # Last: the farewell says that nothing is sent any more, and a successor that
        # finds the peers' address free is taken for the proof of it.
        await self._control.stop()
        _log.info("stopped")


async def run_until_signal(chosen: settings.EntrySettings) -> None:
    """Run an entry instance until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    instance = EntryInstance(chosen, clock.SystemClock())
    await instance.start()
    await stop.wait()
    await instance.stop()
