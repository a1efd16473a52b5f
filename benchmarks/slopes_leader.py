"""Cost of the leader of a failure domain, by the number of its engines."""

import dataclasses
import time

import psutil

from benchmarks import fits
from standins import deployments, processes

__all__ = ["LeaderSlopes", "measure"]

ENGINES = (10, 100, 420)
SETTLE_S = 6.0
MEASURED_S = 12.0
LAYOUT = deployments.Layout("duty", ("north",), 2, 1, 1)
ENGINE_PORT = 9150


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderSlopes:
    """Cost of the leader tasks for the instance that is the leader.

    Attributes:
        processor: Share of a core that the leader uses.
        calls_per_s: Platform calls of the whole failure domain a second.
        change_writes: Store writes for one role change.
    """

    processor: fits.Fit
    calls_per_s: fits.Fit
    change_writes: float


def _document(
    deployment: deployments.Deployment, host: str, engines: int
) -> dict[str, object]:
    """Return a document with many engines, all served by one stand-in process."""
    document = deployment.document()
    prefix = ".".join(host.split(".")[:2])
    document["backend_servers"] += [
        {
            "kind": "engine",
            "name": f"many-{n}",
            "failure_domain": "north",
            "address": {
                "host": f"{prefix}.{200 + n // 200}.{1 + n % 200}",
                "port": ENGINE_PORT,
            },
            "checks_fencing": True,
            "models": [deployments.MODEL],
        }
        for n in range(engines)
    ]
    return document


def _leader(deployment: deployments.Deployment) -> psutil.Process:
    for name in deployment.entries:
        url = deployment.operators_url(name, "/v1/status")
        if processes.call("GET", url)[1]["duty"]["held"]:
            return psutil.Process(deployment.processes[name].popen.pid)
    raise RuntimeError("no instance of the failure domain is its leader")


def _calls(deployment: deployments.Deployment, kinds: tuple[str, ...]) -> int:
    _, counted = processes.call("GET", deployment.platform_url + "/calls")
    return sum(counted.get(kind, 0) for kind in kinds)


def _measure(engines: int) -> tuple[float, float, float]:
    deployment = deployments.Deployment(LAYOUT)
    try:
        host = deployment.hosts["engine-1"]
        many = {"name": "many", "host": "0.0.0.0", "port": ENGINE_PORT}
        many |= {"models": [deployments.MODEL]}
        url = f"http://{host}:{ENGINE_PORT}/v1/state"
        deployment.processes.start("many", ("standins.engine",), many, url)
        deployment.processes.wait_healthy(["many"])
        document = _document(deployment, host, engines)
        deployment.submit("entry-1", document)
        time.sleep(SETTLE_S)
        leader = _leader(deployment)
        times, calls = (
            leader.cpu_times(),
            _calls(deployment, ("read", "write", "watch")),
        )
        start = time.perf_counter()
        time.sleep(MEASURED_S)
        later, elapsed = leader.cpu_times(), time.perf_counter() - start
        calls = _calls(deployment, ("read", "write", "watch")) - calls
        spent = later.user + later.system - times.user - times.system
        return spent / elapsed, calls / elapsed, _change_writes(deployment, document)
    finally:
        deployment.stop()


def _change_writes(
    deployment: deployments.Deployment, document: dict[str, object]
) -> float:
    """Return the writes of one role change, without those of an idle domain."""
    before, start = _calls(deployment, ("write",)), time.perf_counter()
    time.sleep(MEASURED_S / 2)
    rest = (_calls(deployment, ("write",)) - before) / (time.perf_counter() - start)
    servers = document["backend_servers"]
    assert isinstance(servers, list)
    servers[0]["role"] = "prefill"
    deployment.submit("entry-1", document)
    before, start = _calls(deployment, ("write",)), time.perf_counter()
    url = deployment.server_url("engine-1", "/v1/state")
    status = deployment.operators_url("entry-1", "/v1/status")
    processes.wait_for(
        lambda: (
            processes.call("GET", url)[1]["role"] == "prefill"
            and not processes.call("GET", status)[1]["withdrawn"]
        ),
        "the role change",
    )
    time.sleep(MEASURED_S / 4)
    elapsed = time.perf_counter() - start
    return _calls(deployment, ("write",)) - before - rest * elapsed


def measure() -> LeaderSlopes:
    """Measure failure domains of several sizes."""
    found = [(count, *_measure(count)) for count in ENGINES]
    print(f"  duty: {found}")
    return LeaderSlopes(
        fits.line([(row[0], row[1]) for row in found]),
        fits.line([(row[0], row[2]) for row in found]),
        found[0][3],
    )


if __name__ == "__main__":
    print(measure())
