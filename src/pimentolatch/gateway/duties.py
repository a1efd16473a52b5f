"""The parts of an instance that do what only one instance may do."""

import datetime
import typing
from collections import abc

from pimentolatch import clock
from pimentolatch.decisions import usage
from pimentolatch.gateway import (
    capacity,
    knowledge,
    lease,
    peer_table,
    settings,
    tenure,
    usage_exchange,
    usage_reports,
)
from pimentolatch.platform import control_api, objects

__all__ = ["Duties"]

Work = typing.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]]

_USAGE = "usage"
_SCALE = "scale"


class Duties:
    """Builds and owns these parts.

    Args:
        chosen: Settings of this instance.
        life: Differs for each start of this instance.
        known: Services and servers.
        peers: Tells who else is there.
        source: The platform's store.
        time: Clock of this instance.

    Attributes:
        tenure: Tells whether this instance does the duties.
        usage: Counts what customers' requests begin.
    """

    def __init__(
        self,
        chosen: settings.GatewaySettings,
        life: str,
        known: knowledge.Knowledge,
        peers: peer_table.PeerTable,
        source: objects.ObjectStore,
        time: clock.Clock,
    ) -> None:
        self._settings = chosen
        self._known = known
        self._peers = peers
        self._store = source
        self._clock = time
        between = datetime.timedelta(milliseconds=chosen.bounds.lease_ms)
        held = lease.DutyLease(
            source,
            f"{chosen.instance}@{chosen.peers.host}",
            life,
            between,
            time,
        )
        self.tenure = tenure.Tenure(
            chosen.instance,
            chosen.peers.host,
            peers,
            held,
            time,
            kept=chosen.control is not None,
        )
        self.usage: usage_exchange.UsageCounter = usage_exchange.NoUsage()
        self._work: list[Work] = []
        self._receiver: control_api.ControlApi | None = None
        self._exchange: usage_exchange.UsageExchange | None = None
        if chosen.control is not None:
            self._receiver = control_api.ControlApi(chosen.control.address, time)
            self._work.append(self.tenure.run)
            if _USAGE in chosen.control.duties:
                self._link_usage(chosen.control, self._receiver, life)
            if _SCALE in chosen.control.duties and chosen.capacity.order:
                keeper = capacity.CapacityKeeper(
                    chosen.instance,
                    known,
                    self.tenure,
                    source,
                    self._receiver,
                    chosen.capacity.policy,
                    time,
                )
                self._work.append(keeper.run)

    def _link_usage(
        self,
        chosen: settings.ControlSettings,
        receiver: control_api.ControlApi,
        life: str,
    ) -> None:
        name, own = self._settings.instance, self._settings.peers
        length = datetime.timedelta(seconds=chosen.usage_window_s)
        book = usage.UsageCounter(usage.Origin(name, life), length, self._clock.now())
        self._exchange = usage_exchange.UsageExchange(
            own.usage_address, book, self._peers, self.tenure, self._clock
        )
        reporter = usage_reports.UsageReporter(
            name,
            length,
            book,
            self._peers,
            self.tenure,
            self._store,
            receiver,
            self._clock,
        )
        self.usage = self._exchange
        self._work += [self._exchange.run, reporter.run]

    @property
    def work(self) -> tuple[Work, ...]:
        """What has to run beside the requests."""
        return tuple(self._work)

    async def start(self) -> None:
        """Open sockets; raises `OSError` if an address can't be had."""
        if self._exchange is not None:
            await self._exchange.start()

    def close(self) -> None:
        """Close sockets and connections."""
        if self._exchange is not None:
            self._exchange.close()
        if self._receiver is not None:
            self._receiver.close()
