"""Counters and histograms of one gateway instance.

They count the events of the request log, including lines that the log's budget drops.
No label takes values that clients or servers choose, which bounds the cardinality.
"""

import typing
from collections import abc

import prometheus_client
from prometheus_client import core, registry

from pimentolatch import clock, results
from pimentolatch.decisions import client_memory, connection_reuse, prompt_sizes
from pimentolatch.entry import graceful_shutdown
from pimentolatch.gateway import (
    client_request,
    extra_answers,
    fleet_state,
    flow_control,
    given_up_calls,
    quarantine,
    reachability_monitor,
    request_log,
)
from pimentolatch.gateway.leader import capacity_controller, leadership
from pimentolatch.gateway.peers import peer_table, silence_exchange

__all__ = ["MetricsEndpoint", "RouteMetrics", "StateCollector"]

_PREFIX = "pimentolatch_"
# Dense around the usual latency targets, 0.1 to 1.2 s, and up to the longest deadline.
_SECONDS = (0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0, 10.0)
# Pauses between events of a stream. The longest usual target is 0.25 s.
_PAUSES = (0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.5, 1.0, 2.5)
_MS_PER_S = 1000.0
_UNAVAILABLE = 503

_Fields = typing.Mapping[str, typing.Any]


class RouteMetrics:
    """Request metrics, in a separate registry so that tests can create several.

    Attributes:
        registry: The registry, which also holds metrics of the process.
    """

    def __init__(self) -> None:
        self.registry = registry.CollectorRegistry()
        prometheus_client.ProcessCollector(registry=self.registry)
        self._answers = self._counter(
            "answers", "Final answers, by class of status and who gave it.", "by"
        )
        self._answer_seconds = self._histogram(
            "answer_seconds", "Time from a request to the end of its answer.", _SECONDS
        )
        self._dispatches = self._counter(
            "sendings", "Requests sent to servers, by what was asked.", "what"
        )
        self._dispatches_to_kept = prometheus_client.Counter(
            _PREFIX + "sendings_to_kept_servers",
            "Requests sent to servers whose entries are missing.",
            registry=self.registry,
        )
        self._forwards = self._counter(
            "forwards", "Requests forwarded to peers, for want of a path to servers."
        )
        self._quarantined = prometheus_client.Counter(
            _PREFIX + "quarantined_answers",
            "Requests that were answered at once, since servers ended under them.",
            registry=self.registry,
        )
        self._late = prometheus_client.Counter(
            _PREFIX + "late_answers",
            "Answers that missed their route's target, by what took longest.",
            ["cause", "route"],
            registry=self.registry,
        )
        self._connections = prometheus_client.Counter(
            _PREFIX + "server_connections_opened",
            "Connections opened to servers, by why no kept one was used.",
            ["why"],
            registry=self.registry,
        )
        self._questions = prometheus_client.Counter(
            _PREFIX + "liveness_questions",
            "Questions whether a server reads, by whether it has answered.",
            ["outcome"],
            registry=self.registry,
        )
        self._given_up = prometheus_client.Counter(
            _PREFIX + "given_up_calls",
            "Calls of this instance's own that a server left unanswered, by what they"
            " were for and whether its machine had acknowledged them.",
            ["what", "acknowledged"],
            registry=self.registry,
        )
        self._extra_answers = prometheus_client.Counter(
            _PREFIX + "extra_answers",
            "Answers of servers that came where another one was due.",
            ["due"],
            registry=self.registry,
        )
        self._cut = prometheus_client.Counter(
            _PREFIX + "cut_answers",
            "Answers whose connection this instance closed before their end.",
            registry=self.registry,
        )
        self._abandoned = prometheus_client.Counter(
            _PREFIX + "abandoned_dispatches",
            "Requests given up after they were written to a server, by whether its"
            " machine had acknowledged them.",
            ["acknowledged"],
            registry=self.registry,
        )
        self._unanswered = prometheus_client.Counter(
            _PREFIX + "unanswered_requests",
            "Requests that ended with their connection, without an answer.",
            ["reason"],
            registry=self.registry,
        )
        self._prompts = self._counter("prompts", "Prompts, by where they are read.")
        self._prompts_ended = self._counter(
            "prompts_ended",
            "Prompts, by how they ended and by size among those of their route.",
            "size",
        )
        self._stall_checks = self._counter(
            "doubts", "Silent engines asked, by verdict."
        )
        self._resumptions = self._counter(
            "resumptions",
            "Streams resumed, by how their software version was found, or why not.",
            "reason",
        )
        self._expected = self._histogram(
            "expected_first_event_seconds",
            "Time to the first event that was expected.",
            _SECONDS,
        )
        self._first_event = self._histogram(
            "first_event_seconds", "Time from a prompt to its first event.", _SECONDS
        )
        self._pause = self._histogram(
            "event_pause_seconds", "Time between two events of a stream.", _PAUSES
        )

    def observe(self, event: str, fields: _Fields, *, wrong: bool) -> None:
        """Count an event of the request log.

        Args:
            event: Kind of the event.
            fields: Fields of its log line.
            wrong: Whether the event is an error.
        """
        if event == request_log.ANSWERED:
            by = (
                "server"
                if fields["outcome"] == client_request.PASSED_ON
                else "instance"
            )
            # A refusal that was written in vain is none that a client got.
            ended = fields["outcome"] == client_request.CLIENT_CLOSED
            status = 0 if ended else int(fields["status"])
            self._answers.labels(_status_class(status), by).inc()
            if fields["outcome"] == results.ResultCode.QUARANTINED.name.lower():
                self._quarantined.inc()
            if fields.get("cut"):
                self._cut.inc()
            if "ms" in fields:
                self._answer_seconds.observe(fields["ms"] / _MS_PER_S)
        elif event == request_log.SENT:
            outcome = "failed" if wrong else "answered"
            self._dispatches.labels(outcome, fields["what"]).inc()
            if fields.get("kept_ms") is not None:
                self._dispatches_to_kept.inc()
        elif event == request_log.ABANDONED:
            arrived = "yes" if fields["acknowledged"] else "no"
            self._abandoned.labels(arrived).inc()
        elif event == request_log.FORWARDED:
            self._forwards.labels("failed" if wrong else "answered").inc()
        elif event == request_log.DOUBTED:
            self._stall_checks.labels(fields["verdict"]).inc()
        elif event == request_log.RESUMED:
            self._resumptions.labels(fields["outcome"], fields["reason"] or "").inc()
        elif event == request_log.LATE:
            self._late.labels(fields["cause"], fields["route"]).inc()
        elif event == request_log.UNANSWERED:
            self._unanswered.labels(fields["reason"]).inc()
        elif event == request_log.PLACED:
            self._count_placement(fields)

    def prompt_ended(
        self, size: prompt_sizes.SizeClass, status: int, *, whole: bool
    ) -> None:
        """Count the end of a request with a prompt.

        Args:
            size: Size class of the prompt among those of its route.
            status: Status sent to the client; 0 if it disconnected before.
            whole: Whether a server's answer was forwarded completely.
        """
        if whole and 200 <= status < 300:
            outcome = "served"
        elif status == _UNAVAILABLE:
            outcome = "refused"
        else:
            outcome = "failed" if status else "client left"
        self._prompts_ended.labels(outcome, size.value).inc()

    def connection_opened(self, why: connection_reuse.Opening) -> None:
        """Count a connection that is opened to a server."""
        self._connections.labels(why.value).inc()

    def question_ended(self, *, answered: bool) -> None:
        """Count a question whether a server reads."""
        self._questions.labels("answered" if answered else "unanswered").inc()

    def call_given_up(self, call: given_up_calls.GivenUpCall) -> None:
        """Count a call of this instance's own that was given up."""
        acknowledged = "yes" if call.acknowledged else "no"
        self._given_up.labels(call.kind.value, acknowledged).inc()

    def extra_answer(self, due: extra_answers.Due) -> None:
        """Count an answer that came where another one was due."""
        self._extra_answers.labels(due.value).inc()

    def first_event(self, seconds: float) -> None:
        """Count the first event of a stream."""
        self._first_event.observe(seconds)

    def pause(self, seconds: float) -> None:
        """Count a pause between two events of a stream."""
        self._pause.observe(seconds)

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _count_placement(self, fields: _Fields) -> None:
        if "refused_for_ms" in fields:
            self._prompts.labels("refused").inc()
            return
        disaggregated = fields["reader"] != fields["writer"]
        self._prompts.labels("apart" if disaggregated else "in place").inc()
        self._expected.observe(fields["expected_ms"] / _MS_PER_S)

    def _counter(self, name: str, text: str, *labels: str) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            _PREFIX + name, text, ["outcome", *labels], registry=self.registry
        )

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...]
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            _PREFIX + name, text, buckets=buckets, registry=self.registry
        )


