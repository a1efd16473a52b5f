"""Extrapolates measured costs to the full size of 370 instances: `make slopes`.

Prints the table that docs/CAPACITY.md quotes and writes build/slopes.json. Uses real
processes and small stand-ins, only on loopback and for a bounded time.
"""

import dataclasses
import typing

from benchmarks import (
    fits,
    fullsize,
    outage,
    rows,
    slopes_control,
    slopes_leader,
    slopes_membership,
    slopes_requests,
    slopes_state,
)

__all__ = ["SlopeRow", "main"]

_NEAR_LIMIT_RATIO = 0.5
_DAY_S = 86_400
_RESTARTS_PER_DAY = 320
_ENTRIES = fullsize.SERVERS + fullsize.CALLERS
_REQUESTS = fullsize.REQUESTS_PER_S / fullsize.INSTANCES
_TOKENS = fullsize.TOKENS_PER_S / fullsize.INSTANCES
_STREAMS = fullsize.STREAMS / fullsize.INSTANCES
# A claimed call reads and writes its page twice: to bind the key and to settle it.
_CLAIM_WRITES = 2
# Half of the store's writes are reserved for configuration, orders, leases and audit.
_CLAIMED_CALLS = fullsize.STORE_WRITES_PER_S / 2 / _CLAIM_WRITES
# Least time between two role changes: the drain of one answer and the change itself.
_CHANGE_S = 8.0
_RETAINED_CLAIMS = _CLAIMED_CALLS * _DAY_S
_CLAIM_PAGES = 16**5


@dataclasses.dataclass(frozen=True, slots=True)
class SlopeRow:
    """One quantity, extrapolated to the full size.

    Attributes:
        slope: Growth of the quantity per unit of size, in `unit`.
        at_full_size: Value at the full size.
        limit: Limit at the full size; None without a limit.
        ratio: `at_full_size / limit`; None without a limit.
        residual: Residual of the fit, as a share of the mean.
        reach: Full size divided by the largest measured size.
    """

    role: str
    quantity: str
    slope: float
    unit: str
    at_full_size: float
    limit: float | None
    ratio: float | None
    residual: float = 0.0
    reach: float = 1.0

    @property
    def mark(self) -> str:
        """OVER above the limit, <2x above half of it, else empty."""
        if self.ratio is None:
            return ""
        if self.ratio > 1:
            return "OVER"
        return "<2x" if self.ratio > _NEAR_LIMIT_RATIO else ""


def _row(
    role: str,
    quantity: str,
    unit: str,
    fit: fits.Fit,
    size: float,
    limit: float | None,
    scale: float = 1.0,
) -> SlopeRow:
    value = fit.value_at(size) * scale
    ratio = None if limit is None else value / limit
    return SlopeRow(
        role,
        quantity,
        fit.slope * scale,
        unit,
        value,
        limit,
        ratio,
        fit.residual,
        fit.extrapolation(size),
    )


def _derived(
    role: str, quantity: str, unit: str, value: float, limit: float | None
) -> SlopeRow:
    """Return a row computed from other quantities, without a slope of its own."""
    ratio = None if limit is None else value / limit
    return SlopeRow(role, quantity, 0.0, unit, value, limit, ratio)


def _request_rows() -> list[SlopeRow]:
    found = slopes_requests.measure()
    role = "entry request path"
    each = found.processor_s
    tokens = fullsize.TOKENS_PER_S / fullsize.REQUESTS_PER_S
    return [
        _row(
            role, "processor, tokens in batches", "core", each, tokens, 1.0, _REQUESTS
        ),
        _row(role, "processor, each token alone", "core", found.busy, _STREAMS, 1.0),
        _row(role, "memory", "MB", found.resident_bytes, _STREAMS, None, 1e-6),
        _row(role, "p95 gap of 71 ms engines", "ms", found.gap_p95_ms, _STREAMS, None),
    ]


def _control_rows(
    peers: slopes_membership.MembershipSlopes, idle: slopes_control.ControlSlopes
) -> list[SlopeRow]:
    size = fullsize.DOMAIN_INSTANCES
    domains = fullsize.DOMAINS
    share, memory = fullsize.CONTROL_CORE, fullsize.CONTROL_MEMORY_MB
    kilobytes = fullsize.CONTROL_BYTES_PER_S / 1000
    reads, writes = fullsize.STORE_READS_PER_S, fullsize.STORE_WRITES_PER_S
    return [
        _row("membership", "processor", "core", peers.processor_share, size, share),
        _row("membership", "bytes", "KB/s", peers.bytes_per_s, size, kilobytes, 1e-3),
        _row("membership", "memory", "MB", peers.resident_bytes, size, memory, 1e-6),
        _row("idle instance", "processor", "core", idle.processor, size, share),
        _row("idle instance", "memory", "MB", idle.resident_bytes, size, memory, 1e-6),
        _row("platform", "calls, all", "1/s", idle.calls_per_s, size, reads, domains),
        _row(
            "platform", "writes, all", "1/s", idle.writes_per_s, size, writes, domains
        ),
    ]


