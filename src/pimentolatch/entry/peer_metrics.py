"""Gauges of the links to peers and of the configuration's dissemination."""

import typing

import prometheus_client

from pimentolatch import metrics

__all__ = ["register"]

_PREFIX = "pimentolatch_"


def register(
    measured: metrics.Metrics,
    gauges: dict[str, tuple[str, typing.Callable[[], float]]],
) -> None:
    """Register gauges that are read at each scrape.

    Args:
        measured: Holds the registry.
        gauges: Help text and reading function of each gauge, by its name.
    """
    for name, (text, read) in gauges.items():
        gauge = prometheus_client.Gauge(
            _PREFIX + name, text, registry=measured.registry
        )
        gauge.set_function(read)
