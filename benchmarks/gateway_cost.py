"""Processor time of one instance that serves routes, by cause.

The instance runs in this process; engines, clients and peers run in a second one. Two
runs without a profiler give the processor time per request in milliseconds and the
share of a core that beacons take without requests. A third run with a profiler gives
the share of each cause, as parts of the processor time of that run.
"""

import argparse
import asyncio
import cProfile
import dataclasses
import json
import os
import pstats
import socket
import subprocess
import sys
import time
import typing

import logbook

from benchmarks import rows
from pimentolatch import clock
from pimentolatch.gateway import process, settings
from pimentolatch.platform import configuration, server_entries
from pimentolatch.protocol import beacon_codec, beacons
from pimentolatch.routes import servers
from standins import route_server

__all__ = ["main"]

HOST = "127.0.0.1"
# Engines that an instance of a fleet of 84 instances sends requests to.
PREFILL_ENGINES = 24
DECODE_ENGINES = 46
REQUESTS_PER_S = 12.0
BEACONS_PER_S = 40.0
LOADS_PER_BEACON = 40
PREFIXES_PER_BEACON = 24
PROMPT_TOKENS = 4000
BODY_BYTES = 4000
RUN_S = 12.0
IDLE_S = 6.0
START_S = 1.0

# Causes by the path of a function's file; the first match counts.
CAUSES = (
    ("choice of engines", ("decisions/", "gateway/prompt_placer", "requests/prompts")),
    (
        "beacons",
        (
            "protocol/beacons",
            "gateway/beacon_exchange",
            "gateway/load_exchange",
            "gateway/peer_table",
            "cbor2",
            "gateway/quarantine",
        ),
    ),
    ("connections to servers", ("h11/", "backend/", "gateway/dispatch.py")),
    ("requests and streams", ("gateway/", "platform/", "requests/", "routes/")),
    ("clients' connections", ("uvicorn/", "httptools", "entry/")),
    ("log and metrics", ("logbook", "prometheus", "logs.py", "json/")),
    ("event loop", ("asyncio/", "selectors", "select.", "socket", "contextlib")),
)
OTHER = "all else"


@dataclasses.dataclass(frozen=True, slots=True)
class RunCost:
    """Requests, processor time and wall time of one run."""

    requests: int
    processor_s: float
    wall_s: float


def _port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def _spec() -> dict[str, typing.Any]:
    engine = {
        "slots": 64,
        "kv_tokens": 500_000,
        "kv_bytes": 1000,
        "link_mbps": 1000.0,
        "stride": 1,
        "handle_ttl_s": 5.0,
        "switch_s": 1.0,
        "models": [{"name": "m"}],
    }
    service = {"name": "lm", "health_path": "/h", "max_conns": 800, "engine": engine}
    route = {
        "name": "draft",
        "host": "site.example",
        "path_prefix": "/draft/",
        "kind": "stream",
        "timeout_ms": 8000,
        "latency_target_ms": 600,
        "priority": 1,
        "service": "lm",
        "max_attempts": 2,
        "sticky": True,
        "resumable": True,
        "gap_target_ms": 250,
    }
    limits = {
        "max_header_bytes": 8192,
        "max_body_bytes": 100_000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    }
    return {"version": 1, "routes": [route], "services": [service], "limits": limits}


async def _start_engines() -> list[route_server.RouteServer]:
    stages = ["prefill"] * PREFILL_ENGINES + ["decode"] * DECODE_ENGINES
    found = [
        route_server.RouteServer(f"i-{number:010x}", "lm", "here", stage)
        for number, stage in enumerate(stages)
    ]
    for engine in found:
        await engine.start()
    return found


