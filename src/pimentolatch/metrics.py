"""Prometheus metrics of an entry instance."""

import functools

import prometheus_client

from pimentolatch.decisions import client_memory

__all__ = ["Metrics"]

# The buckets are dense around the latency targets: 1.9 s to the first token and 71 ms
# between tokens.
_FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 1.9, 2.5, 5.0, 10.0, 30.0)
_TOKEN_GAP_BUCKETS = (0.005, 0.01, 0.02, 0.035, 0.05, 0.071, 0.1, 0.2, 0.5, 1.0, 5.0)
_PREFIX = "pimentolatch_"


class Metrics:
    """Metrics in a registry of their own, so that a test can have several."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        prometheus_client.ProcessCollector(registry=self.registry)
        self.requests = prometheus_client.Counter(
            _PREFIX + "requests",
            "Requests that ended, by kind and result code.",
            ["kind", "result"],
            registry=self.registry,
        )
        self.in_flight = prometheus_client.Gauge(
            _PREFIX + "requests_in_flight",
            "Requests now being served.",
            registry=self.registry,
        )
        self.first_token = prometheus_client.Histogram(
            _PREFIX + "first_token_seconds",
            "Time from a request's arrival to its first token.",
            buckets=_FIRST_TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.token_gap = prometheus_client.Histogram(
            _PREFIX + "token_gap_seconds",
            "Time between two tokens of a stream.",
            buckets=_TOKEN_GAP_BUCKETS,
            registry=self.registry,
        )
        self.resumed = prometheus_client.Counter(
            _PREFIX + "streams_resumed",
            "Streams continued after an engine failed.",
            registry=self.registry,
        )
        self.configuration = prometheus_client.Gauge(
            _PREFIX + "configuration_number",
            "Number of the document in force.",
            registry=self.registry,
        )
        self.platform_calls = prometheus_client.Counter(
            _PREFIX + "platform_calls",
            "Calls of the platform, by call and outcome.",
            ["call", "outcome"],
            registry=self.registry,
        )

        self._client_bytes = prometheus_client.Gauge(
            _PREFIX + "client_bytes",
            "Bytes held for clients.",
            ["kind"],
            registry=self.registry,
        )

        self._ended_for_memory = prometheus_client.Gauge(
            _PREFIX + "ended_for_memory",
            "Requests refused, and connections closed, for want of memory.",
            registry=self.registry,
        )

    def observe_memory(self, memory: client_memory.ClientMemory) -> None:
        """Report what is held for clients."""
        for kind in client_memory.Kind:
            gauge = self._client_bytes.labels(kind.value)
            gauge.set_function(functools.partial(memory.held_bytes, kind))
        self._ended_for_memory.set_function(lambda: memory.ended)

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
