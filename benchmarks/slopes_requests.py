"""Cost of the request path: processor time by tokens, memory by streams."""

import asyncio
import dataclasses
import json
import time
import typing

import aiosonic
import aiosonic.connectors
import aiosonic.pools
import psutil

from benchmarks import fits
from standins import deployments

__all__ = ["StreamSlopes", "measure"]

LAYOUT = deployments.Layout("slopes", ("north",), 1, 3, 1)
ANSWER_TOKENS = (16, 64, 256)
REQUESTS = 200
IN_FLIGHT = 32
STREAMS = (50, 150, 300, 450)
STREAM_TOKENS = 40
STREAM_TOKEN_S = 0.071
HEADERS = {"content-type": "application/json"}


@dataclasses.dataclass(frozen=True, slots=True)
class StreamSlopes:
    """Cost of the request path.

    Attributes:
        processor_s: Processor seconds of a request, over its output tokens.
        resident_bytes: Resident memory, over streams in flight.
        gap_p95_ms: 95th percentile of the time between tokens at a caller, over streams
            in flight, with engines that generate one token every 71 ms.
        busy: Processor use in cores, over streams in flight with one token every 71 ms.
    """

    processor_s: fits.Fit
    resident_bytes: fits.Fit
    gap_p95_ms: fits.Fit
    busy: fits.Fit


def _document(deployment: deployments.Deployment) -> dict[str, typing.Any]:
    """Return a document under which no request waits or is refused."""
    document = deployment.document()
    for server in document["backend_servers"]:
        if server["kind"] == "engine":
            server |= {"streams": 1024, "decode_tokens_per_s": 1e6}
            server["prefill_tokens_per_s"] = 1e9
    return document


def _client(size: int) -> aiosonic.HTTPClient:
    pool = aiosonic.pools.PoolConfig(size=size)
    return aiosonic.HTTPClient(
        aiosonic.connectors.TCPConnector(pool_configs={":default": pool})
    )


async def _complete(client: aiosonic.HTTPClient, url: str, tokens: int) -> list[float]:
    """Request one streamed answer; returns the arrival times of its chunks."""
    body = {"model": deployments.MODEL, "prompt": "p" * 64, "max_tokens": tokens}
    data = json.dumps(body | {"stream": True}).encode()
    response = await client.post(url, data=data, headers=HEADERS)
    if response.status_code != 200:
        raise RuntimeError(f"completion failed: status {response.status_code}")
    return [time.perf_counter() async for _ in response.read_chunks()]


async def _send_requests(url: str, tokens: int) -> None:
    async with _client(IN_FLIGHT) as client:
        remaining = iter(range(REQUESTS))

        async def worker() -> None:
            for _ in remaining:
                await _complete(client, url, tokens)

        await asyncio.gather(*(worker() for _ in range(IN_FLIGHT)))


async def _hold_streams(
    url: str, count: int, entry: psutil.Process
) -> tuple[int, float]:
    """Keep streams in flight; returns resident bytes and the p95 token gap in ms."""
    async with _client(count) as client:
        tasks = [
            asyncio.create_task(_complete(client, url, STREAM_TOKENS))
            for _ in range(count)
        ]
        await asyncio.sleep(STREAM_TOKENS * STREAM_TOKEN_S / 2)
        resident = entry.memory_info().rss
        arrivals = await asyncio.gather(*tasks)
    gaps = sorted(
        later - earlier
        for times in arrivals
        for earlier, later in zip(times, times[1:], strict=False)
    )
    return resident, 1000 * gaps[int(0.95 * len(gaps))]


def _processor_time_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _processor_fit() -> fits.Fit:
    fast = {"token_s": 0.0, "prefill_tokens_per_s": 1e9, "streams": 1024}
    deployment = deployments.Deployment(LAYOUT, engine_settings=fast)
    try:
        deployment.submit("entry-1", _document(deployment))
        url = deployment.callers_url("entry-1", "/v1/completions")
        entry = psutil.Process(deployment.processes["entry-1"].popen.pid)
        asyncio.run(_send_requests(url, ANSWER_TOKENS[0]))
        points = []
        for tokens in ANSWER_TOKENS:
            before = _processor_time_s(entry)
            asyncio.run(_send_requests(url, tokens))
            points.append((tokens, (_processor_time_s(entry) - before) / REQUESTS))
        return fits.line(points)
    finally:
        deployment.stop()


def measure() -> StreamSlopes:
    """Measure the request path of one entry process."""
    processor = _processor_fit()
    paced = {
        "token_s": STREAM_TOKEN_S,
        "prefill_tokens_per_s": 1e9,
        "streams": 1024,
    }
    deployment = deployments.Deployment(LAYOUT, engine_settings=paced)
    memory, gaps, busy = [], [], []
    try:
        deployment.submit("entry-1", _document(deployment))
        url = deployment.callers_url("entry-1", "/v1/completions")
        entry = psutil.Process(deployment.processes["entry-1"].popen.pid)
        for count in STREAMS:
            before, start = _processor_time_s(entry), time.perf_counter()
            resident, gap = asyncio.run(_hold_streams(url, count, entry))
            elapsed = time.perf_counter() - start
            memory.append((count, resident))
            gaps.append((count, gap))
            busy.append((count, (_processor_time_s(entry) - before) / elapsed))
    finally:
        deployment.stop()
    print(f"  processor: {processor}")
    print(f"  gaps: {gaps}")
    print(f"  busy: {busy}")
    return StreamSlopes(processor, fits.line(memory), fits.line(gaps), fits.line(busy))


if __name__ == "__main__":
    print(measure())