def _status_class(status: int) -> str:
    return f"{status // 100}xx" if status else "client left"


class StateCollector(registry.Collector):
    """Collects gauges of an instance's current state.

    Args:
        fleet: Configuration and servers.
        peers: The live peers.
        suspects: Requests in quarantine.
        own_leadership: Tells whether this instance is the leader.
        shutdown: Counts the requests in flight.
        flow: What servers have asked for.
        monitor: Knows what this instance has lost the path to.
        silence: Knows which servers instances of this domain found silent.
        needs: Returns what is known of the servers that scaled services need.
        memory: Counts what is held for clients.
        time: Clock of this instance.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        peers: peer_table.PeerTable,
        suspects: quarantine.Quarantine,
        own_leadership: leadership.Leadership,
        shutdown: graceful_shutdown.GracefulShutdown,
        flow: flow_control.FlowControl,
        monitor: reachability_monitor.ReachabilityMonitor,
        silence: silence_exchange.SilenceExchange,
        needs: abc.Callable[[], list[capacity_controller.ServiceNeed]],
        memory: client_memory.ClientMemory,
        time: clock.Clock,
    ) -> None:
        self._needs = needs
        self._memory = memory
        self._monitor = monitor
        self._silence = silence
        self._clock = time
        self._fleet = fleet
        self._peers = peers
        self._suspects = suspects
        self._leadership = own_leadership
        self._shutdown = shutdown
        self._flow = flow

    def collect(self) -> typing.Iterator[core.Metric]:
        """Yield the gauges."""
        fleet = self._fleet
        now = self._clock.monotonic()
        speeds = [loads.speeds for loads in fleet.loads_by_service().values()]
        for name, text, value in (
            (
                "requests_in_flight",
                "Requests now being served.",
                self._shutdown.in_flight,
            ),
            ("configuration_version", "Version in force.", fleet.version),
            ("servers", "Servers that are listed.", len(fleet.servers.all())),
            (
                "kept_servers",
                "Servers that are used though their entries are missing.",
                len(fleet.kept_until),
            ),
            ("servers_revision", "Revision of the servers.", fleet.servers_revision),
            (
                "servers_age_seconds",
                "Time since the servers were known to match the store.",
                (now - fleet.servers_confirmed_at).total_seconds(),
            ),
            (
                "configuration_age_seconds",
                "Time since the configuration was known to match the store.",
                (now - fleet.configuration_confirmed_at).total_seconds(),
            ),
            (
                "servers_behind_seconds",
                "Time since peers have announced newer servers.",
                fleet.servers_lag.duration(now).total_seconds(),
            ),
            (
                "configuration_behind_seconds",
                "Time since peers have announced a newer configuration.",
                fleet.configuration_lag.duration(now).total_seconds(),
            ),
            ("reads_store", "Whether it reads the store.", fleet.watches_store),
            (
                "store_lost",
                "Whether the store does not answer.",
                fleet.store_unreachable,
            ),
            (
                "peers_heard",
                "Peers that were heard lately.",
                len(self._peers.live()),
            ),
            ("fleet_instances", "Instances of the fleet.", self._peers.instances),
            ("quarantined", "Requests kept from servers.", self._suspects.size),
            (
                "quarantined_parts",
                "Parts of prompts that are kept from servers.",
                self._suspects.part_count,
            ),
            (
                "limited_servers",
                "Servers that named a limit.",
                len(self._flow.limited_servers),
            ),
            (
                "leaving_servers",
                "Servers that said they leave.",
                self._flow.leaving_count,
            ),
            (
                "unconfirmed_servers",
                "Servers listed again that have not said that they are ready.",
                len(self._fleet.unconfirmed_servers),
            ),
            (
                "resting_servers",
                "Servers that asked for a rest.",
                self._flow.resting_count,
            ),
            (
                "cut_off_services",
                "Services to which there is no path from here.",
                len(self._monitor.cut_off_services),
            ),
            (
                "avoided_servers",
                "Servers that instances of this failure domain found silent.",
                self._silence.avoided_count,
            ),
            (
                "engine_speed_spread",
                "Ratio between fast and slow engines, of the service with the highest.",
                max((found.spread for found in speeds), default=1.0),
            ),
            (
                "engines_of_known_speed",
                "Engines whose speed is known.",
                sum(found.known for found in speeds),
            ),
            (
                "services_of_uneven_engines",
                "Services whose engines' speeds count.",
                sum(found.uneven for found in speeds),
            ),
            ("holds_duties", "Whether it reports and orders.", self._leadership.active),
            (
                "machine_memory_bytes",
                "Memory of the machine, by the settings.",
                self._memory.machine_bytes,
            ),
        ):
            yield core.GaugeMetricFamily(_PREFIX + name, text, value=float(value))
        yield self._collect_memory()
        yield core.CounterMetricFamily(
            _PREFIX + "ended_for_memory",
            "Requests refused, and connections closed, for want of memory.",
            value=float(self._memory.ended),
        )
        yield from self._collect_needs()

    def _collect_memory(self) -> core.GaugeMetricFamily:
        """Return what is held for clients, by kind."""
        family = core.GaugeMetricFamily(
            _PREFIX + "client_bytes", "Bytes held for clients.", labels=["kind"]
        )
        for kind in client_memory.Kind:
            family.add_metric([kind.value], float(self._memory.held_bytes(kind)))
        return family

    def _collect_needs(self) -> typing.Iterator[core.GaugeMetricFamily]:
        """Yield what orders of servers rest on, by service."""
        needs = self._needs()
        for name, text, values in (
            (
                "servers_provided",
                "Servers that the operator provided.",
                [float(need.provided) for need in needs],
            ),
            (
                "servers_needed",
                "Servers that the load seen needs.",
                [float(need.seen_need or need.provided) for need in needs],
            ),
            (
                "load_peak_engines",
                "Highest load seen, in fully occupied engines.",
                [need.seen_peak for need in needs],
            ),
        ):
            family = core.GaugeMetricFamily(_PREFIX + name, text, labels=["service"])
            for need, value in zip(needs, values, strict=True):
                family.add_metric([need.service], value)
            yield family


class MetricsEndpoint:
    """ASGI application that answers every request with the metrics."""

    def __init__(self, metrics: RouteMetrics) -> None:
        self._metrics = metrics

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one request."""
        body = self._metrics.text()
        fields = [
            (b"content-type", prometheus_client.CONTENT_TYPE_LATEST.encode()),
            (b"content-length", b"%d" % len(body)),
        ]
        start = {"type": "http.response.start", "status": 200, "headers": fields}
        await send(start)
        await send({"type": "http.response.body", "body": body})
