"""One instance that serves routes: its parts, started and stopped in order."""

import asyncio
import datetime
import pathlib
import random
import signal
import typing
import uuid

import logbook

from pimentolatch import checks, clock, logs, tasks
from pimentolatch.decisions import neighbours, repeat_budget, server_choice
from pimentolatch.entry import gate, servers
from pimentolatch.gateway import (
    cache_updates,
    duties,
    expired,
    face,
    generation,
    knowledge,
    measuring,
    peer_table,
    peers,
    permission,
    plain,
    protocol,
    quarantine,
    request_log,
    sending,
    settings,
    spread,
    stages,
    store_reading,
    watching,
)
from pimentolatch.platform import objects

__all__ = ["GatewayInstance", "reload", "run_until_signal"]

_log = logbook.Logger("gateway")
# The balancer asks every second and takes an instance out after two misses; until then
# it goes on sending new connections, which are served.
_BALANCER_NOTICE = datetime.timedelta(seconds=2.4)
_BUDGET_INTERVAL = datetime.timedelta(seconds=1)
# What is left of the grace when the last requests are cut, so that the process ends by
# itself.
_END_MARGIN = datetime.timedelta(milliseconds=400)


class GatewayInstance:
    """All parts of an instance."""

    def __init__(self, chosen: settings.GatewaySettings, time: clock.Clock) -> None:
        self._settings = chosen
        self._clock = time
        self._gate = gate.Gate()
        self._known = knowledge.Knowledge()
        self._client = sending.ServerClient(time)
        self._choice = server_choice.ServerChoice(chosen.failure_domain)
        bounds = chosen.bounds
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
        self._updates = cache_updates.CacheUpdates()
        self._measured = measuring.RouteMetrics()
        self._request_log = request_log.RequestLog(time, self._measured)
        self._quarantine = quarantine.Quarantine(chosen.quarantine.policy, time)
        self._permission = permission.Permission(self._known, self._quarantine)
        self._life = uuid.uuid4().hex
        self._peer_table = peer_table.PeerTable(
            chosen.instance,
            neighbours.Place(chosen.peers.host, chosen.failure_domain),
            time,
            random.Random(),
        )
        self._duties = duties.Duties(
            chosen, self._life, self._known, self._peer_table, self._store, time
        )
        self._prompts = generation.StreamForwarder(
            self._known,
            self._client,
            self._budget,
            time,
            chosen.failure_domain,
            self._updates,
            self._quarantine,
            self._permission,
            self._duties.usage,
            self._request_log,
            self._measured,
        )
        self._face = servers.HttpServer(
            self._route_face(),
            chosen.clients,
            protocol.protocol_class(self._known),
            datetime.timedelta(seconds=chosen.bounds.stop_grace_s),
        )
        self._readiness = servers.HttpServer(self._ready, chosen.readiness)
        self._known.on_change(self._drop_unlisted)
        self._tasks: list[asyncio.Task[None]] = []
        self._link_peers()
        self._measured.registry.register(
            measuring.StateCollector(
                self._known,
                self._peer_table,
                self._quarantine,
                self._duties.tenure,
                self._gate,
            )
        )
        self._metrics_server: servers.HttpServer | None = None
        if chosen.metrics is not None:
            shown = measuring.MetricsFace(self._measured)
            self._metrics_server = servers.HttpServer(shown, chosen.metrics)

    @property
    def budget(self) -> repeat_budget.RepeatBudget:
        """Bounds how often requests are sent to a second server."""
        return self._budget

    @property
    def known(self) -> knowledge.Knowledge:
        """What the instance knows."""
        return self._known

    @property
    def quarantine(self) -> quarantine.Quarantine:
        """Tells which requests are kept from servers."""
        return self._quarantine

    @property
    def peers(self) -> peer_table.PeerTable:
        """The other instances that it knows of."""
        return self._peer_table

    def _link_peers(self) -> None:
        chosen, known, time = self._settings, self._known, self._clock
        domain = chosen.failure_domain
        self._peers = peers.Peers(
            chosen.peers,
            chosen.instance,
            domain,
            self._life,
            known,
            self._peer_table,
            self._updates,
            self._quarantine,
            self._duties.tenure,
            self._prompts.demands,
            time,
            random.Random(),
        )
        self._expired = expired.ExpiredServers(known, time)
        self._source = spread.PeerSource(
            known, self._peer_table, self._expired, chosen.peers.address.port, time
        )
        self._snapshots = servers.HttpServer(
            spread.SnapshotFace(known, self._expired), chosen.peers.address
        )
        self._store_reading = store_reading.StoreReading(
            chosen.instance,
            known,
            self._peer_table,
            (
                watching.ConfigurationWatch(self._store, known, time),
                watching.ServerWatch(self._store, known, self._expired, time),
            ),
            time,
        )
        self._stages = stages.StageKeeper(
            chosen.instance,
            known,
            self._peer_table,
            self._duties.tenure,
            self._client,
            self._prompts.demand,
            time,
        )

    def _route_face(self) -> face.RouteFace:
        plain_requests = plain.PlainForwarder(
            self._known,
            self._client,
            self._choice,
            self._budget,
            self._quarantine,
            self._permission,
            self._duties.usage,
            self._request_log,
            self._clock,
        )
        return face.RouteFace(
            self._known,
            (plain_requests, self._prompts),
            self._budget,
            self._gate,
            self._permission,
            self._request_log,
            self._settings.digest_key.encode(),
            self._clock,
        )

    def _drop_unlisted(self) -> None:
        listed = {server.incarnation for server in self._known.servers.all()}
        self._client.retain(listed)
        self._choice.retain(listed)

    async def _ready(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        ready = self._gate.ready and self._known.complete
        await send(
            {
                "type": "http.response.start",
                "status": 200 if ready else 503,
                "headers": [(b"content-length", b"0")],
            }
        )
        await send({"type": "http.response.body", "body": b""})

    async def start(self) -> None:
        """Start the parts; raises `OSError` if an address can't be had."""
        await self._snapshots.start()
        await self._peers.start()
        await self._duties.start()
        for work in (
            self._store_reading.run,
            self._expired.run,
            self._peers.run,
            self._source.run,
            self._stages.run,
            self._share_budget,
            self._quarantine.review,
            *self._duties.work,
        ):
            kept = tasks.keep_running(work.__qualname__, work, self._clock)
            self._tasks.append(asyncio.create_task(kept))
        if self._metrics_server is not None:
            await self._metrics_server.start()
        await self._readiness.start()
        await self._face.start()
        _log.info("started", failure_domain=self._settings.failure_domain)

    def apply(self, chosen: settings.GatewaySettings) -> None:
        """Put new settings in force as far as they can change while requests run.

        Addresses and names stay as they were until the next start: closing a listening
        socket would cut the requests on their way to it.
        """
        changeable = {"bounds", "quarantine", "logs"}
        before, after = self._settings, chosen
        if before.model_dump(exclude=changeable) != after.model_dump(
            exclude=changeable
        ):
            _log.warn("new addresses are used from the next start on")
        self._settings = before.model_copy(
            update={"bounds": after.bounds, "quarantine": after.quarantine}
        )
        self._quarantine.apply(after.quarantine.policy)
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

    async def _share_budget(self) -> None:
        """Divide the common slack of repeats by the instances of the fleet."""
        while True:
            self._budget.set_instances(self._peer_table.instances)
            await self._clock.sleep(_BUDGET_INTERVAL)

    async def stop(self) -> None:
        """Stop without cutting a request that ends within the grace."""
        _log.info("stopping", in_flight=self._gate.in_flight)
        self._gate.announce_stop()
        self._duties.tenure.announce_stop()
        self._peers.announce_stop()
        await self._clock.sleep(_BALANCER_NOTICE)
        grace = datetime.timedelta(seconds=self._settings.bounds.stop_grace_s)
        left = grace - _BALANCER_NOTICE - _END_MARGIN
        # Idle connections are closed first and requests waited for then: counted before
        # that, there may be none, and one that arrives meanwhile is cut.
        closing = asyncio.create_task(self._face.stop())
        await asyncio.wait({closing}, timeout=left.total_seconds())
        if not closing.done():
            _log.warn("requests cut at the end of the grace", n=self._gate.in_flight)
            closing.cancel()
        await self.abort()
        _log.info("stopped")

    async def abort(self) -> None:
        """Stop at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in (
            self._face,
            self._readiness,
            self._snapshots,
            self._metrics_server,
        ):
            if server is not None:
                server.abort()
        self._peers.close()
        self._duties.close()
        self._source.close()
        self._client.close()
        self._store.close()


async def run_until_signal(settings_file: pathlib.Path) -> checks.Problems | None:
    """Run an instance until SIGTERM or SIGINT; SIGHUP has its settings read again.

    Returns:
        What is wrong with the settings file, if the instance could not start with it.
    """
    chosen = checks.read_file(settings.GatewaySettings, settings_file)
    if isinstance(chosen, checks.Problems):
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
    """Read the settings again; wrong ones leave the old ones in force."""
    chosen = checks.read_file(settings.GatewaySettings, settings_file)
    if isinstance(chosen, checks.Problems):
        _log.error("settings refused, the old ones stay", reason=str(chosen))
        return
    instance.apply(chosen)
