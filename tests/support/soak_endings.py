"""How the requests of a soak run ended, and those that were left without an answer.

A whole request that a running instance could read has to get a whole answer or a
refusal, whatever is planned and however long its server is silent, unless its time is
up. Only an unplanned fault on its path excuses an instance.
"""

import enum

from tests.support import soak_checks, soak_clients

__all__ = ["Ending", "Endings"]

# A request that crosses the close of its connection is left without an answer at once.
CROSSING_S = 0.2
# What may be in force of the configurations of the last seconds.
CONFIGURE_S = 3.0
# A fault of these kinds acts for as long as there are requests that it was drawn for,
# or connections that it silenced.
LASTING = frozenset(
    {"server misbehaves", "answers cut", "server silent", "clients silent"}
)
# Without the store an instance has to go on as it did.
EXCUSES = soak_checks.ABORTS_RESPONSES - {
    "store cut",
    "store cut one way",
    "store down",
}


class Ending(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    REFUSED = "refused as not run"
    FAILED = "failed (5xx)"
    DENIED = "denied (4xx)"
    LEFT = "left by its client"
    CROSSED = "crossed a close"
    EXCUSED = "hit by a fault"
    TIME_UP = "out of time"
    LOST = "lost"


class Endings:
    """Tells from what clients and servers recorded how requests ended.

    Args:
        world: The gateways and servers.
        injector: The faults that were injected.
    """

    def __init__(self, world, injector):
        self._world = world
        self._injected = injector.injected
        self._silences = injector.silences
        self._reached = {}
        for server in [*world.servers.values(), *world.removed_servers]:
            for request in server.received:
                request_id = request.fields.get("x-request-id", "")
                self._reached.setdefault(request_id, set()).add(server.server_id)

    def ending(self, attempt):
        """Return how a request ended."""
        if attempt.complete:
            return _complete_ending(attempt.status)
        if attempt.left:
            return Ending.LEFT
        if self._crossed_close(attempt):
            return Ending.CROSSED
        if self._hit(attempt) or self._silenced(attempt):
            return Ending.EXCUSED
        if self.time_up(attempt):
            return Ending.TIME_UP
        return Ending.LOST

    def violations(self, attempts):
        """Yield one line for each request that was lost."""
        for attempt in attempts:
            if self.ending(attempt) is Ending.LOST:
                duration_s = attempt.ended_at - attempt.sent_at
                yield (
                    f"{attempt.request_id} ({attempt.route}) got no whole answer from "
                    f"{attempt.gateway} in {duration_s:.1f} s: status "
                    f"{attempt.status}, {len(attempt.response_body)} bytes, "
                    f"{'reset, ' if attempt.reset else ''}"
                    f"reached {sorted(self._servers(attempt))}"
                )

    def _crossed_close(self, attempt):
        """Return whether the instance closed the connection unread while it stopped.

        It may not do so to an idle one: clients don't use those that it may close.
        """
        if attempt.status != soak_clients.NO_RESPONSE or self._servers(attempt):
            return False
        if attempt.ended_at - attempt.sent_at > CROSSING_S:
            return False
        return any(
            fault.kind == "term"
            and fault.gateway == attempt.gateway
            and fault.begin <= attempt.ended_at
            and fault.end >= attempt.sent_at
            for fault in self._injected
        )

    def _hit(self, attempt):
        """Return whether an unplanned fault may have hit a request."""
        begin, end = attempt.sent_at, attempt.ended_at
        if soak_checks.affected(self._injected, begin, end, attempt.gateway, EXCUSES):
            return True
        if any(
            fault.kind in LASTING and fault.begin <= end for fault in self._injected
        ):
            return True
        removed_at = self._world.removed_at
        return any(
            begin <= removed_at.get(server_id, float("inf")) <= end
            for server_id in self._servers(attempt)
        )

    def unanswerable(self, attempt):
        """Return whether its client or its server left, or time was up."""
        return attempt.left or self.time_up(attempt) or self._silenced(attempt)

    def _silenced(self, attempt):
        servers = self._servers(attempt)
        return any(
            silence.server_id in servers
            and silence.begin <= attempt.ended_at
            and silence.end >= attempt.sent_at
            for silence in self._silences
        )

    def time_up(self, attempt):
        """Return whether the instance ended a request whose time was up."""
        timeouts = [
            route["timeout_ms"] / 1000
            for spec in self._in_force(attempt)
            for route in spec["routes"]
            if route["name"] == attempt.route
        ]
        allowed_s = min([soak_clients.DEADLINE_S, *timeouts])
        begun_at = attempt.begun_at or attempt.sent_at
        return not attempt.gave_up and attempt.ended_at - begun_at >= allowed_s

    def _servers(self, attempt):
        return self._reached.get(attempt.request_id, set())

    def _in_force(self, attempt):
        """Return the configurations that may apply to a request."""
        written = self._world.configurations
        surely_known_at = attempt.sent_at - CONFIGURE_S
        known = [c.spec for c in written if c.at <= surely_known_at]
        newer = [c.spec for c in written if surely_known_at < c.at <= attempt.ended_at]
        return [*known[-1:], *newer]


def _complete_ending(status):
    if 200 <= status < 300:
        return Ending.ANSWERED
    if status in soak_checks.NOT_RUN_STATUSES:
        return Ending.REFUSED
    return Ending.FAILED if status >= 500 else Ending.DENIED
