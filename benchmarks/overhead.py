"""Overhead of one entry instance: requests to a stand-in, direct and through it.

Direct and forwarded requests alternate in one run, so that other load on the machine
affects both alike. The stand-in engine answers without delay; the remaining time is
that of the entry instance and of the client.
"""

import asyncio
import dataclasses
import json
import statistics
import time
import typing

import aiosonic
import aiosonic.connectors
import aiosonic.pools
import psutil

from benchmarks import rows
from standins import deployments

WARM_UP = 100
IDLE_REQUESTS = 600
LOADED_REQUESTS = 2000
IN_FLIGHT = 64
TOKENS = 4
ROUNDS = 3
LAYOUT = deployments.Layout("overhead", ("north",), 1, 1, 1)
FAST_ENGINE = {"token_s": 0.0, "prefill_tokens_per_s": 1e9, "streams": 1024}
HEADERS = {"content-type": "application/json"}


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """URL and body of a request."""

    url: str
    body: bytes


def _engine_target(deployment: deployments.Deployment) -> Target:
    body = {
        "dispatch": "benchmark",
        "model": deployments.MODEL,
        "prompt": "badge for a guest",
        "max_tokens": TOKENS,
    }
    url = deployment.server_url("engine-1", "/v1/generate")
    return Target(url, json.dumps(body).encode())


def _entry_target(deployment: deployments.Deployment) -> Target:
    body = {
        "model": deployments.MODEL,
        "prompt": "badge for a guest",
        "max_tokens": TOKENS,
        "stream": True,
    }
    url = deployment.callers_url("entry-1", "/v1/completions")
    return Target(url, json.dumps(body).encode())


def _plain_targets(deployment: deployments.Deployment) -> tuple[Target, Target]:
    path = "/v1/services/booking/find"
    body = json.dumps({"guest": "A. Sato"}).encode()
    return (
        Target(deployment.server_url("plain-1", path), body),
        Target(deployment.callers_url("entry-1", path), body),
    )


async def _first_byte(client: aiosonic.HTTPClient, target: Target) -> float:
    """Send one request, read its whole response, return the time to first byte."""
    start = time.perf_counter()
    response = await client.post(target.url, data=target.body, headers=HEADERS)
    if response.status_code != 200:
        raise RuntimeError(f"{target.url}: status {response.status_code}")
    if "content-length" in response.headers:
        await response.content()
        return time.perf_counter() - start
    first = None
    async for _ in response.read_chunks():
        first = first or time.perf_counter()
    return (first or time.perf_counter()) - start


async def _idle(
    client: aiosonic.HTTPClient, direct: Target, through: Target
) -> tuple[list[float], list[float]]:
    for _ in range(WARM_UP):
        await _first_byte(client, direct)
        await _first_byte(client, through)
    direct_s: list[float] = []
    through_s: list[float] = []
    for _ in range(IDLE_REQUESTS):
        direct_s.append(await _first_byte(client, direct))
        through_s.append(await _first_byte(client, through))
    return direct_s, through_s


async def _throughput(client: aiosonic.HTTPClient, target: Target) -> float:
    """Return requests a second at a fixed concurrency."""
    remaining = iter(range(LOADED_REQUESTS))

    async def worker() -> None:
        for _ in remaining:
            await _first_byte(client, target)

    start = time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(IN_FLIGHT)))
    return LOADED_REQUESTS / (time.perf_counter() - start)


def _milliseconds(values: typing.Sequence[float], quantile: float) -> float:
    ordered = sorted(values)
    return 1000 * ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


async def _measure(deployment: deployments.Deployment) -> list[rows.Row]:
    pool = aiosonic.pools.PoolConfig(size=IN_FLIGHT)
    connector = aiosonic.connectors.TCPConnector(pool_configs={":default": pool})
    found: list[rows.Row] = []
    async with aiosonic.HTTPClient(connector) as client:
        pairs = {
            "completion": (_engine_target(deployment), _entry_target(deployment)),
            "plain call": _plain_targets(deployment),
        }
        for kind, (direct, through) in pairs.items():
            direct_s, through_s = await _idle(client, direct, through)
            found += _idle_rows(kind, direct_s, through_s)
            rates = [
                (await _throughput(client, direct), await _throughput(client, through))
                for _ in range(ROUNDS)
            ]
            direct_rate = statistics.median(rate for rate, _ in rates)
            rate = statistics.median(rate for _, rate in rates)
            found += [
                rows.Row(
                    f"{kind}: requests a second, {IN_FLIGHT} in flight",
                    rate,
                    "1/s",
                    500.0,
                    lower_is_better=False,
                ),
                rows.Row(f"{kind}: throughput, through/direct", rate / direct_rate, ""),
            ]
    return found


def _idle_rows(
    kind: str, direct_s: list[float], through_s: list[float]
) -> list[rows.Row]:
    direct, through = _milliseconds(direct_s, 0.5), _milliseconds(through_s, 0.5)
    tail = _milliseconds(through_s, 0.99)
    return [
        rows.Row(f"{kind}: first byte, median, direct", direct, "ms"),
        rows.Row(f"{kind}: first byte, median, through", through, "ms"),
        rows.Row(f"{kind}: added at the median, idle", through - direct, "ms", 2.0),
        rows.Row(f"{kind}: first byte, median, through/direct", through / direct, ""),
        rows.Row(f"{kind}: p99 through / median through", tail / through, "", 3.0),
    ]


def main() -> None:
    """Measure, print the table and write `build/overhead.json`."""
    deployment = deployments.Deployment(LAYOUT, engine_settings=FAST_ENGINE)
    try:
        deployment.submit("entry-1", deployment.document())
        found = asyncio.run(_measure(deployment))
        process = psutil.Process(deployment.processes["entry-1"].popen.pid)
        resident = process.memory_info().rss / 1e6
        found.append(rows.Row("memory of an entry process", resident, "MB", 100.0))
    finally:
        deployment.stop()
    rows.print_table(found)
    print(f"written to {rows.write_rows('overhead', found)}")


if __name__ == "__main__":
    main()
