"""Settings of one instance that serves the operator's routes."""

import datetime
import typing

import pydantic

from pimentolatch import settings, validation
from pimentolatch.decisions import (
    client_memory,
    crash_suspects,
    request_delivery,
    server_plan,
    server_speeds,
    watch_schedule,
)

__all__ = [
    "BalanceSettings",
    "BoundSettings",
    "CapacitySettings",
    "ControlSettings",
    "GatewaySettings",
    "PeerSettings",
    "QuarantineSettings",
    "StoreSettings",
]


DigestText = typing.Annotated[str, pydantic.Field(pattern="^[0-9a-f]{12}$")]


class PeerSettings(validation.CheckedModel):
    """How instances reach each other.

    Attributes:
        host: Address of this instance.
        ports: First and last port that instances may use between themselves.
        seeds: Addresses of some instances, to join the fleet; may be out of date.
    """

    host: settings.IpAddress
    ports: tuple[settings.PortNumber, settings.PortNumber]
    seeds: tuple[settings.AddressText, ...] = ()

    @property
    def address(self) -> settings.Address:
        """Where this instance receives datagrams and HTTP requests of its peers."""
        return settings.Address(host=self.host, port=self.ports[0])

    @property
    def forwarding_address(self) -> settings.Address:
        """Where this instance receives requests that its peers can't serve."""
        return settings.Address(host=self.host, port=self.ports[0] + 2)

    @property
    def origins_address(self) -> settings.Address:
        """Where this instance receives datagrams about the origins of streams."""
        return settings.Address(host=self.host, port=self.ports[0] + 2)

    @property
    def usage_address(self) -> settings.Address:
        """Where this instance receives its peers' counts of started requests."""
        return settings.Address(host=self.host, port=self.ports[0] + 1)


class StoreSettings(validation.CheckedModel):
    """The platform's store.

    Attributes:
        call_timeout_s: How long a call may take before its outcome is unknown.
    """

    address: settings.AddressText
    call_timeout_s: float = pydantic.Field(default=1.0, gt=0, le=60)


class BoundSettings(validation.CheckedModel):
    """Bounds that this instance has to observe.

    Attributes:
        stop_grace_s: Time from the stop signal until the process is killed.
        repeat_ratio: Retries allowed per request, over all instances.
        repeat_window_s: Length of the sliding window in which they are counted.
        repeat_slack: Additional retries allowed, over all instances.
        lease_ms: Shortest time between orders of two successive leaders.
        server_change_ms: Time within which all instances have to observe that a server
            leaves, from the store's acknowledgement on.
        configuration_change_ms: The same for a new configuration.
    """

    stop_grace_s: float = pydantic.Field(default=8.0, gt=0)
    repeat_ratio: float = pydantic.Field(default=0.2, ge=0)
    repeat_window_s: float = pydantic.Field(default=10.0, gt=0)
    repeat_slack: float = pydantic.Field(default=0.0, ge=0)
    lease_ms: float = pydantic.Field(default=3000.0, gt=0)
    server_change_ms: float = pydantic.Field(default=2000.0, gt=0)
    configuration_change_ms: float = pydantic.Field(default=2000.0, gt=0)

    @property
    def server_watch(self) -> watch_schedule.WatchLimits:
        """Time limits of a watch of the servers."""
        return _watch_limits(self.server_change_ms)

    @property
    def acknowledgement_limit(self) -> datetime.timedelta:
        """How long a server may leave a request without an acknowledgement."""
        return request_delivery.acknowledgement_limit(
            datetime.timedelta(milliseconds=self.server_change_ms)
        )

    @property
    def pause_limit(self) -> datetime.timedelta:
        """For how long this process may stand still and use what it knows."""
        return watch_schedule.pause_limit(
            datetime.timedelta(milliseconds=self.server_change_ms)
        )

    @property
    def configuration_watch(self) -> watch_schedule.WatchLimits:
        """Time limits of a watch of the configuration."""
        return _watch_limits(self.configuration_change_ms)


class ControlSettings(validation.CheckedModel):
    """The platform's interface for reports and orders, sent by the leader only.

    Attributes:
        duties: What it accepts: `usage` reports, orders to `scale` services.
        usage_window_s: Length of the windows that usage reports cover.
    """

    address: settings.AddressText
    duties: tuple[str, ...] = ()
    usage_window_s: float = pydantic.Field(default=5.0, gt=0)


