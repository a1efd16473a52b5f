"""Asks servers whose entries are back after their removal whether they are ready.

An entry that expired is back once its server reaches the store again. That of a server
which has left comes back if an earlier check-in was held up on its way. Only the server
itself knows.
"""

import asyncio
import datetime
import enum
import random
from collections import abc

import logbook

from pimentolatch import clock
from pimentolatch.gateway import dispatch, fleet_state
from pimentolatch.routes import servers

__all__ = ["Answer", "Ask", "HealthCheck", "ReturnedServers"]

_log = logbook.Logger("watch")
_TIME_LIMIT = datetime.timedelta(milliseconds=500)
# A server that is not ready, or does not answer, is asked again after this time. The
# entry of one that has left expires after a few of them.
_RETRY_INTERVAL = datetime.timedelta(milliseconds=500)
_MAX_CONCURRENT = 8
# Instances learn of an entry within some hundred milliseconds. In a large fleet they
# ask one after the other, since each answer takes one of the server's slots.
_SPREAD_PER_INSTANCE = datetime.timedelta(milliseconds=2)
_HEALTHY = 200
_ANY_TARGET = b"/"


class Answer(enum.Enum):
    """What a server says of itself, as the log names it."""

    READY = "ready"
    NOT_READY = "not ready"
    NONE = "no answer"


Ask = abc.Callable[[servers.Server], abc.Awaitable[Answer]]


class HealthCheck:
    """Asks a server by its health check.

    Args:
        fleet: Tells the targets of health checks.
        client: Opens connections to servers.
    """

    def __init__(
        self, fleet: fleet_state.FleetState, client: dispatch.ServerClient
    ) -> None:
        self._fleet = fleet
        self._client = client

    async def __call__(self, server: servers.Server) -> Answer:
        """Return what a server says of itself."""
        response = await self._client.call(
            server,
            "GET",
            self._target(server),
            limit=_TIME_LIMIT,
            new_connection=True,
        )
        if not isinstance(response, dispatch.FullResponse):
            return Answer.NONE
        head = response.head
        # A server that has no slot free declines; another one may have the address.
        if head.not_run or head.server_id != server.server_id:
            return Answer.NONE
        return Answer.READY if response.status == _HEALTHY else Answer.NOT_READY

    def _target(self, server: servers.Server) -> bytes:
        configuration = self._fleet.configuration
        services = {} if configuration is None else configuration.services
        service = services.get(server.service)
        return _ANY_TARGET if service is None else service.health_target


class ReturnedServers:
    """Confirms the unconfirmed servers of a fleet once they say that they are ready.

    Args:
        fleet: The listed servers.
        ask: Asks one of them.
        instances: Returns the number of instances of the fleet.
        time: Clock of this instance.
        rng: Spreads the first questions of the instances.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        ask: Ask,
        instances: abc.Callable[[], int],
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._ask = ask
        self._instances = instances
        self._clock = time
        self._rng = rng
        self._any = asyncio.Event()
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT)
        self._answers: dict[servers.Incarnation, Answer] = {}
        fleet.on_change(self._wake)

    async def run(self) -> None:
        """Ask whenever there are unconfirmed servers; runs until cancelled."""
        while True:
            await self._any.wait()
            await self._clock.sleep(
                self._rng.random() * self._instances() * _SPREAD_PER_INSTANCE
            )
            self._any.clear()
            await self.ask_all()
            if self._fleet.unconfirmed_servers:
                await self._clock.sleep(_RETRY_INTERVAL)
                self._any.set()

    async def ask_all(self) -> None:
        """Ask all unconfirmed servers once; return when they have answered."""
        asked = self._fleet.unconfirmed_servers
        await asyncio.gather(*(self._ask_one(server) for server in asked))

    def _wake(self) -> None:
        asked = {server.incarnation for server in self._fleet.unconfirmed_servers}
        self._answers = {s: a for s, a in self._answers.items() if s in asked}
        if asked - self._answers.keys():
            self._any.set()

    async def _ask_one(self, server: servers.Server) -> None:
        async with self._slots:
            answer = await self._ask(server)
        if self._answers.get(server.incarnation) is not answer:
            self._answers[server.incarnation] = answer
            _log.info(
                "server asked that is listed again",
                server=server.server_id,
                started_ms=server.started_ms,
                answer=answer.value,
            )
        if answer is Answer.READY:
            self._fleet.confirm_server(server.incarnation)
        elif answer is Answer.NOT_READY:
            self._fleet.deny_server(server.incarnation)
