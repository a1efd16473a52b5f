"""Finds out which software version has to go on with a stream.

What two versions of a server's software write doesn't fit together, so a stream goes on
only at a server of the version that began it: after a failure within one response, and
when a client resumes it with another request at any instance.
"""

import collections
import dataclasses
import datetime

from pimentolatch import clock
from pimentolatch.decisions import stream_origins, version_history
from pimentolatch.gateway import (
    client_request,
    fleet_state,
    list_confirmation,
    origin_exchange,
    request_log,
)
from pimentolatch.routes import servers

__all__ = ["Resumptions"]

# Start times are those of the servers' clocks.
_CLOCK_TOLERANCE = datetime.timedelta(milliseconds=500)
# Streams of 60 seconds at four times the design size.
_MAX_RECENT = 4096
# No server with a version has this one.
_NO_VERSION = ""
_RECORDED = "recorded"
_SOLE_VERSION = "sole version"
_UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class _Beginning:
    """A stream that may still be resumed.

    Attributes:
        at: When its first event arrived.
        origin: Key of the request.
        server: Incarnation that sent the event, as far as was known then.
    """

    at: datetime.datetime
    origin: int
    server: servers.Incarnation


class Resumptions:
    """Records which software version begins each stream, and finds it out again.

    Args:
        fleet: The listed servers.
        exchange: Keeps the records, at peers too.
        confirmation: Has the store confirm the list of servers.
        log: Log of requests.
        time: Clock of this instance.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        exchange: origin_exchange.OriginExchange,
        confirmation: list_confirmation.ListConfirmation,
        log: request_log.RequestLog,
        time: clock.Clock,
    ) -> None:
        self._fleet = fleet
        self._exchange = exchange
        self._confirmation = confirmation
        self._request_log = log
        self._clock = time
        self._history = version_history.VersionHistory()
        self._recent: collections.deque[_Beginning] = collections.deque(
            maxlen=_MAX_RECENT
        )
        fleet.on_change(self._observe_servers)
        confirmation.on_unseen(self._history.restart)

    def begin(
        self,
        request: client_request.ClientRequest,
        server: servers.Server,
        *,
        proven: bool,
    ) -> int | None:
        """Record the server that sends the first event of a stream.

        Args:
            request: The request.
            server: The server, as it is listed.
            proven: Whether the listed incarnation sent the event. Another one may have
                any version, so the stream is recorded as one that goes on nowhere.

        Returns:
            The build that the stream has to go on at; None if it is not known.
        """
        build = _build_of(server)
        if not proven:
            build = stream_origins.build_key(server.service, _NO_VERSION)
        if build is not None and not request.head.last_event:
            origin = stream_origins.origin_key(request.request_id)
            self._record(origin, build, server.service)
            if proven and server.started_ms is not None:
                self._recent.append(
                    _Beginning(self._clock.now(), origin, server.incarnation)
                )
        return build

    async def find(self, request: client_request.ClientRequest) -> int | None:
        """Return the build that began a stream; None if it can't be found out."""
        since = self._clock.monotonic()
        build, outcome, reason = None, _RECORDED, None
        if request.origin_id:
            origin = stream_origins.origin_key(request.origin_id)
            build = await self._exchange.find(origin)
        asked_at = self._clock.monotonic()
        if build is None:
            version = await self._sole_version(request)
            if isinstance(version, version_history.Ambiguity):
                outcome, reason = _UNKNOWN, version.value
            else:
                outcome = _SOLE_VERSION
                build = stream_origins.build_key(request.service.name, version)
        listed = self._fleet.server_list_status(self._clock.monotonic())
        self._request_log.write(
            request_log.RESUMED,
            request.request_id,
            wrong=build is None,
            origin=request.origin_id,
            outcome=outcome,
            reason=reason,
            ms=self._request_log.elapsed_ms(since),
            confirm_ms=None
            if outcome == _RECORDED
            else self._request_log.elapsed_ms(asked_at),
            list_revision=listed.revision,
            list_source=listed.source,
            list_age_ms=listed.age_ms,
        )
        return build

    def is_gone(self, service: str, build: int) -> bool:
        """Tell whether only servers of other versions accept requests."""
        builds = {_build_of(s) for s in self._fleet.servers.of_service(service)}
        return bool(builds) and build not in builds

    def other_servers(self, service: str, build: int) -> frozenset[servers.Incarnation]:
        """Return the listed decode servers that must not go on with a stream."""
        return frozenset(
            server.incarnation
            for server in self._fleet.servers.of_service(service)
            if server.stage is servers.Stage.DECODE and _build_of(server) != build
        )

    async def _sole_version(
        self, request: client_request.ClientRequest
    ) -> str | version_history.Ambiguity:
        """Return the only version that can have begun a stream.

        Another instance may have begun it at a server that was listed a moment ago, so
        the list must be confirmed as of a time after the client came back.
        """
        known = self._listed_version(request)
        if isinstance(known, version_history.Ambiguity):
            return known
        if not await self._confirmation.confirm():
            return version_history.Ambiguity.NOT_CONFIRMED
        return self._listed_version(request)

    def _listed_version(
        self, request: client_request.ClientRequest
    ) -> str | version_history.Ambiguity:
        return self._history.sole_version(
            request.service.name,
            self._clock.monotonic(),
            min(request.route.timeout, stream_origins.LIFETIME),
        )

    def _record(self, origin: int, build: int, service: str) -> None:
        several = len(self._versions(service)) > 1
        self._exchange.record(origin, build, stream_origins.LIFETIME, repeat=several)

    def _versions(self, service: str) -> frozenset[str]:
        return frozenset(
            server.version
            for server in self._fleet.servers.all()
            if server.service == service
        )

    def _observe_servers(self) -> None:
        self._observe_versions()
        self._correct_origins()

    def _correct_origins(self) -> None:
        """Record the version of servers that had started again before a stream began.

        An instance that was out of reach of the store may learn of it late. Until then
        what the new process writes counts as written by the old one's version. The two
        records contradict each other, so the stream goes on nowhere: events of both
        versions may have been sent.
        """
        now = self._clock.now()
        while self._recent and now - self._recent[0].at > stream_origins.LIFETIME:
            self._recent.popleft()
        wrong = {
            beginning: build
            for beginning in self._recent
            if (build := self._later_build(beginning)) is not None
        }
        if not wrong:
            return
        right = [beginning for beginning in self._recent if beginning not in wrong]
        self._recent = collections.deque(right, maxlen=_MAX_RECENT)
        for beginning, build in wrong.items():
            self._exchange.record(
                beginning.origin, build, stream_origins.LIFETIME, repeat=True
            )

    def _later_build(self, beginning: _Beginning) -> int | None:
        """Return the build that a server had started again with; None if it had not."""
        server = self._fleet.servers.get(beginning.server.server_id)
        if server is None or server.incarnation == beginning.server:
            return None
        return _build_of(server) if _had_started(server, beginning.at) else None

    def _observe_versions(self) -> None:
        versions: dict[str, set[str]] = {}
        for server in self._fleet.servers.all():
            versions.setdefault(server.service, set()).add(server.version)
        self._history.observe(versions, self._clock.monotonic())


def _had_started(server: servers.Server, at: datetime.datetime) -> bool:
    """Tell whether a server's process may have been running at a moment."""
    if server.started_ms is None:
        return True
    latest_ms = (at + _CLOCK_TOLERANCE).timestamp() * 1000
    return server.started_ms <= latest_ms


def _build_of(server: servers.Server) -> int | None:
    """Return the build of a server; None if its version is unknown."""
    if not server.version:
        return None
    return stream_origins.build_key(server.service, server.version)
