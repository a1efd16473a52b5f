"""Cost of membership for an instance, by the size of its failure domain.

Uses real processes with real links on loopback, and the platform's stand-in. The
figures of a group are means over its instances.
"""

import dataclasses
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
import typing

from benchmarks import fits, peer_member, rows
from standins import deployments, processes

__all__ = ["Group", "GroupUsage", "MembershipSlopes", "measure"]

SIZES = (5, 20, 41)
# The first watch of a new instance lasts 20 s; the rate of calls is steady after it.
SETTLE_S = 24.0
MEASURED_S = 15.0
DOMAIN = "north"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupUsage:
    """Means over the instances of one group; rates are per second.

    Attributes:
        calls: Platform calls of one instance a second.
    """

    size: int
    links: float
    processor_share: float
    bytes_per_s: float
    resident_bytes: float
    calls: float


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSlopes:
    """Lines through the means of the groups, over the size of the group."""

    processor_share: fits.Fit
    bytes_per_s: fits.Fit
    resident_bytes: fits.Fit
    groups: tuple[GroupUsage, ...]


def _entry_settings(name: str, host: str, platform: str) -> dict[str, typing.Any]:
    return {
        "instance": name,
        "failure_domain": DOMAIN,
        "callers": {"host": host, "port": deployments.CALLERS_PORT},
        "operators": {"host": host, "port": deployments.OPERATORS_PORT},
        "peers": {"address": {"host": host, "port": deployments.PEERS_PORT}},
        "platform": {"address": {"host": platform, "port": deployments.PLATFORM_PORT}},
    }


def _list_row(name: str, host: str) -> dict[str, typing.Any]:
    return {
        "name": name,
        "kind": "entry",
        "failure_domain": DOMAIN,
        "host": host,
        "peer_port": deployments.PEERS_PORT,
        "state": "live",
        "ended": [],
    }


def _calls(platform_url: str) -> int:
    _, counted = processes.call("GET", platform_url + "/calls")
    return int(counted.get("arrived", 0))


class Group:
    """Instances of one failure domain with the platform's stand-in."""

    def __init__(self, size: int, settle_s: float, measured_s: float) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._started = processes.Processes()
        self._members: list[subprocess.Popen[bytes]] = []
        network = processes.Network()
        platform = network.address()
        port = deployments.PLATFORM_PORT
        self.url = f"http://{platform}:{port}"
        platform_settings = {"host": platform, "port": port, "list_lag_s": 0.1}
        try:
            self._started.start(
                "platform",
                ("standins.platform",),
                platform_settings,
                self.url + "/calls",
            )
            self._started.wait_healthy()
            hosts = {f"entry-{n:02}": network.address() for n in range(size)}
            instances = [_list_row(*item) for item in hosts.items()]
            processes.call("POST", self.url + "/instances", instances)
            for name, host in hosts.items():
                path = pathlib.Path(self._folder.name) / f"{name}.json"
                path.write_text(json.dumps(_entry_settings(name, host, platform)))
                command = [sys.executable, "-m", "benchmarks.peer_member", str(path)]
                command += [str(settle_s), str(measured_s)]
                pipe = subprocess.PIPE
                self._members.append(subprocess.Popen(command, stdin=pipe, stdout=pipe))
        except BaseException:
            self.stop()
            raise

    @property
    def calls(self) -> int:
        """Number of calls received by the platform's stand-in."""
        _, counted = processes.call("GET", self.url + "/calls")
        return int(counted.get("arrived", 0))

    def usage(self) -> list[peer_member.Usage]:
        """Wait for the measurements of all instances."""
        lines = [m.stdout.readline() for m in self._members if m.stdout is not None]
        return [peer_member.Usage(**json.loads(line)) for line in lines]

    def stop(self) -> None:
        """Stop all processes."""
        for member in self._members:
            member.kill()
            member.communicate()
        self._started.stop_all()
        self._folder.cleanup()


def measure_group(size: int) -> GroupUsage:
    """Measure one group and return its means."""
    group = Group(size, SETTLE_S, MEASURED_S)
    try:
        time.sleep(SETTLE_S)
        before = group.calls
        time.sleep(MEASURED_S)
        calls = (group.calls - before) / MEASURED_S / size
        used = group.usage()
    finally:
        group.stop()
    return GroupUsage(
        size,
        statistics.fmean(one.links for one in used),
        statistics.fmean(one.processor_share for one in used),
        statistics.fmean(one.bytes_per_s for one in used),
        statistics.fmean(one.resident_bytes for one in used),
        calls,
    )


def measure(sizes: tuple[int, ...] = SIZES) -> MembershipSlopes:
    """Measure groups of several sizes, one after another."""
    groups = tuple(measure_group(size) for size in sizes)
    return MembershipSlopes(
        fits.line([(group.size, group.processor_share) for group in groups]),
        fits.line([(group.size, group.bytes_per_s) for group in groups]),
        fits.line([(group.size, group.resident_bytes) for group in groups]),
        groups,
    )


def main() -> None:
    """Print the means of the groups with the limits for one instance."""
    for group in measure().groups:
        size = group.size
        rows.print_table(
            (
                rows.Row(f"{size}: links", group.links, ""),
                rows.Row(f"{size}: processor", 100 * group.processor_share, "%", 2.5),
                rows.Row(f"{size}: bytes", group.bytes_per_s / 1000, "KB/s", 18.0),
                rows.Row(f"{size}: memory", group.resident_bytes / 1e6, "MB", 128.0),
                rows.Row(f"{size}: platform calls", group.calls, "/s"),
            )
        )


if __name__ == "__main__":
    main()
