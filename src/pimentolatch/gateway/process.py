"""One gateway instance: builds its components, starts and stops them in order."""

import asyncio
import datetime
import pathlib
import random
import signal
import typing
import uuid

import logbook

from pimentolatch import clock, logs, tasks, validation
from pimentolatch.decisions import (
    client_memory,
    neighbours,
    repeat_budget,
    server_choice,
)
from pimentolatch.entry import graceful_shutdown, http_server
from pimentolatch.gateway import (
    catch_up,
    dispatch,
    dispatch_check,
    expired_entries,
    extra_answers,
    fleet_state,
    flow_control,
    forwarded_admission,
    front_end,
    given_up_calls,
    http_protocol,
    list_confirmation,
    pause_monitor,
    plain_forwarder,
    quarantine,
    reachability_monitor,
    readiness_checks,
    request_log,
    resumptions,
    route_metrics,
    settings,
    store_watch,
    stream_forwarder,
    version_record,
    watch_controller,
)
from pimentolatch.gateway.leader import leader_tasks, stage_controller
from pimentolatch.gateway.peers import (
    beacon_exchange,
    cache_updates,
    departure_exchange,
    origin_exchange,
    peer_forwarder,
    peer_snapshots,
    peer_table,
    silence_exchange,
)
from pimentolatch.platform import objects

__all__ = ["GatewayInstance", "reload", "run_until_signal"]

_log = logbook.Logger("gateway")
# The load balancer probes readiness every second and removes an instance after two
# failures. Until then it still opens new connections, which have to be served.
_DRAIN_DELAY = datetime.timedelta(seconds=2.4)
_SHARE_INTERVAL = datetime.timedelta(seconds=1)
# The last requests are aborted this long before the grace period ends, so that the
# process exits before it is killed.
_ABORT_MARGIN = datetime.timedelta(milliseconds=400)
# Time within that to write the last answers.
_LAST_ANSWERS = datetime.timedelta(milliseconds=100)


