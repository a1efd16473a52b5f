"""Runs a gateway with one safeguard switched off, which the soak test must detect.

`python -m tests.support.safeguard_removal NAME` disables the safeguard by a patch
and runs the daemon.
"""

import asyncio
import dataclasses
import datetime
import selectors
import sys

from pimentolatch import clock, event_loop
from pimentolatch.backend import channel
from pimentolatch.decisions import (
    departures,
    missing_servers,
    silent_servers,
    watch_schedule,
)
from pimentolatch.gateway import (
    daemon,
    dispatch,
    fleet_state,
    flow_control,
    liveness_check,
    pause_monitor,
    plain_forwarder,
    process,
    quarantine,
    refusals,
    settings,
    sse,
    store_watch,
    takeover,
)
from pimentolatch.platform import configuration, server_entries

__all__ = ["SAFEGUARDS", "main"]

SECOND = datetime.timedelta(seconds=1)


def _retry_unsafe_requests():
    """Retries an unsafe request at a second server after a lost response."""
    decode = configuration._route

    def retryable(fields):
        kind = "safe" if fields["kind"] == "unsafe" else fields["kind"]
        unchecked = {"kind": kind, "resumable": True, "max_attempts": 3}
        return decode({**fields, **unchecked})

    configuration._route = retryable


def _refuse_unknown_as_not_run():
    """Refuses a request as not run although its outcome is unknown."""
    refusals.outcome_unknown = lambda reason: refusals.no_server(reason)
    refusals.deadline_passed = refusals.not_run_in_time


def _accept_any_response():
    """Doesn't compare the request id of a response with that of the request."""
    parse = dispatch.http_headers.parse_response_headers

    def without_request_id(fields, status):
        head = parse(fields, status)
        object.__setattr__(head, "request_id", "")
        return head

    dispatch.http_headers.parse_response_headers = without_request_id


def _forward_duplicate_events():
    """Forwards events again that the client has already received."""
    split = sse.BlockSplitter.feed

    def feed(self, data):
        return [dataclasses.replace(b, number=None) for b in split(self, data)]

    sse.BlockSplitter.feed = feed


def _forward_incomplete_events():
    """Forwards the incomplete event that a server crash leaves."""

    def feed(self, data):
        return [sse.Block(None, data, is_event=True)]

    sse.BlockSplitter.feed = feed


def _send_to_draining():
    """Keeps dispatching requests to a draining server."""
    decode = server_entries.decode

    def always_ready(name, spec):
        return decode(name, {**spec, "state": "ready"})

    server_entries.decode = always_ready


def _keep_first_configuration():
    """Applies the first configuration and ignores newer ones."""
    configure = fleet_state.FleetState.configure

    def first_only(self, decoded, spec):
        return self.version == 0 and configure(self, decoded, spec)

    fleet_state.FleetState.configure = first_only


def _stop_immediately():
    """Exits on SIGTERM without waiting for requests in flight."""

    async def stop(self):
        await self.abort()

    process.GatewayInstance.stop = stop


def _accept_without_proof():
    """Forwards a successful response that lacks the server's seal."""
    plain_forwarder._genuine = lambda whole: True


def _never_quarantine():
    """Never quarantines a request, even if it has crashed servers."""
    quarantine.Quarantine.verdict = lambda self, request: None


def _ignore_notices():
    """Sends to servers whatever they ask for in their answers."""
    flow_control.FlowControl.take = lambda self, server: True
    flow_control.FlowControl.withheld = lambda self, listed, **_: frozenset()
    flow_control.FlowControl.is_leaving = lambda self, server: False


def _wait_for_silent_watches():
    """Lets watches of the store wait as long as the platform accepts."""
    longest = watch_schedule.WatchLimits(
        watch_schedule.MAX_WAIT, SECOND, SECOND, SECOND, watch_schedule.MAX_WAIT
    )
    settings.watch_schedule.watch_limits = lambda in_force_within: longest


def _leave_silent_engines():
    """Gives a silent engine up although nobody can take its place."""

    async def reserve(self, takeover):
        return True

    takeover.TakeoverFinder.reserve = reserve


