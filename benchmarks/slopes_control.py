"""Control cost of an instance, by the number of instances in its failure domain."""

import dataclasses
import time

import psutil

from benchmarks import fits
from standins import deployments, processes

__all__ = ["ControlSlopes", "measure"]

INSTANCES = (2, 8, 16, 32)
SETTLE_S = 8.0
MEASURED_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSlopes:
    """Cost of membership, leader tasks and watches for an idle instance.

    Attributes:
        processor: Share of a core, mean over instances.
        resident_bytes: Resident memory, mean over instances.
        sent_bytes_per_s: Bytes sent to peers a second, mean over instances.
        calls_per_s: Platform calls of the whole failure domain a second.
        writes_per_s: Writes among these calls.
        start_calls: Additional platform calls for the start of one instance.
    """

    processor: fits.Fit
    resident_bytes: fits.Fit
    sent_bytes_per_s: fits.Fit
    calls_per_s: fits.Fit
    writes_per_s: fits.Fit
    start_calls: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Usage:
    processor_s: float
    resident: float
    sent: float
    calls: float
    writes: float
    start_calls: float = 0.0


def _read_usage(deployment: deployments.Deployment) -> _Usage:
    processor = resident = sent = 0.0
    for name in deployment.entries:
        process = psutil.Process(deployment.processes[name].popen.pid)
        times = process.cpu_times()
        processor += times.user + times.system
        resident += process.memory_info().rss
        url = deployment.operators_url(name, "/v1/status")
        sent += processes.call("GET", url)[1]["peer_bytes_sent"]
    _, calls = processes.call("GET", deployment.platform_url + "/calls")
    kinds = ("read", "write", "watch")
    return _Usage(
        processor,
        resident,
        sent,
        sum(calls.get(kind, 0) for kind in kinds),
        calls.get("write", 0),
    )


def _measure_group(instances: int) -> _Usage:
    layout = deployments.Layout("slopes", ("north",), instances, 1, 1)
    deployment = deployments.Deployment(layout)
    try:
        deployment.submit("entry-1", deployment.document())
        time.sleep(SETTLE_S)
        before, start = _read_usage(deployment), time.perf_counter()
        time.sleep(MEASURED_S)
        after, elapsed = _read_usage(deployment), time.perf_counter() - start
    finally:
        deployment.stop()
    steady = (after.calls - before.calls) / elapsed
    return _Usage(
        (after.processor_s - before.processor_s) / elapsed / instances,
        after.resident / instances,
        (after.sent - before.sent) / elapsed / instances,
        steady,
        (after.writes - before.writes) / elapsed,
        (before.calls - steady * SETTLE_S) / instances,
    )


def measure() -> ControlSlopes:
    """Measure failure domains of several sizes, one after the other."""
    found = [(count, _measure_group(count)) for count in INSTANCES]
    for count, usage in found:
        print(f"  {count} instances: {usage}")
    return ControlSlopes(
        fits.line([(count, usage.processor_s) for count, usage in found]),
        fits.line([(count, usage.resident) for count, usage in found]),
        fits.line([(count, usage.sent) for count, usage in found]),
        fits.line([(count, usage.calls) for count, usage in found]),
        fits.line([(count, usage.writes) for count, usage in found]),
        found[-1][1].start_calls,
    )


if __name__ == "__main__":
    print(measure())
