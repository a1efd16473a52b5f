"""Counts the work this instance has sent to each backend server.

Load pattern: reports of load come seconds late, while a burst of short drafts is over
in one. Without a count of our own, every instance sends the burst to the engine that
looked idle seconds ago. What was sent is known at once and needs no report.

Reports still find what nobody counts any more, such as the streams of an instance that
was killed. `unseen_streams` takes from a report only what it shows above our own count
of the same moment, and trusts it less as it ages: after ten seconds, the longest lag
that engines have shown, it counts for nothing.
"""

import dataclasses
import datetime

from pimentolatch.decisions import work, work_reports

__all__ = ["Load", "Outstanding", "unseen_streams"]

_NO_WORK = work.Work()
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


class Outstanding:
    """Work sent and not yet done, by backend server."""

    def __init__(self) -> None:
        self._loads: dict[str, Load] = {}

    def begin(self, server: str, sent: work.Work = _NO_WORK) -> None:
        """Count a request as sent."""
        self._add(server, 1, sent.prompt_tokens, sent.output_tokens)

    def progress(self, server: str, done: work.Work) -> None:
        """Count a part of a request's tokens as read or written."""
        self._add(server, 0, -done.prompt_tokens, -done.output_tokens)

    def end(self, server: str, left: work.Work = _NO_WORK) -> None:
        """Count a request as ended; `left` is what was not yet counted as done."""
        self._add(server, -1, -left.prompt_tokens, -left.output_tokens)

    def load(self, server: str) -> Load:
        """Return the work now at a server."""
        return self._loads.get(server, _NOTHING)

    def requests(self, server: str) -> int:
        """Return the requests now at a server."""
        return self.load(server).streams

    def shares(self) -> tuple[work_reports.ServerWork, ...]:
        """Return what peers need to know."""
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


def unseen_streams(counted_then: int, reported: int, age: datetime.timedelta) -> int:
    """Return the streams that a report shows and that nobody counts.

    Args:
        counted_then: Streams that all instances counted when the report was made.
        reported: Streams in the report, running and waiting.
        age: Age of the report.
    """
    trust = max(0.0, 1.0 - age / _REPORT_LIFETIME)
    return round(trust * max(0, reported - counted_then))
