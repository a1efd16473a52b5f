"""Finds out which software version has to go on with a stream.

What two versions of a server's software write doesn't fit together, so a stream goes on
only at a server of the version that began it: after a failure within one response, and
when a client resumes it with another request at any instance.
"""

from pimentolatch import clock
from pimentolatch.decisions import stream_origins, version_history
from pimentolatch.gateway import (
    client_request,
    fleet_state,
    list_confirmation,
    request_log,
)
from pimentolatch.gateway.peers import origin_exchange
from pimentolatch.routes import servers

__all__ = ["Resumptions"]

# No server with a version has this one.
_NO_VERSION = ""
_RECORDED = "recorded"
_SOLE_VERSION = "sole version"
_UNKNOWN = "unknown"


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
        fleet.on_change(self._observe_versions)
        confirmation.on_unseen(self._history.restart)

    @property
    def history(self) -> version_history.VersionHistory:
        """The versions that are or were listed."""
        return self._history

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

    def _observe_versions(self) -> None:
        versions: dict[str, set[str]] = {}
        for server in self._fleet.servers.all():
            versions.setdefault(server.service, set()).add(server.version)
        self._history.observe(versions, self._clock.monotonic())


def _build_of(server: servers.Server) -> int | None:
    """Return the build of a server; None if its version is unknown."""
    if not server.version:
        return None
    return stream_origins.build_key(server.service, server.version)
