"""Settings of one process: its addresses, its failure domain and the platform.

What the fleet serves is configured in the fleet document instead.
"""

import ipaddress
import typing

import pydantic

from pimentolatch import validation
from pimentolatch.decisions import client_memory

__all__ = [
    "Address",
    "AddressText",
    "EntrySettings",
    "PeerSettings",
    "PlatformSettings",
]


def _ip_address(value: str) -> str:
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise ValueError("must be an IP address, such as 192.0.2.7") from None


IpAddress = typing.Annotated[str, pydantic.AfterValidator(_ip_address)]
PortNumber = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$", max_length=63)
]


class Address(validation.CheckedModel):
    """A TCP address."""

    host: IpAddress
    port: PortNumber

    @classmethod
    def from_text(cls, text: str) -> typing.Self:
        """Parse `HOST:PORT`; raises `ValueError` if the text is malformed."""
        host, _, port = text.rpartition(":")
        # `int` also takes signs, spaces, underscores and digits of other scripts.
        if not (port.isascii() and port.isdigit()):
            raise ValueError(f"not a port: {port!r:.20}")
        return cls(host=host, port=int(port))

    @property
    def url(self) -> str:
        """Base URL without a trailing slash."""
        return f"http://{self.host}:{self.port}"


def _address_from_text(value: object) -> object:
    if not isinstance(value, str):
        return value
    try:
        return Address.from_text(value)
    except ValueError:
        raise ValueError("must be HOST:PORT, such as 192.0.2.7:8080") from None


AddressText = typing.Annotated[Address, pydantic.BeforeValidator(_address_from_text)]


class PlatformSettings(validation.CheckedModel):
    """The platform's address and the call limits of this instance.

    Attributes:
        address: Address of the object API and the instance list.
        calls_per_second: Call budget of this instance, pending watches included. The
            platform's limit divided by the number of instances is a safe value.
        call_timeout_s: Time after which the outcome of a call counts as unknown.
    """

    address: Address
    calls_per_second: float = pydantic.Field(default=40.0, gt=0, le=1000)
    call_timeout_s: float = pydantic.Field(default=2.0, gt=0, le=60)


class PeerSettings(validation.CheckedModel):
    """Links to the other entry instances.

    Attributes:
        address: Address on which this instance listens for peers.
        advertised: Address that peers connect to, if it differs from `address`.
        seeds: Peers to contact first; the instance list adds others.
        heartbeat_interval_s: Time between heartbeats on a link.
        suspect_after_s: Time without messages after which a peer is suspected.
        list_interval_s: Time between reads of the platform's instance list in this
            failure domain; its instances take turns.
        list_lag_bound_s: Maximum lag of that list, guaranteed by the platform: a
            process that is not listed this long after its start has terminated.
    """

    address: Address
    advertised: Address | None = None
    seeds: tuple[Address, ...] = ()
    heartbeat_interval_s: float = pydantic.Field(default=1.0, gt=0, le=60)
    suspect_after_s: float = pydantic.Field(default=4.0, gt=0, le=600)
    list_interval_s: float = pydantic.Field(default=2.0, gt=0, le=600)
    list_lag_bound_s: float = pydantic.Field(default=30.0, gt=0, le=3600)

    @property
    def dial_address(self) -> Address:
        """Address that peers connect to."""
        return self.advertised or self.address


class LogSettings(validation.CheckedModel):
    """Settings of the log."""

    level: typing.Literal["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"] = "INFO"


class EntrySettings(validation.CheckedModel):
    """Settings of one entry instance.

    Attributes:
        instance: Name of this instance, unique in the fleet.
        failure_domain: Failure domain of this instance.
        region: Region of the failure domain.
        callers: Address for callers' requests.
        operators: Address for `submit`, `status` and the metrics.
        peers: Links to the other entry instances.
        platform: The platform's services.
        stop_grace_s: How long a graceful shutdown waits for requests in flight.
        max_body_bytes: Largest accepted request body.
        body_timeout_s: Time limit for receiving a request body.
        memory_mb: Memory of the machine, in megabytes.
    """

    instance: Name
    failure_domain: Name
    region: Name = "region"
    callers: Address
    operators: Address
    peers: PeerSettings
    platform: PlatformSettings
    logs: LogSettings = LogSettings()
    stop_grace_s: float = pydantic.Field(default=120.0, gt=0, le=3600)
    max_body_bytes: int = pydantic.Field(default=4_000_000, ge=1024)
    body_timeout_s: float = pydantic.Field(default=10.0, gt=0, le=300)
    memory_mb: float = pydantic.Field(
        default=client_memory.DEFAULT_MACHINE_MB, ge=client_memory.LEAST_MACHINE_MB
    )

    @pydantic.model_validator(mode="after")
    def _addresses_differ(self) -> typing.Self:
        own = [self.callers, self.operators, self.peers.address]
        if len(set(own)) != len(own):
            raise ValueError("callers, operators and peers must use three addresses")
        return self
