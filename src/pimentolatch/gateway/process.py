"""One instance that serves routes: its parts, started and stopped in order."""

import asyncio
import datetime
import signal
import typing

import logbook

from pimentolatch import clock, tasks
from pimentolatch.decisions import repeat_budget, server_choice
from pimentolatch.entry import gate, servers
from pimentolatch.gateway import (
    face,
    generation,
    knowledge,
    plain,
    protocol,
    sending,
    settings,
    watching,
)
from pimentolatch.platform import objects

__all__ = ["GatewayInstance", "run_until_signal"]

_log = logbook.Logger("gateway")
# The balancer asks every second and takes an instance out after two misses; until then
# it goes on sending new connections, which are served.
_BALANCER_NOTICE = datetime.timedelta(seconds=2.4)
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
        self._face = servers.HttpServer(
            self._route_face(), chosen.clients, protocol.protocol_class(self._known)
        )
        self._readiness = servers.HttpServer(self._ready, chosen.readiness)
        self._known.on_change(self._drop_unlisted)
        self._tasks: list[asyncio.Task[None]] = []

    def _route_face(self) -> face.RouteFace:
        known, client, budget, time = (
            self._known,
            self._client,
            self._budget,
            self._clock,
        )
        plain_requests = plain.PlainForwarder(known, client, self._choice, budget, time)
        prompts = generation.StreamForwarder(
            known, client, budget, time, self._settings.failure_domain
        )
        return face.RouteFace(
            known, (plain_requests, prompts), budget, self._gate, time
        )

    def _drop_unlisted(self) -> None:
        listed = {server.server_id for server in self._known.servers.all()}
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
        watches = (
            watching.ConfigurationWatch(self._store, self._known, self._clock),
            watching.ServerWatch(self._store, self._known, self._clock),
        )
        for watch in watches:
            kept = tasks.keep_running(watch.kind, watch.run, self._clock)
            self._tasks.append(asyncio.create_task(kept))
        await self._readiness.start()
        await self._face.start()
        _log.info("started", failure_domain=self._settings.failure_domain)

    async def stop(self) -> None:
        """Stop without cutting a request that ends within the grace."""
        _log.info("stopping", in_flight=self._gate.in_flight)
        self._gate.announce_stop()
        await self._clock.sleep(_BALANCER_NOTICE)
        grace = datetime.timedelta(seconds=self._settings.bounds.stop_grace_s)
        closing = asyncio.create_task(self._face.stop())
        if not await self._gate.wait_empty(grace - _BALANCER_NOTICE - _END_MARGIN):
            _log.warn("requests cut at the end of the grace", n=self._gate.in_flight)
        closing.cancel()
        for task in self._tasks:
            task.cancel()
        self._client.close()
        self._store.close()
        _log.info("stopped")


async def run_until_signal(chosen: settings.GatewaySettings) -> None:
    """Run an instance until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _log.info("settings unchanged"))
    instance = GatewayInstance(chosen, clock.SystemClock())
    await instance.start()
    await stop.wait()
    await instance.stop()
