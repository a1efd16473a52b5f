"""Weighs the evidence that a request caused the crashes of the servers that ran it.

Load pattern: servers with a dozen running requests each crash, and all these requests
are retried. When half of a fleet is lost within a second, or two requests crash servers
at once, an innocent request can lose three servers in a row. Judged by the number of
crashes alone, it would be quarantined like a request that crashes every server.

The records of the crashes themselves distinguish the two:

- A request that crashes its servers does so about equally long after each dispatch. A
  request hit by other causes had run for varying times.
- Of two requests on the same crashed servers, the one that had run clearly longer is
  the less likely cause. Crashes that a likelier cause explains are no evidence.
- Crashes of as many other servers around the same time have a cause of their own, and
  so do three crashes that several requests share.

While the evidence is ambiguous the request may be dispatched once more, which gives new
evidence: an innocent request completes. The number of such dispatches is bounded, since
each may cost a server.
"""

import dataclasses
import datetime
import typing
from collections import abc

from pimentolatch.requests import digests
from pimentolatch.routes import servers

__all__ = ["MAX_AMBIGUOUS_CRASHES", "CrashRecords", "SuspectedCrash", "is_likely_cause"]

# Crashes this close together may have one cause.
_COMMON_CAUSE_WINDOW = datetime.timedelta(seconds=1)
# Dispatches this close together may have started in either order.
_TIMING_TOLERANCE = datetime.timedelta(milliseconds=10)
# Ratio of the longest to the shortest time that a request takes to crash a server. One
# server may be slower than another, or have more work queued ahead of the request.
_MAX_RUN_TIME_RATIO = 3.0
# Number of other requests with as many crashes from which on none of them is taken for
# the cause.
_MIN_CORRELATED_REQUESTS = 2
# Crashes allowed beyond the threshold while the evidence is ambiguous. The next one is
# taken for proof.
MAX_AMBIGUOUS_CRASHES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectedCrash:
    """A server's connection was lost while the server ran a request.

    Attributes:
        cleared: The server is alive, or the request has completed since.
        at: When the connection was lost, as far as this instance knows.
        ran_for: Time from the dispatch to the crash; zero if not known.
        server_alive: The server has answered since, so it did not crash.
    """

    digest: digests.RequestDigest
    server: servers.Incarnation
    cleared: bool
    at: datetime.timedelta
    ran_for: datetime.timedelta = datetime.timedelta()
    server_alive: bool = False


class CrashRecords(typing.Protocol):
    """The suspected crashes that an instance knows of."""

    def crashes_of_request(self, digest: digests.RequestDigest) -> list[SuspectedCrash]:
        """Return the suspected crashes of a request that are not cleared."""

    def crashes_of_server(self, server: servers.Incarnation) -> list[SuspectedCrash]:
        """Return the suspected crashes of all requests that a server ran."""

    def crashed_servers(self) -> abc.Iterable[servers.Incarnation]:
        """Return the servers with a suspected crash, cleared or not."""


_Crashes = abc.Sequence[SuspectedCrash]


def is_likely_cause(crashes: _Crashes, records: CrashRecords, threshold: int) -> bool:
    """Tell whether a request is the likely cause of the crashes of its servers.

    Args:
        crashes: Its crashes that are not cleared, `threshold` or more.
        records: All suspected crashes that are known.
        threshold: Least number of crashes from which on a request can be the cause.
    """
    # Without this, two requests that crash servers together would always explain each
    # other.
    if len(crashes) >= threshold + MAX_AMBIGUOUS_CRASHES:
        return True
    others = _concurrent_requests(crashes, records)
    if len(_unexplained_servers(crashes, others)) < threshold:
        return False
    return not _is_ambiguous(crashes, others, records, threshold)


def _concurrent_requests(crashes: _Crashes, records: CrashRecords) -> list[_Crashes]:
    """Return the crashes of each request on the same servers with as many."""
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
    """Return the servers whose crash no likelier cause explains.

    A request whose run times before the crashes differ is hardly their cause, so any
    request with more crashes explains them better.
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
    """Count the other servers that crashed around the same time.

    Servers on which another request is suspected of as many crashes don't count: that
    is another cause of the same kind and is no evidence about this request.
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
    """Tell whether a request is a likelier cause than another one."""
    if len(crashes) != len(baseline):
        return len(crashes) > len(baseline)
    return _longest_run(crashes) < _longest_run(baseline) - _TIMING_TOLERANCE


def _started_later(crashes: _Crashes, baseline: _Crashes) -> bool:
    """Tell whether a request ran clearly shorter on each server that both lost."""
    ran_for = {crash.server: crash.ran_for for crash in baseline}
    return len(crashes) >= len(baseline) and all(
        crash.ran_for < ran_for[crash.server] - _TIMING_TOLERANCE
        for crash in crashes
        if crash.server in ran_for
    )


def _are_similar(crashes: _Crashes) -> bool:
    """Tell whether the run times before the crashes are about the same."""
    ran_for = [crash.ran_for for crash in crashes if crash.ran_for]
    if not ran_for:
        return True
    return max(ran_for) <= _MAX_RUN_TIME_RATIO * max(min(ran_for), _TIMING_TOLERANCE)


def _longest_run(crashes: _Crashes) -> datetime.timedelta:
    return max(crash.ran_for for crash in crashes)
