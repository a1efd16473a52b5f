"""Runs a gateway with one safeguard switched off, to see the soak notice it.

`python -m tests.support.safeguard_removal NAME` patches the safeguard away and
runs the daemon.
"""

import sys

from pimentolatch.gateway import (
    daemon,
    decode_client,
    dispatch,
    fleet_state,
    plain_forwarder,
    process,
    quarantine,
    refusals,
    sse,
)
from pimentolatch.platform import configuration, server_entries

__all__ = ["SAFEGUARDS", "main"]


def _retry_unsafe_requests():
    """An unsafe request goes to a second server after a lost answer."""
    decode = configuration._route

    def retryable(fields):
        kind = "safe" if fields["kind"] == "unsafe" else fields["kind"]
        unchecked = {"kind": kind, "resumable": True, "max_attempts": 3}
        return decode({**fields, **unchecked})

    configuration._route = retryable


def _refuse_unknown_as_not_run():
    """A request whose fate is not known is refused as not run."""
    refusals.outcome_unknown = lambda reason: refusals.no_server(reason)
    refusals.deadline_passed = refusals.not_run_in_time


def _accept_any_response():
    """The id in an answer is not compared with the request's."""
    parse = dispatch.http_headers.parse_response_headers

    def without_request_id(fields):
        head = parse(fields)
        object.__setattr__(head, "request_id", "")
        return head

    dispatch.http_headers.parse_response_headers = without_request_id


def _forward_duplicate_events():
    """Events that the client has already are passed on again."""
    split = sse.EventSplitter.feed

    def feed(self, data):
        return [sse.Event(None, event.data) for event in split(self, data)]

    decode_client.sse.EventSplitter.feed = feed


def _forward_incomplete_events():
    """The half of an event that a crash left is passed on."""

    def feed(self, data):
        return [sse.Event(None, data)]

    decode_client.sse.EventSplitter.feed = feed


def _send_to_draining():
    """A server that leaves goes on getting requests."""
    decode = server_entries.decode

    def always_ready(name, spec):
        return decode(name, {**spec, "state": "ready"})

    server_entries.decode = always_ready


def _keep_first_configuration():
    """A newer configuration is not put in force."""
    configure = fleet_state.FleetState.configure

    def first_only(self, decoded, spec):
        return self.version == 0 and configure(self, decoded, spec)

    fleet_state.FleetState.configure = first_only


def _stop_immediately():
    """SIGTERM ends the process without waiting for its requests."""

    async def stop(self):
        await self.abort()

    process.GatewayInstance.stop = stop


def _accept_without_proof():
    """A success without the server's proof is passed on."""
    plain_forwarder._genuine = lambda whole: True


def _never_quarantine():
    """A request that has ended servers is taken for a new one."""
    quarantine.Quarantine.verdict = lambda self, request: None


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
}


def main():
    """Switch a safeguard off and run the daemon."""
    SAFEGUARDS[sys.argv[1]]()
    daemon.main()


if __name__ == "__main__":
    main()
