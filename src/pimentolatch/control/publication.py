"""Publishes the domain view that follows from the slots."""

import typing
from collections import abc

import logbook

from pimentolatch import fleet, store
from pimentolatch.audit import trail
from pimentolatch.control import drain, known_slots, slots
from pimentolatch.membership import views

__all__ = ["Publication"]

_log = logbook.Logger("views")


class Publication:
    """Writes and announces the view of one failure domain within one tenure.

    Args:
        leaving: Returns the backend servers that the platform's list shows leaving,
            or None while it has not been read.
    """

    def __init__(
        self,
        own_views: drain.ViewObjects,
        known: known_slots.KnownSlots,
        acknowledgements: views.Acknowledgements,
        leaving: typing.Callable[[], abc.Set[str] | None],
        audit: trail.AuditTrail,
    ) -> None:
        self._views = own_views
        self._known = known
        self._acknowledgements = acknowledgements
        self._leaving = leaving
        self._audit = audit
        self._withdrawals: dict[str, drain.Withdrawal] = {}
        self._announced = 0

    def withdrawal(self, engine: str) -> drain.Withdrawal | None:
        """Return the publication of an engine's drain, if this tenure made one."""
        return self._withdrawals.get(engine)

    async def publish(
        self, configuration: fleet.Configuration, view: views.DomainView
    ) -> None:
        """Write the view anew if it has to be; announce it if it is new here."""
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
        # A drain that this tenure has not published gets a new view even if the old
        # one withdraws the engine already: a frozen process may be about to write a
        # view that returns the engine, and only a newer number makes that fail.
        drains = any(self._unpublished(slot) for slot in self._known.moving)
        return drains or self._desired(configuration, view) != view

    async def _write(
        self, configuration: fleet.Configuration
    ) -> views.DomainView | None:
        # The view first, then every slot: a slot that begins to drain after this
        # listing gets a view of its own, which makes this one's update fail or
        # overrides it. In the other order this view could return a draining engine.
        view = await self._views.read()
        if isinstance(view, store.Unavailable) or await self._known.list_all():
            return None
        written = await self._views.write(self._desired(configuration, view))
        if written is None:
            return None
        for slot in self._known.moving:
            if self._unpublished(slot):
                withdrawal = drain.Withdrawal(slot.version, written.number)
                self._withdrawals[slot.engine] = withdrawal
        shown = f"number {written.number}: withdrawn {sorted(written.withdrawn)}"
        domain = written.failure_domain
        self._audit.add(configuration.number, "view", domain, "written", shown)
        _log.info("view written", number=written.number)
        return written

    def _desired(
        self, configuration: fleet.Configuration, view: views.DomainView
    ) -> views.DomainView:
        return drain.desired_view(
            configuration.document, view, self._known.by_engine, self._leaving()
        )

    def _unpublished(self, slot: slots.Slot) -> bool:
        if slot.state is not slots.SlotState.DRAINING:
            return False
        withdrawal = self._withdrawals.get(slot.engine)
        return withdrawal is None or withdrawal.slot_version != slot.version
