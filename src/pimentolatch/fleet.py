"""Fleet state of an entry instance: the document in force and withdrawn servers.

Only one task at a time updates it. Readers take immutable snapshots, so they never see
a partial update.
"""

import asyncio
import dataclasses

from pimentolatch.document import schema
from pimentolatch.membership import views

__all__ = ["Configuration", "Fleet", "View"]


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A fleet document with its sequence number and hash."""

    number: int
    content_hash: str
    document: schema.FleetDocument


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """A snapshot of the fleet.

    Attributes:
        configuration: Document in force; None before the first one.
        withdrawn: Names of backend servers that get no new work from this instance.
        roles: (engine, role) pairs for roles that differ from the document's.
    """

    configuration: Configuration | None = None
    withdrawn: frozenset[str] = frozenset()
    roles: tuple[tuple[str, str], ...] = ()

    @property
    def document(self) -> schema.FleetDocument | None:
        """The document in force; None before the first one."""
        return None if self.configuration is None else self.configuration.document


class Fleet:
    """Holds the current view and notifies waiting tasks of changes."""

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
        """Apply a document unless the current one is the same or newer.

        Peers may send outdated documents to an instance that was frozen or partitioned;
        without this check the configuration would revert for its callers. Numbers come
        from one conditionally updated object, so a higher number is always newer.

        Returns:
            Whether the document was applied.
        """
        current = self._view.configuration
        if current is not None and configuration.number <= current.number:
            return False
        self._change(dataclasses.replace(self._view, configuration=configuration))
        return True

    def adopt_view(self, view: views.DomainView) -> None:
        """Apply the view of a failure domain; the caller passes only newer views."""
        self._domain_views[view.failure_domain] = view
        self._merge_views()

    def set_leaving(self, servers: frozenset[str]) -> None:
        """Set the backend servers that are leaving by the platform's instance list."""
        self._leaving = servers
        self._merge_views()

    def withdraw(self, servers: frozenset[str]) -> None:
        """Set the backend servers that this instance itself withdraws."""
        self._withdrawn_locally = servers
        self._merge_views()

    async def wait_for_change(self) -> View:
        """Wait for the next change and return the new view."""
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
