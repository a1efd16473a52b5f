"""Schema of the fleet document: the complete intended configuration of a fleet."""

import collections
import typing
from collections import abc

import pydantic

from pimentolatch import settings, validation

__all__ = [
    "AdmissionPolicy",
    "Caller",
    "Engine",
    "FleetDocument",
    "Model",
    "Operation",
    "PlainServer",
    "RolePolicy",
    "RoutingPolicy",
    "Service",
]

Role = typing.Literal["prefill", "decode", "mixed"]
Name = settings.Name


class Model(validation.CheckedModel):
    """A model that callers may request.

    Attributes:
        name: Name of the model in requests.
        version: Version of the weights that engines should load.
        kv_bytes_per_token: Size of the KV cache of one token, in bytes.
        context_tokens: Context length: largest prompt plus output, in tokens.
    """

    name: Name
    version: str = "1"
    kv_bytes_per_token: int = pydantic.Field(default=160_000, gt=0)
    context_tokens: int = pydantic.Field(default=131_072, gt=0)


class Engine(validation.CheckedModel):
    """A backend server that runs a model.

    Attributes:
        checks_fencing: Whether the engine rejects orders with an outdated fencing
            token.
        reads_time_out_s: Longest time the engine waits for the rest of an order it
            has begun to receive; it bounds how long an order can be in transit.
        models: Models the engine can serve.
        role: Initial role; the role planner may change it unless `pinned`.
        pinned: Whether the role is fixed.
        streams: Largest batch, in streams.
        prefill_tokens_per_s: Prefill throughput without concurrent decoding, in prompt
            tokens a second.
        decode_tokens_per_s: Decode throughput over all streams, in tokens a second.
        serving: `withdrawn` drains the engine and takes it out of service.
    """

    kind: typing.Literal["engine"] = "engine"
    name: Name
    failure_domain: Name
    address: settings.Address
    checks_fencing: bool
    reads_time_out_s: float = pydantic.Field(default=5.0, gt=0, le=60)
    models: tuple[Name, ...] = pydantic.Field(min_length=1)
    role: Role = "mixed"
    pinned: bool = False
    streams: int = pydantic.Field(default=32, ge=1)
    prefill_tokens_per_s: float = pydantic.Field(default=8000.0, gt=0)
    decode_tokens_per_s: float = pydantic.Field(default=1200.0, gt=0)
    serving: typing.Literal["active", "withdrawn"] = "active"


class PlainServer(validation.CheckedModel):
    """A backend server of plain services.

    Attributes:
        services: Services whose calls it serves.
        concurrent_calls: Largest number of concurrent calls.
        serving: `withdrawn` drains the server and takes it out of service.
    """

    kind: typing.Literal["plain"] = "plain"
    name: Name
    failure_domain: Name
    address: settings.Address
    services: tuple[Name, ...] = pydantic.Field(min_length=1)
    concurrent_calls: int = pydantic.Field(default=64, ge=1)
    serving: typing.Literal["active", "withdrawn"] = "active"


BackendServer = typing.Annotated[
    Engine | PlainServer, pydantic.Field(discriminator="kind")
]


class Operation(validation.CheckedModel):
    """An operation of a plain service.

    Attributes:
        repeatable: Whether a call may run more than once, and so be retried.
    """

    name: Name
    repeatable: bool


class Service(validation.CheckedModel):
    """A service that is not served by model engines."""

    name: Name
    operations: tuple[Operation, ...] = pydantic.Field(min_length=1)


class Caller(validation.CheckedModel):
    """A customer of the fleet.

    Attributes:
        key_sha256: SHA-256 of the caller's bearer key, in hexadecimal.
        weight: Relative share of the fleet under overload (weighted fair queueing).
        tokens_per_second: Refill rate of the caller's token bucket, in weighted tokens
            a second.
        burst_tokens: Capacity of the token bucket, in weighted tokens.
    """

    name: Name
    key_sha256: str = pydantic.Field(pattern=r"^[0-9a-f]{64}$")
    weight: float = pydantic.Field(default=1.0, gt=0, le=1000)
    tokens_per_second: float = pydantic.Field(default=50_000.0, gt=0)
    burst_tokens: float = pydantic.Field(default=500_000.0, gt=0)


class AdmissionPolicy(validation.CheckedModel):
    """Admission control.

    Attributes:
        default_deadline_s: Timeout of a request without one of its own.
        queue_wait_limit_s: Longest time in the queue before a request is refused.
    """

    default_deadline_s: float = pydantic.Field(default=30.0, gt=0, le=3600)
    queue_wait_limit_s: float = pydantic.Field(default=10.0, gt=0, le=600)


