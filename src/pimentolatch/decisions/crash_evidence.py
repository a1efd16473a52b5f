"""Weighs whether a request is the cause of the ends of the servers that ran it.

Load pattern: servers end under a dozen requests each, and all of these are sent again.
When half of a fleet is lost within a second, or two requests end servers at once, a
request can lose three servers in a row and have caused none of these ends. Judged by
their number alone, it is refused for as long as one that ends every server it reaches.

What tells the two apart, all of it known from the ends themselves:

- A request that ends its servers does so at about the same time after each sending.
  One that is struck by other causes had run for any time by then.
- A request that had run clearly longer than another one, on servers that ended under
  both, is the less likely cause. Ends that a likelier cause explains prove nothing.
- Ends of as many other servers around the same time have a cause of their own, and so
  do three ends that several requests share.

A doubt lets a request be sent once more, after which the evidence differs: an innocent
one runs to its end. Doubts are bounded, since each may cost a server.
"""

import dataclasses
import datetime
import typing
from collections import abc

from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["MAX_AMBIGUOUS_CRASHES", "CrashRecords", "SuspectedCrash", "is_likely_cause"]

# Ends this close together may have one cause.
_COMMON_CAUSE_WINDOW = datetime.timedelta(seconds=1)
# Sendings this close together may have been begun in either order.
_TIMING_TOLERANCE = datetime.timedelta(milliseconds=10)
# The longest time that a request took to end a server, as a multiple of the shortest.
# One server may be slower than another, or have more work ahead of the request.
_MAX_RUN_TIME_RATIO = 3.0
# Other requests with as many ends from which on none of them is taken for the cause.
_MIN_CORRELATED_REQUESTS = 2
# Servers that may end after the first doubt. The next end is taken for proof.
MAX_AMBIGUOUS_CRASHES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectedCrash:
    """A server's connection ended while it ran a request.

    Attributes:
        cleared: The server lives on, or the request has run to its end since.
        at: When it ended, as far as this instance knows.
        lasted: How long the server had had the request by then; zero if not known.
        server_lives: The server has answered since, so that it has not ended.
    """

    digest: digests.RequestDigest
    server: servers.Incarnation
    cleared: bool
    at: datetime.timedelta
    ran_for: datetime.timedelta = datetime.timedelta()
    server_alive: bool = False


class CrashRecords(typing.Protocol):
    """What an instance knows of servers' ends."""

    def crashes_of_request(self, digest: digests.RequestDigest) -> list[SuspectedCrash]:
        """Return the pairs of a request that are not cleared."""

    def crashes_of_server(self, server: servers.Incarnation) -> list[SuspectedCrash]:
        """Return the pairs of all requests that a server's end broke off."""

    def crashed_servers(self) -> abc.Iterable[servers.Incarnation]:
        """Return the servers under whose ends any request is or was suspected."""


_Crashes = abc.Sequence[SuspectedCrash]


def is_likely_cause(crashes: _Crashes, records: CrashRecords, threshold: int) -> bool:
    """Tell whether a request is the likely cause of the ends of its servers.

    Args:
        crashes: Its pairs that are not cleared, `enough` or more.
        records: All that is known of ends.
        threshold: Ends from which on a request may be the cause.
    """
    # Two that end servers together would explain each other's ends for ever.
    if len(crashes) >= threshold + MAX_AMBIGUOUS_CRASHES:
        return True
    others = _concurrent_requests(crashes, records)
    if len(_unexplained_servers(crashes, others)) < threshold:
        return False
    return not _is_ambiguous(crashes, others, records, threshold)


def _concurrent_requests(crashes: _Crashes, records: CrashRecords) -> list[_Crashes]:
    """Return the ends of the requests beside one that have as many."""
    digest = crashes[0].digest
    crashes_of_server = (
        crash for end in crashes for crash in records.crashes_of_server(end.server)
    )
    digests_alongside = {crash.digest for crash in crashes_of_server} - {digest}
    found = (
        records.crashes_of_request(digest_alongside)
        for digest_alongside in digests_alongside
    )
    return [other for other in found if len(other) >= len(crashes)]


def _unexplained_servers(
    crashes: _Crashes, others: abc.Iterable[_Crashes]
) -> frozenset[servers.Incarnation]:
    """Return the servers that have ended under a request and under no likelier cause.

    A request whose own ends are unlike each other is hardly a cause, so any request
    with more ends explains them better.
    """
    likelier = (
        other
        for other in others
        if _is_likelier(other, crashes)
        and (_are_similar(other) or not _are_similar(crashes))
    )
    explained = {crash.server for other in likelier for crash in other}
    return frozenset(crash.server for crash in crashes) - explained


def _is_ambiguous(
    crashes: _Crashes,
    others: abc.Sequence[_Crashes],
    records: CrashRecords,
    threshold: int,
) -> bool:
    if not _are_similar(crashes):
        return True
    if len(crashes) == threshold and len(others) >= _MIN_CORRELATED_REQUESTS:
        return True
    if any(
        _are_similar(other) and not _started_later(crashes, other) for other in others
    ):
        return True
    return _crashed_elsewhere(crashes, records, threshold) >= len(crashes)


def _crashed_elsewhere(crashes: _Crashes, records: CrashRecords, threshold: int) -> int:
    """Count the servers that ended around the same time and not under a request.

    Those under which another request is suspected of as many ends don't count: it is
    another cause of the same kind, and says nothing of this one.
    """
    own_servers = {crash.server for crash in crashes}
    count = 0
    for server in records.crashed_servers():
        crashes_of_server = records.crashes_of_server(server)
        if server in own_servers or not crashes_of_server:
            continue
        at = min(crash.at for crash in crashes_of_server)
        near = any(abs(at - crash.at) <= _COMMON_CAUSE_WINDOW for crash in crashes)
        count += near and not any(
            len(other) >= threshold and _are_similar(other)
            for other in (
                records.crashes_of_request(crash.digest) for crash in crashes_of_server
            )
        )
    return count


def _is_likelier(crashes: _Crashes, baseline: _Crashes) -> bool:
    """Tell whether a request is the likelier cause than another one."""
    if len(crashes) != len(baseline):
        return len(crashes) > len(baseline)
    return _longest_run(crashes) < _longest_run(baseline) - _TIMING_TOLERANCE


def _started_later(crashes: _Crashes, baseline: _Crashes) -> bool:
    """Tell whether each server that both lost had had a request clearly shorter."""
    ran_for = {crash.server: crash.ran_for for crash in baseline}
    return len(crashes) >= len(baseline) and all(
        crash.ran_for < ran_for[crash.server] - _TIMING_TOLERANCE
        for crash in crashes
        if crash.server in ran_for
    )


def _are_similar(crashes: _Crashes) -> bool:
    """Tell whether servers ended at about the same time after they had a request."""
    ran_for = [crash.ran_for for crash in crashes if crash.ran_for]
    if not ran_for:
        return True
    return max(ran_for) <= _MAX_RUN_TIME_RATIO * max(min(ran_for), _TIMING_TOLERANCE)


def _longest_run(crashes: _Crashes) -> datetime.timedelta:
    return max(crash.ran_for for crash in crashes)
