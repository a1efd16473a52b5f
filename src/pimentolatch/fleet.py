"""What this instance knows of the fleet: the document in force and withdrawals.

One task at a time changes it; readers take a snapshot and never see half a change.
"""

import asyncio
import dataclasses

from pimentolatch.document import schema
from pimentolatch.membership import views

__all__ = ["Configuration", "Fleet", "View"]


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A document with its place in the order of all documents."""

    number: int
    content_hash: str
    document: schema.FleetDocument


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """A snapshot of the fleet.

    Attributes:
        configuration: The document in force, or None before the first one.
        withdrawn: Backend servers that take no new work here, by name.
        roles: Roles that differ from the document's, by engine.
    """

    configuration: Configuration | None = None
    withdrawn: frozenset[str] = frozenset()
    roles: tuple[tuple[str, str], ...] = ()

    @property
    def document(self) -> schema.FleetDocument | None:
        """The document in force, or None."""
        return None if self.configuration is None else self.configuration.document


class Fleet:
    """Holds the current view and wakes those who wait for a change."""

    def __init__(self) -> None:
        self._view = View()
        self._changed = asyncio.Event()
        self._domain_views: dict[str, views.DomainView] = {}
        self._leaving: frozenset[str] = frozenset()
        self._withdrawn_locally: frozenset[str] = frozenset()

    @property
    def view(self) -> View:
        """The current snapshot."""
        return self._view

    def adopt(self, configuration: Configuration) -> bool:
        """Put a document in force unless a later one already is.

        An instance that was frozen or cut off may be handed old documents by its
        peers; without this check the configuration would go back for its callers.
        Numbers come from one conditionally updated object, so a higher number is
        always the later decision.
        """
        current = self._view.configuration
        if current is not None and configuration.number <= current.number:
            return False
        self._change(dataclasses.replace(self._view, configuration=configuration))
        return True

    def adopt_view(self, view: views.DomainView) -> None:
        """Route by a domain view; the caller hands over only later ones."""
        self._domain_views[view.failure_domain] = view
        self._merge_views()

    def set_leaving(self, servers: frozenset[str]) -> None:
        """Set the backend servers that the platform's list shows as leaving."""
        self._leaving = servers
        self._merge_views()

    def withdraw(self, servers: frozenset[str]) -> None:
        """Set backend servers that take no new work for a reason of this instance."""
        self._withdrawn_locally = servers
        self._merge_views()

    async def wait_for_change(self) -> View:
        """Return the view after its next change."""
        await self._changed.wait()
        return self._view

    def _merge_views(self) -> None:
        parts = [view.withdrawn for view in self._domain_views.values()]
        withdrawn = self._leaving.union(self._withdrawn_locally, *parts)
        roles = tuple(
            sorted(role for view in self._domain_views.values() for role in view.roles)
        )
        if (withdrawn, roles) != (self._view.withdrawn, self._view.roles):
            self._change(
                dataclasses.replace(self._view, withdrawn=withdrawn, roles=roles)
            )

    def _change(self, view: View) -> None:
        self._view = view
        self._changed.set()
        self._changed = asyncio.Event()
