"""The domain views by which this instance routes."""

import json
import typing
from collections import abc

from pimentolatch import store
from pimentolatch.membership import views
from pimentolatch.protocol import messages

__all__ = ["ViewTable", "stored_view", "view_from_message", "view_from_object"]


class ViewTable:
    """The newest known view of each failure domain.

    Args:
        adopted: Called with each adopted view before its number becomes visible. The
            number serves as the acknowledgement, so the withdrawal must take effect
            first.
        completed: Called once, when the views of all failure domains are known.
    """

    def __init__(
        self,
        adopted: typing.Callable[[views.DomainView], None] = lambda view: None,
        completed: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self._adopted = adopted
        self._completed = completed
        self._views: dict[str, views.DomainView] = {}
        self._complete = False

    @property
    def complete(self) -> bool:
        """Whether the views of all failure domains are known.

        If so, a failure domain without a view here has none in the store.
        """
        return self._complete

    @property
    def numbers(self) -> dict[str, int]:
        """Number of the adopted view, by failure domain."""
        return {name: view.number for name, view in self._views.items()}

    def number(self, failure_domain: str) -> int:
        """Return the number of a failure domain's adopted view, 0 for none."""
        view = self._views.get(failure_domain)
        return 0 if view is None else view.number

    def adopt(self, view: views.DomainView) -> bool:
        """Adopt a view; False if the known one is as new or newer.

        A peer that resumes after a pause may send outdated views. If one was adopted,
        this instance would dispatch to an engine whose drain others take for complete.
        """
        if view.number <= self.number(view.failure_domain):
            return False
        self._adopted(view)
        self._views[view.failure_domain] = view
        return True

    def set_complete(self) -> None:
        """Record that all views in the store are known."""
        if not self._complete:
            self._complete = True
            self._completed()

    def selected(
        self, failure_domains: abc.Collection[str]
    ) -> tuple[views.DomainView, ...]:
        """Return the views of the named failure domains, of all if none is named."""
        if not failure_domains:
            return tuple(self._views.values())
        return tuple(v for n, v in self._views.items() if n in failure_domains)


def stored_view(view: views.DomainView) -> messages.StoredView:
    """Return the message form of a view."""
    value = json.dumps(view.to_json(), separators=(",", ":"))
    return messages.StoredView(view.failure_domain, view.number, value)


def view_from_message(stored: messages.StoredView) -> views.DomainView | None:
    """Return the view in a peer's message, or None if it is malformed."""
    try:
        return views.DomainView.from_json(
            stored.failure_domain, stored.number, json.loads(stored.value)
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None


def view_from_object(row: store.Found) -> views.DomainView:
    """Return the view in an object of the store."""
    return views.DomainView.from_json(row.name, row.version, row.value)
