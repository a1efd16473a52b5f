"""Counts the work this instance has outstanding at each backend server.

Load pattern: load reports come seconds late, while a burst of short prompts is over
within one. Without a count of its own, every instance sends the burst to the engine
that looked idle seconds ago. What was dispatched is known at once and needs no report.

Reports still reveal work that no instance counts any more, such as the streams of an
instance that was killed. `uncounted_streams` takes from a report only what exceeds the
count at the time of the report, and trusts it less as it ages: after ten seconds, the
longest lag that engines have shown, the report is ignored.
"""

import dataclasses
import datetime

from pimentolatch.decisions import request_work, work_reports

__all__ = ["Load", "OutstandingWork", "uncounted_streams"]

_NO_WORK = request_work.Work()
_REPORT_LIFETIME = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Work at one backend server, in streams and tokens."""

    streams: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0

    def plus(self, other: "Load") -> "Load":
        """Return the sum of two loads."""
        return Load(
            self.streams + other.streams,
            self.prompt_tokens + other.prompt_tokens,
            self.output_tokens + other.output_tokens,
        )


_NOTHING = Load()


class OutstandingWork:
    """Work dispatched and not yet done, by backend server."""

    def __init__(self) -> None:
        self._loads: dict[str, Load] = {}

    def begin(self, server: str, sent: request_work.Work = _NO_WORK) -> None:
        """Count a request as dispatched."""
        self._add(server, 1, sent.prompt_tokens, sent.output_tokens)

    def progress(self, server: str, done: request_work.Work) -> None:
        """Count some of a request's tokens as prefilled or decoded."""
        self._add(server, 0, -done.prompt_tokens, -done.output_tokens)

    def end(self, server: str, left: request_work.Work = _NO_WORK) -> None:
        """Count a request as ended; `left` is what was not yet counted as done."""
        self._add(server, -1, -left.prompt_tokens, -left.output_tokens)

    def load(self, server: str) -> Load:
        """Return the outstanding work at a server."""
        return self._loads.get(server, _NOTHING)

    def requests(self, server: str) -> int:
        """Return the number of outstanding requests at a server."""
        return self.load(server).streams

    def shares(self) -> tuple[work_reports.ServerWork, ...]:
        """Return the outstanding work as it is reported to peers."""
        return tuple(
            work_reports.ServerWork(
                server, load.streams, load.prompt_tokens, load.output_tokens
            )
            for server, load in sorted(self._loads.items())
        )

    def _add(self, server: str, streams: int, prompt: int, output: int) -> None:
        total = self.load(server).plus(Load(streams, prompt, output))
        if total.streams > 0:
            self._loads[server] = total
        else:
            self._loads.pop(server, None)


def uncounted_streams(counted: int, reported: int, age: datetime.timedelta) -> int:
    """Return the streams in a load report that no instance counts.

    Args:
        counted: Streams that all instances counted at the time of the report.
        reported: Streams in the report, running and queued.
        age: Age of the report.
    """
    trust = max(0.0, 1.0 - age / _REPORT_LIFETIME)
    return round(trust * max(0, reported - counted))