class GatewayInstance:
    """A gateway instance with all its components.

    Args:
        chosen: Settings of the instance.
        time: Clock of the instance.
    """

    def __init__(self, chosen: settings.GatewaySettings, time: clock.Clock) -> None:
        self._settings = chosen
        self._clock = time
        self._shutdown = graceful_shutdown.GracefulShutdown()
        self._memory = client_memory.ClientMemory(chosen.memory_mb)
        own_place = neighbours.Place(chosen.peers.host, chosen.failure_domain)
        self._flow = flow_control.FlowControl(own_place, time)
        self._fleet = fleet_state.FleetState(
            self._flow.is_leaving,
            lambda server: self._silence.is_avoided(server),
            chosen.balance.speed_ratio,
        )
        self._silence = silence_exchange.SilenceExchange(
            self._fleet,
            chosen.instance,
            chosen.failure_domain,
            time,
            shared=chosen.balance.share_silence,
        )
        self._flow.on_leaving(self._fleet.mark_leaving)
        bounds = chosen.bounds
        self._metrics = route_metrics.RouteMetrics()
        self._request_log = request_log.RequestLog(time, self._metrics)
        # The parts that learn from the store and from peers are built later.
        self._pauses = pause_monitor.PauseMonitor(
            bounds.pause_limit, lambda: self._catch_up(), time
        )
        self._client = dispatch.ServerClient(
            time,
            self._flow,
            acknowledgement_limit=bounds.acknowledgement_limit,
            accepts=self._fleet.accepts,
            health_target=self._fleet.health_target,
            wait_until_current=self._pauses.wait_until_current,
            on_open=self._metrics.connection_opened,
            on_abandoned=self._request_log.write_abandoned,
            on_question=self._metrics.question_ended,
            on_extra_answer=extra_answers.ExtraAnswerLog(
                time, self._metrics.extra_answer
            ).write,
            on_given_up=given_up_calls.CallLog(time, self._metrics.call_given_up).write,
        )
        self._silence.observe(self._client)
        self._server_choice = server_choice.ServerChoice(
            chosen.failure_domain, self._silence.is_avoided
        )
        self._budget = repeat_budget.RepeatBudget(
            bounds.repeat_ratio,
            bounds.repeat_slack,
            datetime.timedelta(seconds=bounds.repeat_window_s),
        )
        self._store = objects.ObjectStore(
            chosen.store.address,
            datetime.timedelta(seconds=chosen.store.call_timeout_s),
            time,
        )
        self._cache_updates = cache_updates.CacheUpdates()
        self._incarnation = uuid.uuid4().hex
        self._peer_table = peer_table.PeerTable(
            chosen.instance,
            own_place,
            time,
            random.Random(),
        )
        self._quarantine = quarantine.Quarantine(
            chosen.quarantine.policy, time, self._peer_table.is_first_for
        )
        self._permission = dispatch_check.DispatchCheck(self._fleet, self._quarantine)
        self._monitor = reachability_monitor.ReachabilityMonitor(
            self._fleet, self._client, chosen.failure_domain, time, random.Random()
        )
        self._readiness_checks = readiness_checks.ReadinessChecks(
            self._fleet,
            readiness_checks.HealthCheck(self._client),
            lambda: self._peer_table.instances,
            self._peer_table.is_first_for,
            time,
            random.Random(),
        )
        self._peer_forwarder = peer_forwarder.PeerForwarder(
            self._fleet,
            self._peer_table,
            self._monitor,
            chosen.failure_domain,
            chosen.peers.forwarding_address.port,
            self._request_log,
            time,
        )
        self._leader_tasks = leader_tasks.LeaderTasks(
            chosen,
            self._incarnation,
            self._fleet,
            self._peer_table,
            self._store,
            lambda service: self._stream_forwarder.demand(service),
            time,
        )
        self._origins = origin_exchange.OriginExchange(
            chosen.peers.origins_address, self._peer_table.reachable_places, time
        )
        self._list_confirmation = list_confirmation.ListConfirmation(
            self._fleet,
            lambda: self._server_watch,
            lambda: self._version_record.recall(),
            lambda: self._peer_table.instances,
            time,
        )
        self._resumptions = resumptions.Resumptions(
            self._fleet,
            self._origins,
            self._list_confirmation,
            self._request_log,
            time,
        )
        self._version_record = version_record.VersionRecord(
            self._resumptions.history,
            self._store,
            self._peer_table.is_first_for,
            time,
        )
        self._stream_forwarder = stream_forwarder.StreamForwarder(
            self._fleet,
            self._client,
            self._flow,
            self._budget,
            time,
            chosen.failure_domain,
            self._cache_updates,
            self._quarantine,
            self._permission,
            self._leader_tasks.usage,
            self._request_log,
            self._metrics,
            self._monitor,
            self._peer_forwarder,
            self._resumptions,
        )
        self._plain_forwarder = plain_forwarder.PlainForwarder(
            self._fleet,
            self._client,
            self._flow,
            self._server_choice,
            self._budget,
            self._quarantine,
            self._permission,
            self._leader_tasks.usage,
            self._request_log,
            self._monitor,
            self._peer_forwarder,
            time,
        )
        grace = datetime.timedelta(seconds=chosen.bounds.stop_grace_s)
        self._face = http_server.HttpServer(
            self._front_end(None),
            chosen.clients,
            http_protocol.protocol_class(self._fleet, self._request_log),
            grace,
            self._memory,
        )
        self._peer_face = http_server.HttpServer(
            self._front_end(forwarded_admission.ForwardedAdmission(self._monitor)),
            chosen.peers.forwarding_address,
            http_protocol.protocol_class(
                self._fleet, self._request_log, http_protocol.ForwardedProtocol
            ),
            grace,
            self._memory,
        )
        self._readiness = http_server.HttpServer(
            self._ready, chosen.readiness, memory=self._memory
        )
        self._fleet.on_change(self._drop_unlisted)
        self._tasks: list[asyncio.Task[None]] = []
        self._build_peer_parts()
        self._metrics.registry.register(
            route_metrics.StateCollector(
                self._fleet,
                self._peer_table,
                self._quarantine,
                self._leader_tasks.leadership,
                self._shutdown,
                self._flow,
                self._monitor,
                self._silence,
                self._leader_tasks.server_needs,
                self._memory,
                time,
            )
        )
        self._metrics_server: http_server.HttpServer | None = None
        if chosen.metrics is not None:
            endpoint = route_metrics.MetricsEndpoint(self._metrics)
            self._metrics_server = http_server.HttpServer(
                endpoint, chosen.metrics, memory=self._memory
            )

    @property
    def budget(self) -> repeat_budget.RepeatBudget:
        """Budget for dispatches to a second server."""
        return self._budget

    @property
    def fleet(self) -> fleet_state.FleetState:
        """Local fleet state: configuration, servers and engine loads."""
        return self._fleet

    @property
    def in_flight(self) -> int:
        """Number of requests being served."""
        return self._shutdown.in_flight

    @property
    def flow(self) -> flow_control.FlowControl:
        """What the servers have asked for."""
        return self._flow

    @property
    def quarantine(self) -> quarantine.Quarantine:
        """Quarantine of requests that crash servers."""
        return self._quarantine

    @property
    def peers(self) -> peer_table.PeerTable:
        """The known peers of the instance."""
        return self._peer_table

    def _build_peer_parts(self) -> None:
        chosen, fleet, time = self._settings, self._fleet, self._clock
        domain = chosen.failure_domain
        self._beacon_exchange = beacon_exchange.BeaconExchange(
            chosen.peers,
            chosen.instance,
            domain,
            self._incarnation,
            fleet,
            self._peer_table,
            self._cache_updates,
            self._quarantine,
            self._leader_tasks.leadership,
            self._flow,
            lambda: self._monitor.cut_off_services,
            self._stream_forwarder.demands,
            self._silence,
            departure_exchange.DepartureExchange(fleet),
            time,
            random.Random(),
        )
        self._expired_servers = expired_entries.ExpiredServers(fleet, time)
        self._snapshot_fetcher = peer_snapshots.SnapshotFetcher(
            fleet,
            self._peer_table,
            self._expired_servers,
            chosen.peers.address.port,
            time,
        )
        self._snapshots = http_server.HttpServer(
            peer_snapshots.SnapshotEndpoint(fleet, self._expired_servers, time),
            chosen.peers.address,
            memory=self._memory,
        )
        self._server_watch = store_watch.ServerWatch(
            self._store,
            fleet,
            self._expired_servers,
            time,
            chosen.bounds.server_watch,
            self._pauses.stood_still_since,
        )
        watches = (
            store_watch.ConfigurationWatch(
                self._store,
                fleet,
                time,
                chosen.bounds.configuration_watch,
                self._pauses.stood_still_since,
            ),
            self._server_watch,
        )
        self._catch_up = catch_up.CatchUp(
            watches, self._snapshot_fetcher, self._readiness_checks.ask_unconfirmed
        )
        self._watch_controller = watch_controller.WatchController(
            chosen.instance, fleet, self._peer_table, watches, time
        )
        self._stage_controller = stage_controller.StageController(
            chosen.instance,
            fleet,
            self._peer_table,
            self._leader_tasks.leadership,
            self._client,
            self._flow,
            self._stream_forwarder.demand,
            time,
        )

    def _front_end(
        self, admission: forwarded_admission.ForwardedAdmission | None
    ) -> front_end.RouteFrontEnd:
        return front_end.RouteFrontEnd(
            self._fleet,
            (self._plain_forwarder, self._stream_forwarder),
            self._budget,
            self._shutdown,
            self._permission,
            self._request_log,
            self._settings.digest_key.encode(),
            self._clock,
            wait_until_current=self._pauses.wait_until_current,
            admission=admission,
        )

    def _drop_unlisted(self) -> None:
        listed = frozenset(s.incarnation for s in self._fleet.servers.all())
        self._client.retain(listed)
        self._silence.retain(listed)
        self._server_choice.retain(listed)
        self._flow.retain(listed)

    async def _ready(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        ready = self._shutdown.ready and self._fleet.complete
        await send(
            {
                "type": "http.response.start",
                "status": 200 if ready else 503,
                "headers": [(b"content-length", b"0")],
            }
        )
        await send({"type": "http.response.body", "body": b""})

    async def start(self) -> None:
        """Start the components.

        Raises:
            OSError: An address can't be bound.
        """
        await self._snapshots.start()
        await self._beacon_exchange.start()
        await self._origins.start()
        await self._leader_tasks.start()
        for work in (
            self._watch_controller.run,
            self._expired_servers.run,
            self._beacon_exchange.run,
            self._origins.run,
            self._version_record.run,
            self._snapshot_fetcher.run,
            self._stage_controller.run,
            self._share_bounds,
            self._quarantine.review,
            self._monitor.run,
            self._pauses.run,
            self._readiness_checks.run,
            self._readiness_checks.run_first_list,
            *self._leader_tasks.runners,
        ):
            supervised = tasks.keep_running(work.__qualname__, work, self._clock)
            self._tasks.append(asyncio.create_task(supervised))
        if self._metrics_server is not None:
            await self._metrics_server.start()
        await self._peer_face.start()
        await self._face.start()
        # Last, or the load balancer could send clients before they can connect.
        await self._readiness.start()
        _log.info("started", failure_domain=self._settings.failure_domain)

    def apply(self, chosen: settings.GatewaySettings) -> None:
        """Apply new settings as far as they can change while requests run.

        Changed addresses and names take effect at the next start only: closing a
        listening socket would abort the requests that are about to reach it.
        """
        changeable = {"bounds", "quarantine", "logs"}
        before, after = self._settings, chosen
        if before.model_dump(exclude=changeable) != after.model_dump(
            exclude=changeable
        ):
            _log.warn("changed addresses and names take effect after a restart")
        self._settings = before.model_copy(
            update={"bounds": after.bounds, "quarantine": after.quarantine}
        )
        self._quarantine.apply(after.quarantine.policy)
        self._watch_controller.apply(after.bounds)
        self._pauses.limit = after.bounds.pause_limit
        bounds = after.bounds
        self._budget.configure(
            bounds.repeat_ratio,
            bounds.repeat_slack,
            datetime.timedelta(seconds=bounds.repeat_window_s),
        )
        _log.info(
            "settings in force",
            bounds=bounds.model_dump(),
            quarantine=after.quarantine.model_dump(),
        )

    async def _share_bounds(self) -> None:
        """Divide the fleet's bounds among its instances, periodically."""
        while True:
            self._budget.set_instances(self._peer_table.instances)
            self._flow.set_members(self._peer_table.places())
            await self._clock.sleep(_SHARE_INTERVAL)

    async def stop(self) -> None:
        """Stop gracefully: requests that end within the grace period are completed."""
        _log.info("stopping", in_flight=self._shutdown.in_flight)
        grace = datetime.timedelta(seconds=self._settings.bounds.stop_grace_s)
        ends_at = self._clock.monotonic() + grace - _ABORT_MARGIN
        self._shutdown.announce_stop(ends_at)
        self._leader_tasks.leadership.announce_stop()
        self._beacon_exchange.announce_stop()
        await self._clock.sleep(_DRAIN_DELAY)
        remaining = grace - _DRAIN_DELAY - _ABORT_MARGIN
        # Closes idle connections first, then waits for requests. If requests were
        # counted before that, there might be none, and one that arrived while the
        # connections close would be aborted.
        closing = asyncio.ensure_future(
            asyncio.gather(self._face.stop(), self._peer_face.stop())
        )
        await asyncio.wait({closing}, timeout=remaining.total_seconds())
        if not closing.done():
            _log.warn(
                "requests ended at the end of the grace period",
                n=self._shutdown.in_flight,
            )
            self._shutdown.end_requests()
            await self._shutdown.wait_drained(_LAST_ANSWERS)
            closing.cancel()
        await self.abort()
        # A cancellation that nobody retrieves is logged as an internal error.
        await asyncio.gather(closing, return_exceptions=True)
        _log.info("stopped")

    async def abort(self) -> None:
        """Stop immediately, aborting all requests."""
        self._shutdown.announce_abort()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in (
            self._face,
            self._peer_face,
            self._readiness,
            self._snapshots,
            self._metrics_server,
        ):
            if server is not None:
                server.abort()
        self._beacon_exchange.close()
        self._origins.close()
        self._list_confirmation.close()
        self._leader_tasks.close()
        self._client.close()
        self._peer_forwarder.close()
        self._store.close()


async def run_until_signal(settings_file: pathlib.Path) -> validation.Problems | None:
    """Run an instance until SIGTERM or SIGINT; SIGHUP reloads its settings.

    Returns:
        The problems of the settings file if it is invalid, else None.

    Raises:
        OSError: An address can't be bound.
    """
    chosen = validation.read_file(settings.GatewaySettings, settings_file)
    if isinstance(chosen, validation.Problems):
        return chosen
    logs.set_up(chosen.logs.level, chosen.instance)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    instance = GatewayInstance(chosen, clock.SystemClock())
    loop.add_signal_handler(signal.SIGHUP, reload, instance, settings_file)
    await instance.start()
    await stop.wait()
    await instance.stop()
    return None


def reload(instance: GatewayInstance, settings_file: pathlib.Path) -> None:
    """Reload the settings; invalid ones are rejected and the current ones stay."""
    chosen = validation.read_file(settings.GatewaySettings, settings_file)
    if isinstance(chosen, validation.Problems):
        _log.error("settings refused, the old ones stay", reason=str(chosen))
        return
    instance.apply(chosen)
