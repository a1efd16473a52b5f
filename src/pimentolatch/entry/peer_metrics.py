"""Metrics of the links to peers and of the configuration's spread."""

import typing

import prometheus_client

from pimentolatch import metrics

__all__ = ["register"]

_PREFIX = "pimentolatch_"


def register(
    measured: metrics.Metrics,
    gauges: dict[str, tuple[str, typing.Callable[[], float]]],
) -> None:
    """Add gauges that are read when they are asked for.

    Args:
        measured: Where to add them.
        gauges: By name, what a gauge shows and where it is read.
    """
    for name, (text, read) in gauges.items():
        gauge = prometheus_client.Gauge(
            _PREFIX + name, text, registry=measured.registry
        )
        gauge.set_function(read)
