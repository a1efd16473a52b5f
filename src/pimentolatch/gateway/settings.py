"""Settings of one instance that serves the operator's routes."""

import datetime
import typing

import pydantic

from pimentolatch import checks, settings
from pimentolatch.decisions import crash_suspects, server_plan

__all__ = [
    "BoundSettings",
    "CapacitySettings",
    "ControlSettings",
    "GatewaySettings",
    "PeerSettings",
    "QuarantineSettings",
    "StoreSettings",
]


DigestText = typing.Annotated[str, pydantic.Field(pattern="^[0-9a-f]{12}$")]


class PeerSettings(checks.CheckedModel):
    """How instances reach each other.

    Attributes:
        host: Address of this instance.
        ports: First and last port that instances may use between themselves.
        seeds: Addresses of some instances; they may be out of date.
    """

    host: settings.IpNumber
    ports: tuple[settings.PortNumber, settings.PortNumber]
    seeds: tuple[settings.AddressText, ...] = ()

    @property
    def address(self) -> settings.Address:
        """Where this instance hears its peers, by datagrams and by HTTP."""
        return settings.Address(host=self.host, port=self.ports[0])

    @property
    def usage_address(self) -> settings.Address:
        """Where this instance hears what customers' requests began at others."""
        return settings.Address(host=self.host, port=self.ports[0] + 1)


class StoreSettings(checks.CheckedModel):
    """The platform's store.

    Attributes:
        call_timeout_s: How long a call may take before its outcome is unknown.
    """

    address: settings.AddressText
    call_timeout_s: float = pydantic.Field(default=1.0, gt=0, le=60)


class BoundSettings(checks.CheckedModel):
    """What the operator holds this instance to.

    Attributes:
        stop_grace_s: Time from the stop signal until the process is killed.
        repeat_ratio: Repeated sendings allowed for each request, over all instances.
        repeat_window_s: Length of the sliding window in which they are counted.
        repeat_slack: Repeats allowed besides, over all instances.
        lease_ms: Shortest time between orders of two holders.
    """

    stop_grace_s: float = pydantic.Field(default=8.0, gt=0)
    repeat_ratio: float = pydantic.Field(default=0.2, ge=0)
    repeat_window_s: float = pydantic.Field(default=10.0, gt=0)
    repeat_slack: float = pydantic.Field(default=0.0, ge=0)
    lease_ms: float = pydantic.Field(default=3000.0, gt=0)


class ControlSettings(checks.CheckedModel):
    """The platform's interface for reports and orders of one holder.

    Attributes:
        duties: What it takes: `usage` reports, orders to `scale` services.
        usage_window_s: Length of the windows that usage reports cover.
    """

    address: settings.AddressText
    duties: tuple[str, ...] = ()
    usage_window_s: float = pydantic.Field(default=5.0, gt=0)


class CapacitySettings(checks.CheckedModel):
    """How servers that are paid by the second are ordered.

    Attributes:
        order: Whether they are ordered at all; else what stands is left as it is.
        servers: Servers of each service that suffice; if it is not set, as many as
            stood at first.
        spot: Whether servers may be ordered that can be taken back.
        spare_domains: Failure domains whose loss these must cover; if it is not set,
            two where they are cheap enough, else one.
    """

    order: bool = True
    servers: int | None = pydantic.Field(default=None, ge=1)
    spot: bool = True
    spare_domains: int | None = pydantic.Field(default=None, ge=0)

    @property
    def policy(self) -> server_plan.Policy:
        """The same in the types of the decision."""
        return server_plan.Policy(self.servers, self.spot, self.spare_domains)


class QuarantineSettings(checks.CheckedModel):
    """When a request is kept from all servers, since it ends those that run it.

    Attributes:
        crashes: Servers that must have ended under it, two or more.
        first_minutes: How long it is kept from servers when three have ended; six times
            as long after the next one.
        hours: How long it is kept from them after a fifth one, and at the most.
        exempt: Digests, as the log writes them, that are never kept from servers.
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


class GatewaySettings(checks.CheckedModel):
    """Settings of one instance.

    Attributes:
        instance: Name of this instance, unique in the fleet.
        failure_domain: Failure domain that it stands in.
        clients: Where requests on routes arrive.
        readiness: Where the balancer asks whether to send requests here.
        metrics: Where metrics are served; nowhere if it is not set.
        control: Takes reports and orders; nobody does if it is not set.
        capacity: How servers are ordered there.
        digest_key: Key of the digests by which logs and peers name requests; the same
            in all instances of the fleet.
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
    bounds: BoundSettings = BoundSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    logs: settings.LogSettings = settings.LogSettings()
    digest_key: str = pydantic.Field(default="", max_length=64)