def _keep_missing_servers():
    """Keeps all servers that a listing lacks for two seconds from a late listing on."""
    watch_schedule._RETRY_SHARE = 1.0
    now = clock.SystemClock().monotonic
    missing_servers.may_have_expired = lambda gap: gap.list_age > 2 * SECOND
    missing_servers.grace_ends_at = lambda unanswered_since: now() + 2 * SECOND


def _wait_for_the_own_store():
    """Uses missing servers for as long as the own calls to the store fail."""
    known_missing = missing_servers.is_known_missing

    def is_known_missing(end, list_confirmed_at, *, followed):
        return followed and known_missing(end, list_confirmed_at, followed=True)

    missing_servers.is_known_missing = is_known_missing
    fleet_state.FleetState.follows_servers = lambda self, now: (
        not self.store_unreachable
    )


def _avoid_reported_servers_for_long():
    """Avoids servers that instances reported silent for ten times as long."""
    silent_servers._EXPIRY *= 10
    silent_servers._TRIER_SHARE = 0.0


def _believe_older_entries():
    """Takes each entry of a server as it is, and removals as if they were final."""
    judge = departures.Departures
    judge.judge = lambda self, entry, known: departures.Standing.CURRENT
    judge.missed_changes = lambda self, entries, known, known_revision: []
    judge.judge_new = lambda self, entries, known, is_first_list: {}


def _use_unconfirmed():
    """Uses servers that are listed again without asking them."""
    departures.Departures.withheld = lambda self, listed: frozenset()


def _serve_on_after_pauses():
    """Serves by what was known before a pause of the process."""

    async def no_wait(self):
        pass

    pause_monitor.PauseMonitor.wait_until_current = no_wait


def _never_read_when_overdue():
    """Leaves the store to the readers of the failure domain, however old the state."""
    store_watch.Watch.is_overdue = property(lambda self: False)


def _believe_readers():
    """Takes each peer that offers to read the store for a proof of the own state."""
    fleet_state.FleetState.has_servers = lambda self, revision: True


def _run_timers_before_input():
    """Runs timers as the standard event loop does, before late input is read."""
    event_loop.InputFirstEventLoop.call_at = asyncio.SelectorEventLoop.call_at
    event_loop._Selector.select = selectors.DefaultSelector.select


async def _keep_connection(self, server, link, target):
    return link


def _send_unasked():
    """Sends whole requests to servers that may stand still."""
    liveness_check.LivenessCheck.ask = _keep_connection


def _repeat_on_connections():
    """Sends a request again over a connection that has carried it."""
    channel.Channel.has_carried = lambda self, request_id: False


SAFEGUARDS = {
    "one run of what may not be repeated": _retry_unsafe_requests,
    "truth of not run": _refuse_unknown_as_not_run,
    "answers matched to requests": _accept_any_response,
    "no event twice": _forward_duplicate_events,
    "whole events only": _forward_incomplete_events,
    "nothing to leaving servers": _send_to_draining,
    "new configurations": _keep_first_configuration,
    "graceful stop": _stop_immediately,
    "quarantine of fatal requests": _never_quarantine,
    "proof of origin": _accept_without_proof,
    "notices of servers": _ignore_notices,
    "bound on silent watches": _wait_for_silent_watches,
    "stay at silent engines": _leave_silent_engines,
    "grace from the store's return": _keep_missing_servers,
    "end of grace by what peers read": _wait_for_the_own_store,
    "end of avoidance": _avoid_reported_servers_for_long,
    "judgement of entries": _believe_older_entries,
    "questions to returned servers": _use_unconfirmed,
    "catching up after pauses": _serve_on_after_pauses,
    "reading of an overdue store": _never_read_when_overdue,
    "confirmation by known changes": _believe_readers,
    "input before timers": _run_timers_before_input,
    "signs of reading": _send_unasked,
    "a request once a connection": _repeat_on_connections,
}


def main():
    """Disable the safeguard that the first argument names and run the daemon."""
    SAFEGUARDS[sys.argv[1]]()
    daemon.main()


if __name__ == "__main__":
    main()
