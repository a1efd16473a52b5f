"""An entry instance: assembles its parts, starts and stops them in order."""

import asyncio
import datetime
import signal

import logbook

from pimentolatch import clock, fleet, metrics, settings, tasks
from pimentolatch.backend import order_client
from pimentolatch.control import domain_controller
from pimentolatch.decisions import client_memory, outstanding_work
from pimentolatch.entry import (
    caller_front_end,
    clients,
    control_plane,
    graceful_shutdown,
    http_server,
    operator_front_end,
    peer_reports,
    planner,
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
# Time between the end of readiness and the refusal of new requests. The load balancer
# sends requests until it notices that readiness ended; refusing these would fail
# callers in a planned stop.
BALANCER_NOTICE = datetime.timedelta(seconds=1)


class EntryInstance:
    """An entry instance with all its parts."""

    def __init__(self, chosen: settings.EntrySettings, time: clock.Clock) -> None:
        self._settings = chosen
        self._clock = time
        self._shutdown = graceful_shutdown.GracefulShutdown()
        self._fleet = fleet.Fleet()
        self._metrics = metrics.Metrics()
        self._work = outstanding_work.OutstandingWork()
        self._clients = clients.BackendClients(chosen.instance, time)
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
        self._peer_reports = peer_reports.PeerReportTable(decisions, time)
        self._senders = sender_counts.SenderCounts(
            self._work.requests,
            lambda: self._control.known_incarnations,
            self._peer_reports,
        )
        self._control = control_plane.ControlPlane(
            chosen,
            self._fleet,
            time=time,
            measured=self._metrics,
            crashes=self._completions.suspects,
            report_source=self._peer_reports.own_report,
            report_table=self._senders,
        )
        self._peer_counts = peer_reports.PeerCountUpdater(
            decisions, self._control, time
        )
        self._domain_controller = self._build_domain_controller()
        self._sender = service_call.CallSender(
            own_fleet=self._fleet,
            own_domain=chosen.failure_domain,
            servers=self._clients.plain,
            work=self._work,
            time=time,
        )
        self._keyed_calls = self._build_keyed_calls()
        memory = client_memory.ClientMemory(chosen.memory_mb)
        self._metrics.observe_memory(memory)
        self._caller_server = http_server.HttpServer(
            self._build_caller_front_end().application(),
            chosen.callers,
            memory=memory,
        )
        self._operator_server = http_server.HttpServer(
            self._build_operator_front_end().application(),
            chosen.operators,
            memory=memory,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _build_domain_controller(self) -> domain_controller.DomainController:
        return domain_controller.DomainController(
            self._control.store,
            self._fleet,
            self._clock,
            failure_domain=self._settings.failure_domain,
            incarnation=self._control.incarnation,
            acknowledgements=self._control.acknowledgements,
            senders=self._senders,
            engines=order_client.HttpOrderClient(self._settings.instance),
            leaving=lambda: self._control.leaving_servers,
            planner=planner.DemandPlanner(self._fleet, self._peer_reports.demand),
        )

    def _build_keyed_calls(self) -> at_most_once.AtMostOnce:
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

    def _build_caller_front_end(self) -> caller_front_end.CallerFrontEnd:
        return caller_front_end.CallerFrontEnd(
            self._settings,
            own_fleet=self._fleet,
            completions=self._completions,
            calls=service_call.ServiceCallRunner(
                own_fleet=self._fleet, sender=self._sender, keyed=self._keyed_calls
            ),
            issuer=self._keyed_calls,
            shutdown=self._shutdown,
            time=self._clock,
            measured=self._metrics,
        )

    def _build_operator_front_end(self) -> operator_front_end.OperatorFrontEnd:
        return operator_front_end.OperatorFrontEnd(
            self._settings,
            own_fleet=self._fleet,
            control=self._control,
            controller=self._domain_controller,
            shutdown=self._shutdown,
            time=self._clock,
            measured=self._metrics,
        )

    async def start(self) -> None:
        """Start the parts.

        Raises:
            OSError: An address can't be bound.
        """
        await self._operator_server.start()
        await self._control.start()
        await self._caller_server.start()
        for work in (
            self._completions.scheduler.run,
            self._peer_counts.run,
            self._domain_controller.run,
        ):
            supervised = tasks.keep_running(work.__qualname__, work, self._clock)
            self._tasks.append(asyncio.create_task(supervised))
        _log.info("started", failure_domain=self._settings.failure_domain)

    async def stop(self, notice: datetime.timedelta = BALANCER_NOTICE) -> None:
        """Shut down gracefully: drain requests in flight, then stop the parts.

        Args:
            notice: Time from the end of readiness to the refusal of new requests.
        """
        _log.info("stopping", in_flight=self._shutdown.in_flight)
        self._shutdown.announce_stop()
        await self._clock.sleep(notice)
        self._shutdown.stop()
        await self._domain_controller.stop()
        grace = datetime.timedelta(seconds=self._settings.stop_grace_s)
        if not await self._shutdown.wait_drained(grace):
            _log.warn(
                "shutdown grace period expired; requests in flight are cut",
                n=self._shutdown.in_flight,
            )
        await self._keyed_calls.retire()
        await self._caller_server.stop()
        await self._operator_server.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._clients.aclose()
        # Last, since it tells peers that this incarnation sends nothing any more. A
        # successor that can bind the address for peers counts as proof of that, too.
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
