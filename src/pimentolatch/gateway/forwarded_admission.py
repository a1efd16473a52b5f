"""Admits requests that peers without a path to the servers forward to this instance."""

import contextlib
from collections import abc

from pimentolatch import results
from pimentolatch.gateway import client_request, reachability_monitor, refusals

__all__ = ["ForwardedAdmission"]

# Several times as many as an instance has of its own at the peak, and few enough for
# its descriptors and memory. Peers try another instance for what is refused.
_MAX_IN_FLIGHT = 128


class ForwardedAdmission:
    """Counts forwarded requests, and refuses those that this instance can't serve.

    A refusal is immediate, so that the peer can try another instance.

    Args:
        monitor: Knows what this instance is cut off from.
    """

    def __init__(self, monitor: reachability_monitor.ReachabilityMonitor) -> None:
        self._monitor = monitor
        self._in_flight = 0

    def refusal(self, request: client_request.ClientRequest) -> results.Refusal | None:
        """Return why a forwarded request is not served here; None if it is."""
        service = request.service.name
        if self._in_flight >= _MAX_IN_FLIGHT or self._monitor.is_cut_off(service):
            return refusals.no_server(service)
        return None

    @contextlib.contextmanager
    def counted(self) -> abc.Iterator[None]:
        """Count a forwarded request while the context is open."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