class RoutingPolicy(validation.CheckedModel):
    """Routing of requests.

    Attributes:
        engine_subset: Largest number of engines of a model, within the own failure
            domain, that one instance sends to. It is exceeded only where an engine
            would otherwise receive requests from fewer than two instances.
        retry_share: Retry budget, as a fraction of successful requests.
        kv_bytes_per_s: Throughput of a KV transfer between two engines, in bytes a
            second.
    """

    engine_subset: int = pydantic.Field(default=24, ge=1, le=256)
    retry_share: float = pydantic.Field(default=0.1, ge=0, le=1)
    kv_bytes_per_s: float = pydantic.Field(default=2.5e9, gt=0)


class RolePolicy(validation.CheckedModel):
    """Limits and costs of role changes.

    Attributes:
        change_cost_s: Time an engine is out of service for a role change.
        dwell_s: Shortest time between two role changes of an engine.
        concurrent_changes: Largest number of concurrent changes in a failure domain.
        change_weight: Penalty for a role change, in seconds of one engine's work, added
            to the cost of the change itself; a higher value means fewer changes.
        least_serving_share: Smallest fraction of a model's engines in a failure domain
            that stays in service, rounded down; of two or more, at least one stays.
    """

    change_cost_s: float = pydantic.Field(default=8.0, ge=0, le=600)
    dwell_s: float = pydantic.Field(default=60.0, ge=0, le=86_400)
    concurrent_changes: int = pydantic.Field(default=1, ge=0, le=64)
    change_weight: float = pydantic.Field(default=20.0, ge=0)
    least_serving_share: float = pydantic.Field(default=0.5, ge=0, le=1)


class FailureDomain(validation.CheckedModel):
    """A group of machines that can fail or be partitioned off together."""

    name: Name
    region: Name


class FleetDocument(validation.CheckedModel):
    """The complete intended configuration of a fleet."""

    fleet: Name
    failure_domains: tuple[FailureDomain, ...] = pydantic.Field(min_length=1)
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    backend_servers: tuple[BackendServer, ...] = ()
    callers: tuple[Caller, ...] = ()
    admission: AdmissionPolicy = AdmissionPolicy()
    routing: RoutingPolicy = RoutingPolicy()
    roles: RolePolicy = RolePolicy()

    @pydantic.model_validator(mode="after")
    def _names_are_unique(self) -> typing.Self:
        _check_unique("failure_domains", (item.name for item in self.failure_domains))
        _check_unique("models", (item.name for item in self.models))
        _check_unique("services", (item.name for item in self.services))
        _check_unique("backend_servers", (item.name for item in self.backend_servers))
        _check_unique("callers", (item.name for item in self.callers))
        _check_unique("callers' key_sha256", (item.key_sha256 for item in self.callers))
        addresses = (item.address.url for item in self.backend_servers)
        _check_unique("backend_servers' addresses", addresses)
        return self

    @pydantic.model_validator(mode="after")
    def _references_exist(self) -> typing.Self:
        domains = {item.name for item in self.failure_domains}
        models = {item.name for item in self.models}
        services = {item.name for item in self.services}
        for server in self.backend_servers:
            _check_declared(
                server.name, "failure domain", (server.failure_domain,), domains
            )
            if isinstance(server, Engine):
                _check_declared(server.name, "model", server.models, models)
            else:
                _check_declared(server.name, "service", server.services, services)
        return self

    @property
    def engines(self) -> tuple[Engine, ...]:
        """The backend servers that run models."""
        return tuple(s for s in self.backend_servers if isinstance(s, Engine))

    @property
    def plain_servers(self) -> tuple[PlainServer, ...]:
        """The backend servers of plain services."""
        return tuple(s for s in self.backend_servers if isinstance(s, PlainServer))

    def operation(self, service: str, operation: str) -> Operation | None:
        """Return an operation of a service, or None if there is none."""
        for candidate in self.services:
            if candidate.name != service:
                continue
            for known in candidate.operations:
                if known.name == operation:
                    return known
        return None


def _check_unique(what: str, names: abc.Iterable[str]) -> None:
    counts = collections.Counter(names)
    repeated = sorted(name for name, count in counts.items() if count > 1)
    if repeated:
        raise ValueError(
            f"{what} must be unique; {repeated[0]!r} is listed more than once"
        )


def _check_declared(
    server: str, what: str, used: abc.Iterable[str], known: set[str]
) -> None:
    for name in used:
        if name not in known:
            raise ValueError(
                f"{server} names the {what} {name!r}, which is not declared; "
                f"declare it or use one of {sorted(known)}"
            )