def _leader_rows() -> list[SlopeRow]:
    found = slopes_leader.measure()
    engines = fullsize.DOMAIN_SERVERS
    share = fullsize.CONTROL_CORE
    concurrent = fullsize.DOMAINS * found.change_writes / _CHANGE_S
    return [
        _row("duty holder", "processor", "core", found.processor, engines, share),
        _row(
            "duty holder",
            "calls, all domains",
            "1/s",
            found.calls_per_s,
            engines,
            fullsize.STORE_READS_PER_S,
            fullsize.DOMAINS,
        ),
        _derived(
            "orders and drain",
            "writes, one change at a time in each domain",
            "1/s",
            concurrent,
            fullsize.STORE_WRITES_PER_S,
        ),
    ]


def _state_rows() -> list[SlopeRow]:
    found = slopes_state.measure()
    changes = fullsize.CHANGES_PER_S
    share, memory = fullsize.CONTROL_CORE, fullsize.CONTROL_MEMORY_MB
    kilobytes = fullsize.CONTROL_BYTES_PER_S / 1000
    role = "configuration spread"
    per_page = _RETAINED_CLAIMS / _CLAIM_PAGES
    rate = _CLAIMED_CALLS / fullsize.INSTANCES
    return [
        _row(role, "processor", "core", found.adoption_s, _ENTRIES, share, changes),
        _row(role, "one adoption", "ms", found.adoption_s, _ENTRIES, 71.0, 1e3),
        _row(
            role,
            "bytes",
            "KB/s",
            found.change_bytes,
            _ENTRIES,
            kilobytes,
            changes / 1e3,
        ),
        _row(role, "memory", "MB", found.document_bytes, _ENTRIES, memory, 1e-6),
        _row(
            "limits",
            "memory, callers",
            "MB",
            found.caller_bytes,
            fullsize.CALLERS,
            memory,
            1e-6,
        ),
        _row(
            "claims",
            "bytes at the most claims",
            "KB/s",
            found.claim_bytes,
            per_page,
            kilobytes,
            rate / 1e3,
        ),
        _derived(
            "claims",
            "share of requests that may be claimed",
            "%",
            100 * _CLAIMED_CALLS / fullsize.REQUESTS_PER_S,
            None,
        ),
    ]


def _peak_rows(start_calls: float) -> list[SlopeRow]:
    """Return rows for load peaks: restarts, a domain start and an outage."""
    reads = fullsize.STORE_READS_PER_S
    restarts = _RESTARTS_PER_DAY / _DAY_S * start_calls
    domain = start_calls * fullsize.DOMAIN_INSTANCES
    counts = outage.measure()
    scale = fullsize.INSTANCES / outage.SIZE
    return [
        _derived("platform", "calls, 320 restarts a day", "1/s", restarts, reads),
        _derived(
            "platform", "calls, a domain starts in a second", "1/s", domain, reads
        ),
        _derived(
            "platform",
            "calls, most in a second of an outage",
            "1/s",
            max(counts["during"]) * scale,
            None,
        ),
        _derived(
            "platform",
            "calls, most in a second after an outage",
            "1/s",
            max(counts["after"]) * scale,
            reads,
        ),
    ]


def _print(found: typing.Iterable[SlopeRow]) -> None:
    print(
        f"{'role':22}{'quantity':45}{'slope':>12}{'at full size':>14} {'unit':6}"
        f"{'limit':>9}{'ratio':>8}{'residual':>10}{'reach':>7}"
    )
    for row in found:
        limit = "" if row.limit is None else f"{row.limit:g}"
        ratio = "" if row.ratio is None else f"{row.ratio:.3f}"
        print(
            f"{row.role:22}{row.quantity:45}{row.slope:12.3g}{row.at_full_size:14.4g}"
            f" {row.unit:6}{limit:>9}{ratio:>8}{row.residual:10.3f}{row.reach:7.1f}"
            f"  {row.mark}"
        )


def main() -> None:
    """Measure, print the table and write `build/slopes.json`."""
    idle = slopes_control.measure()
    found = _request_rows()
    found += _control_rows(slopes_membership.measure(), idle)
    found += _leader_rows()
    found += _state_rows()
    found += _peak_rows(idle.start_calls)
    _print(found)
    print(f"written to {rows.write_rows('slopes', found)}")


if __name__ == "__main__":
    main()
