"""Asks servers whose entries do not tell whether they are ready.

An entry that expired is back once its server reaches the store again. That of a server
which has left comes back if an earlier check-in was held up on its way, and an instance
that started since takes it for a new server. Only the server itself knows; see
`decisions.departures`.
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

__all__ = ["Answer", "Ask", "HealthCheck", "ReadinessChecks"]

_log = logbook.Logger("watch")
_TIME_LIMIT = datetime.timedelta(milliseconds=500)
# A server that is not ready, or does not answer, is asked again after this time. The
# entry of one that has left expires after a few of them.
_RETRY_INTERVAL = datetime.timedelta(milliseconds=500)
_MAX_CONCURRENT = 8
# By then an instance has heard its peers, so that each server is asked by one of them.
_PEERS_KNOWN_AFTER = datetime.timedelta(seconds=1)
# Instances learn of an entry within some hundred milliseconds. In a large fleet they
# ask one after the other, since each answer takes one of the server's slots.
_SPREAD_PER_INSTANCE = datetime.timedelta(milliseconds=2)
_HEALTHY = 200


class Answer(enum.Enum):
    """What a server says of itself, as the log names it."""

    READY = "ready"
    NOT_READY = "not ready"
    NONE = "no answer"


Ask = abc.Callable[[servers.Server], abc.Awaitable[Answer]]


class HealthCheck:
    """Asks a server by its health check.

    Args:
        client: Opens connections to servers.
    """

    def __init__(self, client: dispatch.ServerClient) -> None:
        self._client = client

    async def __call__(self, server: servers.Server) -> Answer:
        """Return what a server says of itself."""
        response = await self._client.ask(
            server, limit=_TIME_LIMIT, new_connection=True
        )
        if not isinstance(response, dispatch.FullResponse):
            return Answer.NONE
        head = response.head
        # A server that has no slot free declines; another one may have the address.
        if head.not_run or head.server_id != server.server_id:
            return Answer.NONE
        return Answer.READY if response.status == _HEALTHY else Answer.NOT_READY


class ReadinessChecks:
    """Confirms the servers of a fleet once they say that they are ready.

    Args:
        fleet: The listed servers.
        ask: Asks one of them.
        instances: Returns the number of instances of the fleet.
        is_first_for: Tells whether this instance is the first one that asks a server.
        time: Clock of this instance.
        rng: Spreads the first questions of the instances.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        ask: Ask,
        instances: abc.Callable[[], int],
        is_first_for: abc.Callable[[str], bool],
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._health_check = ask
        self._instances = instances
        self._is_first_for = is_first_for
        self._clock = time
        self._rng = rng
        self._any = asyncio.Event()
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT)
        self._answers: dict[servers.Incarnation, Answer] = {}
        fleet.on_change(self._wake)

    async def run(self) -> None:
        """Ask whenever there are servers to be asked; runs until cancelled."""
        while True:
            await self._any.wait()
            await self._clock.sleep(
                self._rng.random() * self._instances() * _SPREAD_PER_INSTANCE
            )
            self._any.clear()
            await self.ask_unconfirmed()
            if self._fleet.unconfirmed_servers:
                await self._clock.sleep(_RETRY_INTERVAL)
                self._any.set()

    async def run_first_list(self) -> None:
        """Ask the servers of this instance's first list; runs until cancelled.

        Instances that start together each ask a part and tell peers who is not ready.
        """
        await self._clock.sleep(_PEERS_KNOWN_AFTER)
        while not (presumed := self._fleet.presumed_servers):
            await self._clock.sleep(_RETRY_INTERVAL)
        # Found once: it takes a rank for each pair of a server and an instance.
        share = set()
        for server in presumed:
            if self._is_first_for(server.server_id):
                share.add(server.incarnation)
            await asyncio.sleep(0)
        while True:
            presumed = self._fleet.presumed_servers
            await self._ask(s for s in presumed if s.incarnation in share)
            await self._clock.sleep(_RETRY_INTERVAL)

    async def ask_unconfirmed(self) -> None:
        """Ask all unconfirmed servers once; return when they have answered."""
        await self._ask(self._fleet.unconfirmed_servers)

    async def _ask(self, asked: abc.Iterable[servers.Server]) -> None:
        await asyncio.gather(*(self._ask_one(server) for server in asked))

    def _wake(self) -> None:
        asked = {server.incarnation for server in self._fleet.unconfirmed_servers}
        self._answers = {s: a for s, a in self._answers.items() if s in asked}
        if asked - self._answers.keys():
            self._any.set()

    async def _ask_one(self, server: servers.Server) -> None:
        async with self._slots:
            answer = await self._health_check(server)
        if self._answers.get(server.incarnation) is not answer:
            self._answers[server.incarnation] = answer
            _log.info(
                "server asked whether it is ready",
                server=server.server_id,
                started_ms=server.started_ms,
                answer=answer.value,
            )
        if answer is Answer.READY:
            self._fleet.confirm_server(server.incarnation)
        elif answer is Answer.NOT_READY:
            self._fleet.deny_server(server.incarnation)
