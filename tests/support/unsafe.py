"""Runs a gateway with one safeguard switched off, to see the soak notice it.

`python -m tests.support.unsafe NAME` patches the safeguard away and runs the daemon.
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


def _repeat_everything():
    """An unsafe request goes to a second server after a lost answer."""
    decode = configuration._route

    def repeatable(fields):
        kind = "safe" if fields["kind"] == "unsafe" else fields["kind"]
        loose = {"kind": kind, "resumable": True, "max_attempts": 3}
        return decode({**fields, **loose})

    configuration._route = repeatable


def _promise_not_run():
    """A request whose fate is not known is refused as not run."""
    refusals.outcome_unknown = lambda reason: refusals.no_server(reason)
    refusals.deadline_passed = refusals.not_run_in_time


def _take_any_answer():
    """The id in an answer is not compared with the request's."""
    read = dispatch.http_headers.parse_response_headers

    def nameless(fields):
        head = read(fields)
        object.__setattr__(head, "request_id", "")
        return head

    dispatch.http_headers.parse_response_headers = nameless


def _pass_every_event_on():
    """Events that the client has already are passed on again."""
    numbered = sse.EventSplitter.feed

    def feed(self, data):
        return [sse.Event(None, event.data) for event in numbered(self, data)]

    decode_client.sse.EventSplitter.feed = feed


def _pass_half_events_on():
    """The half of an event that a crash left is passed on."""

    def feed(self, data):
        return [sse.Event(None, data)]

    decode_client.sse.EventSplitter.feed = feed


def _send_to_leaving():
    """A server that leaves goes on getting requests."""
    decode = server_entries.decode

    def staying(name, spec):
        return decode(name, {**spec, "state": "ready"})

    server_entries.decode = staying


def _take_no_configuration():
    """A newer configuration is not put in force."""
    configure = fleet_state.FleetState.configure

    def first_only(self, decoded, spec):
        return self.version == 0 and configure(self, decoded, spec)

    fleet_state.FleetState.configure = first_only


def _stop_at_once():
    """SIGTERM ends the process without waiting for its requests."""

    async def stop(self):
        await self.abort()

    process.GatewayInstance.stop = stop


def _trust_without_proof():
    """A success without the server's proof is passed on."""
    plain_forwarder._genuine = lambda whole: True


def _forget_ended_servers():
    """A request that has ended servers is taken for a new one."""
    quarantine.Quarantine.verdict = lambda self, asked: None


SAFEGUARDS = {
    "one run of what may not be repeated": _repeat_everything,
    "truth of not run": _promise_not_run,
    "answers matched to requests": _take_any_answer,
    "no event twice": _pass_every_event_on,
    "whole events only": _pass_half_events_on,
    "nothing to leaving servers": _send_to_leaving,
    "new configurations": _take_no_configuration,
    "graceful stop": _stop_at_once,
    "quarantine of fatal requests": _forget_ended_servers,
    "proof of origin": _trust_without_proof,
}


def main():
    """Switch a safeguard off and run the daemon."""
    SAFEGUARDS[sys.argv[1]]()
    daemon.main()


if __name__ == "__main__":
    main()