class CapacitySettings(validation.CheckedModel):
    """How servers that are billed by the second are ordered.

    Attributes:
        order: Whether servers are ordered at all; otherwise the fleet is left as it is.
        servers: Sufficient number of servers for each service; by default as many as
            there were at first.
        spot: Whether spot servers, which can be reclaimed, may be ordered.
        spare_domains: Number of failure domains whose loss the servers must cover; by
            default two where servers are cheap enough, otherwise one.
        follow_load: Whether on-demand servers follow the load of the engines. Without
            effect if `servers` is set.
    """

    order: bool = True
    servers: int | None = pydantic.Field(default=None, ge=1)
    spot: bool = True
    spare_domains: int | None = pydantic.Field(default=None, ge=0)
    follow_load: bool = True

    @property
    def policy(self) -> server_plan.Policy:
        """The same in the types of the decision."""
        return server_plan.Policy(
            self.servers, self.spot, self.spare_domains, self.follow_load
        )


class QuarantineSettings(validation.CheckedModel):
    """When a request that crashes servers is quarantined, that is, not dispatched.

    Attributes:
        crashes: Number of servers that must have crashed while running it, at least 2.
        first_minutes: Length of its quarantine after three crashes; six times as long
            after the next one.
        hours: Length of its quarantine after a fifth crash, and the maximum.
        exempt: Digests, as written in the log, that are never quarantined.
    """

    crashes: int = pydantic.Field(default=3, ge=2)
    first_minutes: float = pydantic.Field(default=10.0, gt=0)
    hours: float = pydantic.Field(default=24.0, gt=0)
    exempt: tuple[DigestText, ...] = ()

    @property
    def policy(self) -> crash_suspects.Policy:
        """The same in the types of the decision."""
        return crash_suspects.Policy(
            self.crashes,
            datetime.timedelta(minutes=self.first_minutes),
            datetime.timedelta(hours=self.hours),
            frozenset(int(digest, 16) for digest in self.exempt),
        )


class BalanceSettings(validation.CheckedModel):
    """How requests are distributed over the servers of a service.

    Attributes:
        share_silence: Whether servers are avoided that were silent to other instances
            of the failure domain.
        speed_ratio: Ratio between fast and slow engines of a service from which the
            learned speed of each counts, above 1; null for never.
    """

    share_silence: bool = True

    speed_ratio: float | None = pydantic.Field(
        default=server_speeds.DEFAULT_RATIO, gt=1, allow_inf_nan=False
    )


class GatewaySettings(validation.CheckedModel):
    """Settings of one instance.

    Attributes:
        instance: Name of this instance, unique in the fleet.
        failure_domain: Failure domain of this instance.
        clients: Address for client requests on routes.
        readiness: Address for the load balancer's readiness checks.
        metrics: Address for metrics; they are not served if it is not set.
        control: Receives reports and orders; none are sent if it is not set.
        capacity: How servers are ordered there.
        balance: How requests are distributed over the servers of a service.
        digest_key: Key of the digests that identify requests in logs and between peers;
            the same on all instances of the fleet.
        memory_mb: Memory of the machine, in megabytes.
    """

    instance: str = pydantic.Field(min_length=1)
    failure_domain: str = pydantic.Field(min_length=1)
    clients: settings.AddressText
    readiness: settings.AddressText
    metrics: settings.AddressText | None = None
    peers: PeerSettings
    store: StoreSettings
    control: ControlSettings | None = None
    capacity: CapacitySettings = CapacitySettings()
    balance: BalanceSettings = BalanceSettings()
    bounds: BoundSettings = BoundSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    logs: settings.LogSettings = settings.LogSettings()
    digest_key: str = pydantic.Field(default="", max_length=64)
    memory_mb: float = pydantic.Field(
        default=client_memory.DEFAULT_MACHINE_MB, ge=client_memory.LEAST_MACHINE_MB
    )


def _watch_limits(in_force_within_ms: float) -> watch_schedule.WatchLimits:
    return watch_schedule.watch_limits(
        datetime.timedelta(milliseconds=in_force_within_ms)
    )
