"""Decodes the operator's configuration, the platform's object `config/main`."""

import datetime
import typing
from collections import abc

from pimentolatch import bounded_json
from pimentolatch.routes import customers, route_table

__all__ = ["CONFIGURATION_KIND", "CONFIGURATION_NAME", "DECODE_ERRORS", "decode"]

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
# Peers reject the whole beacon for a larger number.
_MAX_VERSION = 2**53 - 1

# Exceptions that `decode` raises for an invalid spec.
DECODE_ERRORS = (AttributeError, LookupError, OverflowError, TypeError, ValueError)

_Fields = abc.Mapping[str, typing.Any]


def decode(spec: _Fields | bounded_json.Unreadable) -> route_table.Configuration:
    """Decode a spec into a configuration.

    Raises:
        One of `DECODE_ERRORS`: The spec is not a valid configuration.
    """
    if isinstance(spec, bounded_json.Unreadable):
        raise ValueError(spec.reason)
    services = (_service(fields) for fields in spec["services"])
    return route_table.Configuration(
        _version(spec["version"]),
        [_route(fields) for fields in spec["routes"]],
        {service.name: service for service in services},
        _limits(spec["limits"]),
        _customers(spec.get("tenants")),
    )


def _version(value: typing.Any) -> int:
    version = int(value)
    if not 0 <= version <= _MAX_VERSION:
        raise ValueError(f"the version {value!r:.60} is out of bounds")
    return version


def _route(fields: _Fields) -> route_table.Route:
    return route_table.Route(
        name=fields["name"],
        host=fields["host"].lower(),
        path_prefix=fields["path_prefix"],
        kind=route_table.Kind(fields["kind"]),
        shares=_shares(fields),
        timeout=_milliseconds(fields["timeout_ms"]),
        latency_target=_milliseconds(fields.get("latency_target_ms", 0)),
        event_gap_target=_milliseconds(fields.get("gap_target_ms", 0)),
        rank=_rank(fields),
        max_attempts=int(fields.get("max_attempts", 1)),
        # Despite the platform's name, this doesn't refer to sticky sessions: requests
        # of the route list the parts of their prompts.
        carries_prompt=bool(fields.get("sticky", False)),
        resumable=bool(fields.get("resumable", False)),
        public=bool(fields.get("public", False)),
    )


def _rank(fields: _Fields) -> int:
    # Engines know no level below 0: such requests would be rejected one by one.
    rank = int(fields.get("priority", 0))
    if rank < 0:
        raise ValueError(f"the priority of route {fields['name']!r} is below 0")
    return rank


def _shares(fields: _Fields) -> tuple[route_table.ServiceShare, ...]:
    split = fields.get("traffic_split")
    if not split:
        return (route_table.ServiceShare(fields["service"], 1.0),)
    return tuple(
        route_table.ServiceShare(part["service"], float(part["weight"]))
        for part in split
    )


def _service(fields: _Fields) -> route_table.Service:
    engine, scaling = fields.get("engine"), fields.get("scaling")
    return route_table.Service(
        name=fields["name"],
        engine=None if engine is None else _engine(engine),
        scaling=None if scaling is None else _scaling(scaling),
        health_target=fields.get("health_path", "/").encode("latin-1"),
    )


def _engine(fields: _Fields) -> route_table.EngineTraits:
    return route_table.EngineTraits(
        slots=int(fields["slots"]),
        kv_tokens=int(fields["kv_tokens"]),
        stage_change_time=datetime.timedelta(seconds=fields.get("switch_s", 0)),
    )


def _customers(
    listed: abc.Iterable[_Fields] | None,
) -> customers.Customers | None:
    # The platform calls customers tenants. Without the list no API keys are required;
    # with an empty list every request is rejected.
    if listed is None:
        return None
    return customers.Customers(_keyed_customer(fields) for fields in listed)


def _keyed_customer(fields: _Fields) -> customers.KeyedCustomer:
    name, keys, rank = fields["name"], fields["api_keys"], fields.get("priority")
    if not isinstance(name, str):
        raise ValueError("a customer's name is not a string")
    # Errors are logged, so they contain the customer's name but never a key.
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise ValueError(f"the keys of customer {name!r} are not a list of strings")
    if rank is not None and (not isinstance(rank, int) or rank < 0):
        raise ValueError(
            f"the priority of customer {name!r} is not a whole number >= 0"
        )
    encoded = tuple(key.encode() for key in keys)
    return customers.KeyedCustomer(customers.Customer(name, rank), encoded)


def _scaling(fields: _Fields) -> route_table.Scaling:
    return route_table.Scaling(
        min_servers=int(fields["min"]),
        max_servers=int(fields["max"]),
        boot_time=datetime.timedelta(seconds=fields["boot_s"]),
        spot_price=float(fields.get("spot_price", 1.0)),
        prices={zone: float(price) for zone, price in fields["zone_prices"].items()},
    )


def _limits(fields: _Fields) -> route_table.ClientLimits:
    return route_table.ClientLimits(
        head_bytes=int(fields["max_header_bytes"]),
        body_bytes=int(fields["max_body_bytes"]),
        head_timeout=_milliseconds(fields["header_timeout_ms"]),
        idle_timeout=_milliseconds(fields["idle_timeout_ms"]),
    )


def _milliseconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=value)
