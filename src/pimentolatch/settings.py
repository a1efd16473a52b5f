"""Settings of one process: its addresses, its failure domain and the platform.

What the fleet should serve is not here: that is the fleet document.
"""

import ipaddress
import typing

import pydantic

from pimentolatch import validation

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
        raise ValueError("must be an IP number, such as 192.0.2.7") from None


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
        """Return the address written as `HOST:PORT`; raises `ValueError`."""
        host, _, port = text.rpartition(":")
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
    """Where the platform is and how much of it this instance may use.

    Attributes:
        address: Address of the object API and the instance list.
        calls_per_second: Budget of calls for this instance, waiting watches included.
            The platform's limit divided by the instances is a safe figure.
        call_timeout_s: How long a call may take before its outcome is unknown.
    """

    address: Address
    calls_per_second: float = pydantic.Field(default=40.0, gt=0, le=1000)
    call_timeout_s: float = pydantic.Field(default=2.0, gt=0, le=60)


class PeerSettings(validation.CheckedModel):
    """Links to the other entry instances.

    Attributes:
        address: Where this instance listens for peers.
        advertised: Where peers reach this instance, if that differs.
        seeds: Peers to ask first; the instance list adds to them.
        heartbeat_interval_s: Time between heartbeats on a link.
        suspect_after_s: Silence after which a peer is suspected.
        list_interval_s: Time between two reads of the platform's instance list in
            this failure domain; its instances take turns.
        list_lag_bound_s: How late that list may be at most. It is the platform's
            promise: a process that it no longer names this long after its start has
            ended.
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
        """Address that peers dial."""
        return self.advertised or self.address


class LogSettings(validation.CheckedModel):
    """What is logged."""

    level: typing.Literal["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"] = "INFO"


class EntrySettings(validation.CheckedModel):
    """Settings of one entry instance.

    Attributes:
        instance: Name of this instance, unique in the fleet.
        failure_domain: Failure domain the instance stands in.
        region: Region of the failure domain.
        callers: Where callers' requests arrive.
        operators: Where `submit`, `status` and the metrics are answered.
        peers: Links to the other entry instances.
        platform: The platform's services.
        stop_grace_s: How long a graceful shutdown waits for requests in flight.
        max_body_bytes: Largest request body that is read.
        body_timeout_s: Longest time a caller may take to send its body.
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

    @pydantic.model_validator(mode="after")
    def _addresses_differ(self) -> typing.Self:
        own = [self.callers, self.operators, self.peers.address]
        if len(set(own)) != len(own):
            raise ValueError("callers, operators and peers must use three addresses")
        return self
