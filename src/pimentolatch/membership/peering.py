"""Runs the node and its links, with the tasks that exchange data with the platform."""

import asyncio
import datetime
import random

import logbook

from pimentolatch import backoff, clock, settings, store, tasks
from pimentolatch.membership import (
    dialer,
    incarnations,
    interfaces,
    leaving_servers,
    links,
    node,
    registrations,
    topology,
    view_table,
    views,
    work_exchange,
)

__all__ = ["Peering"]

_log = logbook.Logger("membership")
_FIRST_PAUSE = datetime.timedelta(seconds=0.5)
_MAX_PAUSE = datetime.timedelta(seconds=10)
# Interval at which registrations are read again while acknowledgements are missing: an
# instance that is partitioned from its peers acknowledges in its registration.
_REREAD_AFTER = datetime.timedelta(seconds=5)
_DOCUMENT_POLL = datetime.timedelta(seconds=0.05)
_ROUND = datetime.timedelta(seconds=1)
_MAX_TURNS_WHILE_MISSING = 5
_LINKS_AT_FULL_RATE = 30
_MAX_STRETCH = 4 / 3
_FAREWELL_TIME = datetime.timedelta(seconds=0.2)


class Peering:
    """Connects this instance to its peers; implements `views.Acknowledgements`.

    Args:
        own: Identity of this process.
        chosen: Settings of the links.
        objects: The platform's object store.
        documents: Transfers documents between instances.
        table: The domain views by which this instance routes.
        work: Exchanges work reports with the peers.
        leaving: Backend servers that the platform lists as leaving.
        crashes: Records of completions during which engines crashed.
        peer_links: Links to the peers.
    """

    def __init__(
        self,
        own: incarnations.Identity,
        chosen: settings.PeerSettings,
        *,
        objects: store.Store,
        documents: interfaces.ConfigurationPeer,
        table: view_table.ViewTable,
        work: work_exchange.WorkExchange,
        leaving: leaving_servers.LeavingServers,
        crashes: interfaces.CrashTable,
        time: clock.Clock,
        rng: random.Random,
        peer_links: links.Links,
    ) -> None:
        self._own = own
        self._settings = chosen
        self._store = objects
        self._documents = documents
        self._table = table
        self._clock = time
        self._rng = rng
        self._links = peer_links
        self._node = node.Node(
            own,
            network=peer_links,
            documents=documents,
            table=table,
            work=work,
            leaving=leaving,
            crashes=crashes,
            time=time,
            suspect_after=datetime.timedelta(seconds=chosen.suspect_after_s),
            list_lag=datetime.timedelta(seconds=chosen.list_lag_bound_s),
        )
        self._dialer = dialer.Dialer(own, peer_links, chosen.seeds, time, rng)
        self._registrations = registrations.Registrations(objects, own)
        self._rows: tuple[store.Instance, ...] = ()
        self._announced: dict[str, int] = {}
        self._read_due = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def node(self) -> node.Node:
        """The state machine of the peer protocol."""
        return self._node

    @property
    def instances(self) -> tuple[store.Instance, ...]:
        """The platform's instance list as last read."""
        return self._rows

    @property
    def suspected(self) -> tuple[str, ...]:
        """Incarnations from which neither this instance nor a peer gets messages."""
        return tuple(sorted(self._node.detector.suspected()))

    def rank(self, task: str) -> int:
        """Return this instance's rank, from 0, among the candidates for a task.

        Only reachable peers whose links don't flap are counted, so each side of a
        network partition assigns the task to instances of its own.
        """
        near = self._node.detector.steady(self._own.failure_domain)
        names = {incarnations.instance_of(name) for name in near}
        names.add(self._own.instance)
        order = topology.rendezvous_order(names, f"{self._own.failure_domain}|{task}")
        return order.index(self._own.instance)

    def announce(self, view: views.DomainView) -> None:
        """See `views.Acknowledgements.announce`."""
        known = self._announced.get(view.failure_domain, 0)
        self._announced[view.failure_domain] = max(known, view.number)
        self._node.announce(view)
        self._read_due.set()

    def missing(self, failure_domain: str, number: int) -> frozenset[str]:
        """See `views.Acknowledgements.missing`."""
        return self._node.acknowledged.missing(failure_domain, number)

    async def start(self) -> None:
        """Listen and start tasks; raises `OSError` if the address is unavailable."""
        await self._links.start(self._node)
        for work in (
            self._beat,
            self._dialer.run,
            self._read_list,
            self._join,
            self._read_registrations,
            self._move_documents,
        ):
            supervised = tasks.keep_running(work.__qualname__, work, self._clock)
            self._tasks.append(asyncio.create_task(supervised))

    async def stop(self) -> None:
        """Send farewells and close the links; called when no request is in flight."""
        self._node.farewell()
        await self._clock.sleep(_FAREWELL_TIME)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._links.stop()

    async def _beat(self) -> None:
        interval = datetime.timedelta(seconds=self._settings.heartbeat_interval_s)
        while True:
            # TCP headers and acknowledgements make up most of a heartbeat's bytes, so
            # with many links heartbeats are sent less often. The limit still leaves
            # three within the suspicion time-out.
            stretch = max(1.0, len(self._node.peers) / _LINKS_AT_FULL_RATE)
            await self._clock.sleep(interval * min(stretch, _MAX_STRETCH))
            self._node.tick()

    async def _read_list(self) -> None:
        pauses = backoff.Backoff(_FIRST_PAUSE, _MAX_PAUSE, self._rng)
        while True:
            requested_at = self._clock.monotonic()
            rows = await self._store.instances()
            if isinstance(rows, store.Unavailable):
                await self._clock.sleep(pauses.next_pause())
                continue
            pauses.reset()
            self._rows = tuple(row for row in rows if row.kind == "entry")
            self._dialer.apply_instance_list(self._rows)
            self._node.apply_instance_list(rows, requested_at)
            await self._wait_for_next_read()

    async def _wait_for_next_read(self) -> None:
        """Wait until it is this instance's turn in its failure domain to read the list.

        While acknowledgements are missing the wait is shorter: the list may show that
        a process whose acknowledgement is missing has terminated.
        """
        near = len(self._node.detector.steady(self._own.failure_domain)) + 1
        interval = datetime.timedelta(seconds=self._settings.list_interval_s)
        now = self._clock.monotonic()
        full = now + interval * near * (0.5 + self._rng.random())
        short = now + interval * min(near, _MAX_TURNS_WHILE_MISSING)
        while now < (short if self._acknowledgements_missing() else full):
            await self._clock.sleep(min(_ROUND, interval))
            now = self._clock.monotonic()

    async def _join(self) -> None:
        """Register and then read the views, in this order; see `acknowledgements`."""
        pauses = backoff.Backoff(_FIRST_PAUSE, _MAX_PAUSE, self._rng)
        while not await self._registrations.register():
            await self._clock.sleep(pauses.next_pause())
        pauses.reset()
        while not self._table.complete:
            listing = await self._store.list_objects(views.DOMAIN_VIEW_KIND)
            if isinstance(listing, store.Unavailable):
                await self._clock.sleep(pauses.next_pause())
                continue
            found = [view_table.view_from_object(row) for row in listing.objects]
            self._node.adopt_views(found, complete=True)
            _log.info("domain views read from the store", views=len(found))
        await self._acknowledge_in_store()

    async def _acknowledge_in_store(self) -> None:
        """Acknowledge in the store while no peer of the own domain is reachable."""
        written: dict[str, int] = {}
        while True:
            await self._clock.sleep(_REREAD_AFTER)
            alone = not self._node.detector.reachable(self._own.failure_domain)
            numbers = self._table.numbers
            # The only instance of a failure domain never has a reachable peer, so it
            # writes only after a view changed.
            if (
                alone
                and numbers != written
                and await self._registrations.acknowledge(numbers)
            ):
                written = dict(numbers)

    async def _move_documents(self) -> None:
        while True:
            await self._documents.wake.wait()
            self._documents.wake.clear()
            while self._documents.busy:
                self._documents.poll()
                await self._clock.sleep(_DOCUMENT_POLL)

    async def _read_registrations(self) -> None:
        while True:
            await self._read_due.wait()
            self._read_due.clear()
            while self._acknowledgements_missing():
                covers = dict(self._announced)
                found = await self._registrations.read()
                if not isinstance(found, store.Unavailable):
                    self._node.apply_registrations(found, covers)
                    if covers == self._announced:
                        await self._wait_for_acknowledgements()
                else:
                    await self._clock.sleep(_ROUND)

    async def _wait_for_acknowledgements(self) -> None:
        until = self._clock.monotonic() + _REREAD_AFTER
        while self._clock.monotonic() < until and self._acknowledgements_missing():
            if self._read_due.is_set():
                return
            await self._clock.sleep(_ROUND / 5)

    def _acknowledgements_missing(self) -> bool:
        return any(self.missing(name, n) for name, n in self._announced.items())
