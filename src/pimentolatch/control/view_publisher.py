"""Writes and announces the domain view derived from the order slots."""

import typing
from collections import abc

import logbook

from pimentolatch import fleet, store
from pimentolatch.audit import trail
from pimentolatch.control import drain, slot_cache, slots
from pimentolatch.membership import views

__all__ = ["ViewPublisher"]

_log = logbook.Logger("views")


class ViewPublisher:
    """Writes and announces the view of one failure domain during one leadership.

    Args:
        leaving: Returns the backend servers that the platform lists as leaving, or
            None while the list has not been read.
    """

    def __init__(
        self,
        own_views: drain.ViewObjects,
        known: slot_cache.SlotCache,
        acknowledgements: views.Acknowledgements,
        leaving: typing.Callable[[], abc.Set[str] | None],
        audit: trail.AuditTrail,
    ) -> None:
        self._views = own_views
        self._slot_cache = known
        self._acknowledgements = acknowledgements
        self._leaving = leaving
        self._audit = audit
        self._withdrawals: dict[str, drain.Withdrawal] = {}
        self._announced = 0

    def withdrawal(self, engine: str) -> drain.Withdrawal | None:
        """Return the withdrawal published for an engine in this leadership, if any."""
        return self._withdrawals.get(engine)

    async def publish(
        self, configuration: fleet.Configuration, view: views.DomainView
    ) -> None:
        """Write the view if it must change; announce it if its number is new."""
        if self._needs_writing(configuration, view):
            written = await self._write(configuration)
            if written is None:
                return
            view = written
        if view.number > self._announced:
            self._acknowledgements.announce(view)
            self._announced = view.number

    def _needs_writing(
        self, configuration: fleet.Configuration, view: views.DomainView
    ) -> bool:
        # A drain that was not published in this leadership needs a new view even if the
        # current view withdraws the engine already: a paused process may be about to
        # write a view that returns the engine, which fails only at a newer number.
        drains = any(
            self._unpublished(slot) for slot in self._slot_cache.not_in_service
        )
        return drains or self._desired(configuration, view) != view

    async def _write(
        self, configuration: fleet.Configuration
    ) -> views.DomainView | None:
        # The view is read before the slots: for a slot that starts draining after this
        # listing another view is written, which makes this update fail or overrides
        # it. In the reverse order this view could return a draining engine to service.
        view = await self._views.read()
        if isinstance(view, store.Unavailable) or await self._slot_cache.list_all():
            return None
        written = await self._views.write(self._desired(configuration, view))
        if written is None:
            return None
        for slot in self._slot_cache.not_in_service:
            if self._unpublished(slot):
                withdrawal = drain.Withdrawal(slot.version, written.number)
                self._withdrawals[slot.engine] = withdrawal
        summary = f"number {written.number}: withdrawn {sorted(written.withdrawn)}"
        domain = written.failure_domain
        self._audit.add(configuration.number, "view", domain, "written", summary)
        _log.info("view written", number=written.number)
        return written

    def _desired(
        self, configuration: fleet.Configuration, view: views.DomainView
    ) -> views.DomainView:
        return drain.desired_view(
            configuration.document, view, self._slot_cache.by_engine, self._leaving()
        )

    def _unpublished(self, slot: slots.Slot) -> bool:
        if slot.state is not slots.SlotState.DRAINING:
            return False
        withdrawal = self._withdrawals.get(slot.engine)
        return withdrawal is None or withdrawal.slot_version != slot.version
