"""Tells whether a request may be sent to one more server."""

from pimentolatch import results
from pimentolatch.decisions import access
from pimentolatch.gateway import client_request, knowledge, quarantine, refusals

__all__ = ["DispatchCheck"]


class DispatchCheck:
    """What may end a request between two sendings.

    Args:
        known: What this instance knows.
        suspects: Tells which requests are kept from servers.
    """

    def __init__(
        self, fleet: knowledge.Knowledge, suspects: quarantine.Quarantine
    ) -> None:
        self._fleet = fleet
        self._suspects = suspects

    def refusal(self, request: client_request.ClientRequest) -> results.Refusal | None:
        """Return why a request goes to no further server; None if it may go.

        The refusal is true of a request that no server has begun to run.
        """
        verdict = self._suspects.verdict(request)
        if verdict is not None:
            return results.quarantined(verdict.left)
        configuration = self._fleet.configuration
        if configuration is None or access.holds(
            configuration, request.head.keys, request.access.customer
        ):
            return None
        return refusals.unknown_key()
