"""Decides before each dispatch whether a request may be sent to a server."""

from pimentolatch import results
from pimentolatch.decisions import access
from pimentolatch.gateway import client_request, fleet_state, quarantine, refusals

__all__ = ["DispatchCheck"]


class DispatchCheck:
    """Refuses requests that are quarantined or whose customer's key was revoked.

    Either may happen between two dispatches of the same request.

    Args:
        fleet: Configuration that this instance knows.
        crash_quarantine: Tells which requests are quarantined.
    """

    def __init__(
        self, fleet: fleet_state.FleetState, crash_quarantine: quarantine.Quarantine
    ) -> None:
        self._fleet = fleet
        self._crash_quarantine = crash_quarantine

    def refusal(self, request: client_request.ClientRequest) -> results.Refusal | None:
        """Return why a request must not be dispatched; None if it may be.

        The refusal is correct only for a request that no server has started to run.
        """
        verdict = self._crash_quarantine.verdict(request)
        if verdict is not None:
            return results.quarantined(verdict.remaining)
        configuration = self._fleet.configuration
        if configuration is None or access.still_authorized(
            configuration, request.head.api_keys, request.access.customer
        ):
            return None
        return refusals.unknown_key()
