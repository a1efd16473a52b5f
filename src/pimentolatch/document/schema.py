"""The fleet document: one statement of everything the fleet should serve."""

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
    """A model that callers may name.

    Attributes:
        name: Name callers use.
        version: Version of the weights engines should hold.
        kv_bytes_per_token: Size of the KV cache of one token, in bytes.
        context_tokens: Longest prompt and answer together, in tokens.
    """

    name: Name
    version: str = "1"
    kv_bytes_per_token: int = pydantic.Field(default=160_000, gt=0)
    context_tokens: int = pydantic.Field(default=131_072, gt=0)


class Engine(validation.CheckedModel):
    """A backend server that runs a model.

    Attributes:
        checks_fencing: Whether the engine refuses an order with an old fencing number.
        reads_time_out_s: Longest time the engine waits for the rest of an order it
            has begun to receive; it bounds how long an order may stay on the way.
        role: Role at first; the role planner may change it unless `pinned`.
        streams: Streams the engine batches at once.
        prefill_tokens_per_s: Prompt tokens it reads a second when doing only that.
        decode_tokens_per_s: Tokens it writes a second, over all its streams.
        serving: `withdrawn` takes the engine out of service without a cut.
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
    """A backend server that answers the calls of a plain service."""

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
    """A call of a plain service; `repeatable` says whether it may run twice."""

    name: Name
    repeatable: bool


class Service(validation.CheckedModel):
    """A plain service beside the engines."""

    name: Name
    operations: tuple[Operation, ...] = pydantic.Field(min_length=1)


class Caller(validation.CheckedModel):
    """A customer of the fleet.

    Attributes:
        key_sha256: SHA-256 of the caller's bearer key, in hexadecimal.
        weight: Share of the fleet relative to other callers when it is full.
        tokens_per_second: Sustained limit on work, in weighted tokens a second.
        burst_tokens: Work the caller may bring at once above the sustained limit.
    """

    name: Name
    key_sha256: str = pydantic.Field(pattern=r"^[0-9a-f]{64}$")
    weight: float = pydantic.Field(default=1.0, gt=0, le=1000)
    tokens_per_second: float = pydantic.Field(default=50_000.0, gt=0)
    burst_tokens: float = pydantic.Field(default=500_000.0, gt=0)


class AdmissionPolicy(validation.CheckedModel):
    """Bounds on waiting.

    Attributes:
        default_deadline_s: Deadline of a request that states none.
        queue_wait_limit_s: Longest wait before a request is refused.
    """

    default_deadline_s: float = pydantic.Field(default=30.0, gt=0, le=3600)
    queue_wait_limit_s: float = pydantic.Field(default=10.0, gt=0, le=600)


class RoutingPolicy(validation.CheckedModel):
    """Where work is sent.

    Attributes:
        engine_subset: Engines of one model that one instance sends to in its failure
            domain, at most; more only where an engine would have fewer than two
            instances that send to it.
        retry_share: Retries allowed as a share of successful requests.
        kv_bytes_per_s: Speed at which one engine fetches a KV cache from another.
    """

    engine_subset: int = pydantic.Field(default=24, ge=1, le=256)
    retry_share: float = pydantic.Field(default=0.1, ge=0, le=1)
    kv_bytes_per_s: float = pydantic.Field(default=2.5e9, gt=0)


class RolePolicy(validation.CheckedModel):
    """How readily engines change role.

    Attributes:
        change_cost_s: Time an engine is away for a role change.
        dwell_s: Least time an engine keeps a role.
        concurrent_changes: Changes under way at once in a failure domain, at most.
        change_weight: Price of one role change, in seconds of one engine's work, on
            top of what the change itself costs; higher means fewer changes.
        least_serving_share: Share of a model's engines in a failure domain that stays
            in service at all times, rounded down; of two or more, one always stays.
    """

    change_cost_s: float = pydantic.Field(default=8.0, ge=0, le=600)
    dwell_s: float = pydantic.Field(default=60.0, ge=0, le=86_400)
    concurrent_changes: int = pydantic.Field(default=1, ge=0, le=64)
    change_weight: float = pydantic.Field(default=20.0, ge=0)
    least_serving_share: float = pydantic.Field(default=0.5, ge=0, le=1)


class FailureDomain(validation.CheckedModel):
    """A group of machines that can fail or be cut off together."""

    name: Name
    region: Name


class FleetDocument(validation.CheckedModel):
    """The whole intended configuration of a fleet."""

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
        _unique("failure_domains", (item.name for item in self.failure_domains))
        _unique("models", (item.name for item in self.models))
        _unique("services", (item.name for item in self.services))
        _unique("backend_servers", (item.name for item in self.backend_servers))
        _unique("callers", (item.name for item in self.callers))
        _unique("callers' key_sha256", (item.key_sha256 for item in self.callers))
        addresses = (item.address.url for item in self.backend_servers)
        _unique("backend_servers' addresses", addresses)
        return self

    @pydantic.model_validator(mode="after")
    def _references_exist(self) -> typing.Self:
        domains = {item.name for item in self.failure_domains}
        models = {item.name for item in self.models}
        services = {item.name for item in self.services}
        for server in self.backend_servers:
            _known(server.name, "failure domain", (server.failure_domain,), domains)
            if isinstance(server, Engine):
                _known(server.name, "model", server.models, models)
            else:
                _known(server.name, "service", server.services, services)
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


def _unique(what: str, names: abc.Iterable[str]) -> None:
    counts = collections.Counter(names)
    repeated = sorted(name for name, count in counts.items() if count > 1)
    if repeated:
        raise ValueError(f"{what} must differ; {repeated[0]!r} stands twice")


def _known(server: str, what: str, used: abc.Iterable[str], known: set[str]) -> None:
    for name in used:
        if name not in known:
            raise ValueError(
                f"{server} names the {what} {name!r}; declare it or use one of "
                f"{sorted(known)}"
            )
