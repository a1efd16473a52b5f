"""Control plane of one instance without callers, to measure the cost of membership.

It reports changing work at many backend servers to its peers, and prints the resources
that it used in a period.
"""

import asyncio
import dataclasses
import json
import pathlib
import random
import sys
import time
import typing

import logbook
import psutil

from pimentolatch import clock, fleet, metrics, settings, validation
from pimentolatch.decisions import work_reports
from pimentolatch.entry import control_plane

__all__ = ["Usage", "main"]

SERVERS = 160
CALLERS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resources used by one instance; rates are per second.

    Attributes:
        processor_share: Share of a core.
        bytes_per_s: Bytes on the wire in both directions.
    """

    links: int
    processor_share: float
    bytes_per_s: float
    resident_bytes: int


# Bytes of the IP and TCP headers and the WebSocket header of a frame, and of the TCP
# acknowledgement.
_FRAME_OVERHEAD_BYTES = 52 + 6 + 52


class _Work:
    def __init__(self) -> None:
        self._rng = random.Random()

    def __call__(self) -> work_reports.WorkReport:
        rng = self._rng
        return work_reports.WorkReport(
            tuple(
                work_reports.ServerWork(
                    f"engine-{number:04}",
                    rng.randint(1, 32),
                    rng.randint(0, 90_000),
                    rng.randint(0, 30_000),
                )
                for number in range(SERVERS)
            ),
            tuple(
                work_reports.CallerWork(f"caller-{number:04}", rng.uniform(0, 5000))
                for number in range(CALLERS)
            ),
        )


def _wire_bytes(status: dict[str, typing.Any]) -> int:
    payload = status["peer_bytes_sent"] + status["peer_bytes_received"]
    return int(payload + status["peer_frames"] * _FRAME_OVERHEAD_BYTES)


async def _run(path: pathlib.Path, settle_s: float, measured_s: float) -> None:
    entry_settings = validation.read_file(settings.EntrySettings, path)
    if isinstance(entry_settings, validation.Problems):
        raise SystemExit(str(entry_settings))
    control = control_plane.ControlPlane(
        entry_settings,
        fleet.Fleet(),
        time=clock.SystemClock(),
        measured=metrics.Metrics(),
        report_source=_Work(),
    )
    await control.start()
    await asyncio.sleep(settle_s)
    before, used = control.status(), time.process_time()
    started = time.perf_counter()
    await asyncio.sleep(measured_s)
    elapsed = time.perf_counter() - started
    after, spent = control.status(), time.process_time() - used
    usage = Usage(
        len(after["peers"]),
        spent / elapsed,
        (_wire_bytes(after) - _wire_bytes(before)) / elapsed,
        psutil.Process().memory_info().rss,
    )
    print(json.dumps(dataclasses.asdict(usage)), flush=True)
    # Other instances may still be measuring: leave only when stdin is closed.
    await asyncio.to_thread(sys.stdin.read)
    await control.stop()


def main() -> None:
    """Run with the arguments SETTINGS_FILE SETTLE_S MEASURED_S."""
    path, settle_s, measured_s = sys.argv[1:]
    with logbook.NullHandler().applicationbound():
        asyncio.run(_run(pathlib.Path(path), float(settle_s), float(measured_s)))


if __name__ == "__main__":
    main()
