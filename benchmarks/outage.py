"""Rate of platform calls before, during and after an outage, as the platform counts."""

import time

from benchmarks import rows, slopes_membership
from standins import processes

__all__ = ["main", "measure"]

SIZE = 20
SETTLE_S = 30
BEFORE_S = 10
OUTAGE_S = 30
AFTER_S = 15


def _each_second(group: slopes_membership.Group, seconds: int) -> list[int]:
    counts = []
    last = group.calls
    for _ in range(seconds):
        time.sleep(1)
        now = group.calls
        counts.append(now - last)
        last = now
    return counts


def measure() -> dict[str, list[int]]:
    """Return the number of calls in each second before, during and after an outage."""
    group = slopes_membership.Group(SIZE, 10 * SETTLE_S, 1)
    try:
        time.sleep(SETTLE_S)
        counts = {"before": _each_second(group, BEFORE_S)}
        fault = {"kind": "refuse", "path": "/v1/"}
        processes.call("POST", group.url + "/faults", fault)
        counts["during"] = _each_second(group, OUTAGE_S)
        processes.call("POST", group.url + "/faults", {"kind": "clear"})
        counts["after"] = _each_second(group, AFTER_S)
        return counts
    finally:
        group.stop()


def main() -> None:
    """Print the mean and the peak of calls a second for each phase."""
    for name, counts in measure().items():
        mean, peak = sum(counts) / len(counts), max(counts)
        rows.print_table(
            (
                rows.Row(f"{SIZE} instances, {name} the outage: mean", mean, "/s"),
                rows.Row(f"{SIZE} instances, {name} the outage: most", peak, "/s"),
            )
        )


if __name__ == "__main__":
    main()
