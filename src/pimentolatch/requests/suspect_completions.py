"""Remembers completions under which engines have ended, beyond one attempt."""

import datetime

from pimentolatch import clock
from pimentolatch.decisions import crash_evidence, crash_suspects
from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["SuspectCompletions"]

# Ends that are seen within this time are the end of one process: an engine takes longer
# to start again, and its callers notice at different moments.
_ONE_END = datetime.timedelta(seconds=1)


class SuspectCompletions:
    """What one instance knows of completions that end engines.

    Engines of the fleet document have no incarnations, so their ends are numbered.

    Args:
        time: Clock of this instance.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._suspects = crash_suspects.CrashSuspects(crash_suspects.Policy())
        self._clock = time
        self._ends: dict[str, tuple[int, datetime.timedelta]] = {}

    def verdict(self, digest: digests.RequestDigest) -> crash_suspects.Verdict | None:
        """Return whether a completion is kept from engines; None if it may run."""
        return self._suspects.verdict(digest, self._clock.monotonic())

    def engine_ended(
        self, digest: digests.RequestDigest, engine: str, begun: datetime.timedelta
    ) -> None:
        """Note that an engine's connection ended while it ran a completion.

        Args:
            digest: The completion.
            engine: The engine's name.
            begun: When the completion was sent there.
        """
        now = self._clock.monotonic()
        number, last = self._ends.get(engine, (0, now - 2 * _ONE_END))
        if now - last > _ONE_END:
            number += 1
        self._ends[engine] = number, now
        ended = servers.Incarnation(engine, number)
        pair = crash_evidence.Suspicion(digest, ended, False, now, now - begun)
        self._suspects.add(pair, now)

    def completed(self, digest: digests.RequestDigest) -> None:
        """Note that an engine has run a completion to its end."""
        self._suspects.completed(digest)
