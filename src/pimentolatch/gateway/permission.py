"""Tells whether a request may be sent to one more server."""

from pimentolatch import results
from pimentolatch.decisions import access
from pimentolatch.gateway import inbound, knowledge, quarantine, refusals

__all__ = ["Permission"]


class Permission:
    """What may end a request between two sendings.

    Args:
        known: What this instance knows.
        suspects: Tells which requests are kept from servers.
    """

    def __init__(
        self, known: knowledge.Knowledge, suspects: quarantine.Quarantine
    ) -> None:
        self._known = known
        self._suspects = suspects

    def refusal(self, asked: inbound.Inbound) -> results.Refusal | None:
        """Return why a request goes to no further server; None if it may go.

        The refusal is true of a request that no server has begun to run.
        """
        verdict = self._suspects.verdict(asked)
        if verdict is not None:
            return results.quarantined(verdict.remaining)
        configuration = self._known.configuration
        if configuration is None or access.still_authorized(
            configuration, asked.head.keys, asked.access.customer
        ):
            return None
        return refusals.unknown_key()