async def _send_request(port: int, number: int) -> bool:
    reader, writer = await asyncio.open_connection(HOST, port)
    session = f"{number % 40:08x}:3000,{number:08x}:{PROMPT_TOKENS - 3000}"
    head = (
        "POST /draft/x HTTP/1.1\r\nhost: site.example\r\n"
        f"x-request-id: {number:016x}\r\nx-deadline-ms: 6000\r\nx-model: m\r\n"
        f"x-token-counts: {PROMPT_TOKENS},20\r\nx-prompt-prefix: {session}\r\n"
        f"content-length: {BODY_BYTES}\r\nconnection: close\r\n\r\n"
    )
    writer.write(head.encode() + number.to_bytes(8, "big") * (BODY_BYTES // 8))
    answer = await reader.read(-1)
    writer.close()
    return answer.startswith(b"HTTP/1.1 200")


def _beacon(number: int, engines: list[str]) -> bytes:
    names = [servers.Incarnation(name) for name in engines]
    loads = tuple(
        beacons.Load(engine, (number % 7, 400, 0, 900), 3, 9000 + number)
        for engine in names[:LOADS_PER_BEACON]
    )
    parts = tuple(
        beacons.CachedPrefix(names[n], (number * PREFIXES_PER_BEACON + n) % 2**32, 3000)
        for n in range(PREFIXES_PER_BEACON)
    )
    peer = f"peer-{number % 13}"
    beacon = beacons.Beacon(
        peer, "here", "life", 1, 1, False, (), (), loads=loads, cached=parts
    )
    return beacon_codec.encode(beacon)


async def _run_environment(port: int, peers_port: int) -> None:
    """Run the engines, clients and peers of an instance; controlled over stdin."""
    engines = await _start_engines()
    print(json.dumps({e.server_id: e.entry() for e in engines}), flush=True)
    loop = asyncio.get_running_loop()
    line = await loop.run_in_executor(None, sys.stdin.readline)
    rate, seconds = json.loads(line)
    names = [engine.server_id for engine in engines]
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    started = loop.time()
    requests: list[asyncio.Task[bool]] = []
    beacons_sent = 0
    while (elapsed := loop.time() - started) < seconds:
        while beacons_sent < elapsed * BEACONS_PER_S:
            sender.sendto(_beacon(beacons_sent, names), (HOST, peers_port))
            beacons_sent += 1
        while len(requests) < elapsed * rate:
            requests.append(asyncio.create_task(_send_request(port, len(requests))))
        await asyncio.sleep(0.005)
    print(sum(await asyncio.gather(*requests)), flush=True)
    for engine in engines:
        await engine.stop()


def _settings(port: int, peers_port: int) -> settings.GatewaySettings:
    return settings.GatewaySettings.model_validate(
        {
            "instance": "one",
            "failure_domain": "here",
            "clients": f"{HOST}:{port}",
            "readiness": f"{HOST}:{_port()}",
            "peers": {"host": HOST, "ports": [peers_port, peers_port + 1]},
            "store": {"address": f"{HOST}:{_port()}"},
            "bounds": {"repeat_slack": 100},
        }
    )


def _start_environment(port: int, peers_port: int) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "benchmarks.gateway_cost", "--surround"]
    return subprocess.Popen(
        [*command, str(port), str(peers_port)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        env=dict(os.environ),
    )


async def _run_instance(
    rate: float, seconds: float, profile: cProfile.Profile | None
) -> RunCost:
    port, peers_port = _port(), _port()
    environment = _start_environment(port, peers_port)
    assert environment.stdin is not None and environment.stdout is not None
    loop = asyncio.get_running_loop()
    entries_by_name = json.loads(
        await loop.run_in_executor(None, environment.stdout.readline)
    )
    instance = process.GatewayInstance(_settings(port, peers_port), clock.SystemClock())
    spec = _spec()
    instance.fleet.configure(configuration.decode(spec), spec)
    found = [
        server_entries.decode(name, entry) for name, entry in entries_by_name.items()
    ]
    instance.fleet.replace_servers(
        1, [s for s in found if isinstance(s, servers.Server)]
    )
    await instance.start()
    await asyncio.sleep(START_S)
    environment.stdin.write(json.dumps([rate, seconds]) + "\n")
    environment.stdin.flush()
    wall, used = time.monotonic(), time.process_time()
    if profile is not None:
        profile.enable()
    answered = int(await loop.run_in_executor(None, environment.stdout.readline))
    if profile is not None:
        profile.disable()
    cost = RunCost(answered, time.process_time() - used, time.monotonic() - wall)
    await instance.abort()
    environment.wait()
    return cost


def _cause(file: str, function: str) -> str:
    location = f"{file}:{function}".replace("\\", "/")
    for cause, patterns in CAUSES:
        if any(pattern in location for pattern in patterns):
            return cause
    return OTHER


def _shares(profile: cProfile.Profile) -> dict[str, float]:
    """Return the share of each cause in the profiled time, without time in poll."""
    spent: dict[str, float] = {}
    stats: typing.Any = pstats.Stats(profile)
    for (file, _, function), (_, _, own, _, _) in stats.stats.items():
        if "poll" in function and "select" in function:
            continue
        cause = _cause(file, function)
        spent[cause] = spent.get(cause, 0.0) + own
    total = sum(spent.values())
    return {cause: own / total for cause, own in spent.items()}


def main() -> None:
    """Measure, print the table and write `build/gateway-cost.json`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--surround", nargs=2, type=int)
    options = parser.parse_args()
    if options.surround is not None:
        asyncio.run(_run_environment(*options.surround))
        return
    with logbook.NullHandler().applicationbound():
        idle = asyncio.run(_run_instance(0.0, IDLE_S, None))
        busy = asyncio.run(_run_instance(REQUESTS_PER_S, RUN_S, None))
        profile = cProfile.Profile()
        asyncio.run(_run_instance(REQUESTS_PER_S, RUN_S, profile))
    share = idle.processor_s / idle.wall_s
    extra = busy.processor_s - share * busy.wall_s
    found = [
        rows.Row("requests answered", busy.requests, ""),
        rows.Row("processor time of a request", 1000 * extra / busy.requests, "ms"),
        rows.Row("40 beacons a second, nothing asked", 100 * share, "%"),
    ]
    shares = sorted(_shares(profile).items(), key=lambda item: item[1], reverse=True)
    found += [rows.Row(f"of it: {cause}", 100 * part, "%") for cause, part in shares]
    rows.print_table(found)
    rows.write_rows("gateway-cost", found)


if __name__ == "__main__":
    main()
