"""Checks the guarantees against what clients and servers of a soak run recorded."""

import re

from tests.support import soak_clients, soak_faults

# With these statuses a gateway states that the request was not executed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
NOT_REPEATABLE = ("draft", "print")
# Time bounds that the operator sets for both deployments, plus slack for a busy
# machine.
MAX_DRAIN_DELAY_S = 2.0
MAX_CONFIGURE_DELAY_S = 2.0
# A fault delays updates at a gateway for this long after it has ended.
CATCH_UP_S = 3.0
# A request that has crashed MAX_CRASHES servers may be dispatched at most
# MAX_LATE_DISPATCHES times more.
MAX_CRASHES = 3
MAX_LATE_DISPATCHES = 3
# A limit binds from so long after the first answer that names it, for the gateways that
# were told so long before; in a window a server tolerates so much above it.
LIMIT_NOTICE_S = 3.0
LIMIT_TOLD_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# Within a rest, but for what was under way, a server gets at most so many requests.
REST_UNDER_WAY_S = 0.5
MAX_IN_REST = 2
# Faults of a gateway, or of its way to a server, that excuse it from a limit or a rest.
EXCUSES_NOTICES = frozenset(
    {"kill", "term", "pause", "server cut", "server cut one way"}
)
# Faults during which a gateway may receive updates late.
DELAYS_UPDATES = frozenset(
    {
        "kill",
        "term",
        "pause",
        "store cut",
        "store cut one way",
        "store down",
        "store forgets",
        "store rejects",
        "store expires",
    }
)
# Those of them that affect the store itself: what it acknowledges then is not bound.
STORE_FAULTS = frozenset({"store down", "store forgets"})
# Faults that may abort a response.
ABORTS_RESPONSES = (
    frozenset({*soak_faults.KINDS, "answers cut", soak_faults.CRASHED_BY_REQUEST})
    - {*soak_faults.PLANNED, "store forgets"}
) | soak_faults.SILENCE_ABORTS
# Log lines that report an error of the gateway itself.
ERROR_LINES = re.compile(r'"(request failed|task failed[^"]*)"|Traceback')


def violations(attempts, servers, injector, logs, margin_s, unanswerable):
    """Yield one line for each violation of a guarantee.

    Args:
        attempts: What clients sent and received.
        servers: All servers of the run.
        injector: The faults that were injected.
        logs: Log of each gateway by its name.
        margin_s: Added to the time bounds.
        unanswerable: Returns whether an attempt was ended since its time was up or a
            server could not be reached.
    """
    runs = _Runs(attempts, servers)
    for attempt in attempts:
        yield from _run_violations(attempt, runs)
        yield from _response_violations(attempt, servers[0].event_count)
    yield from _drain_violations(attempts, servers, injector, margin_s)
    yield from _limit_violations(attempts, servers, injector, margin_s)
    yield from _leaving_violations(attempts, servers, injector, margin_s)
    yield from _rest_violations(attempts, servers, injector, margin_s)
    yield from _route_violations(attempts, injector, margin_s)
    yield from _stop_violations(attempts, injector, unanswerable)
    for name, log in logs.items():
        for line in log.splitlines():
            if ERROR_LINES.search(line):
                yield f"{name} logged an internal error: {line[:300]}"


def quarantine_violations(attempts, servers, injector, margin_s):
    """Return a violation if a request that crashed three servers was sent on."""
    crash_times = sorted(server.crashed_at for server in servers if server.crashed)
    if len(crash_times) < MAX_CRASHES:
        return []
    quarantined_at = crash_times[MAX_CRASHES - 1] + CATCH_UP_S + margin_s
    sent_after = {
        attempt.request_id: attempt
        for attempt in attempts
        if attempt.body == soak_clients.FATAL_BODY and attempt.sent_at > quarantined_at
    }
    dispatched_ids = {
        request.fields.get("x-request-id", "")
        for server in servers
        for request in server.received
    }
    late = [
        attempt
        for request_id, attempt in sent_after.items()
        if request_id in dispatched_ids
        and not affected(
            injector.injected,
            attempt.sent_at,
            attempt.ended_at,
            attempt.gateway,
            DELAYS_UPDATES,
        )
    ]
    if len(late) <= MAX_LATE_DISPATCHES:
        return []
    return [
        f"a request that crashed {len(crash_times)} servers "
        f"was dispatched {len(late)} times more"
    ]


class _Runs:
    """Which servers ran requests, one entry for each run.

    A client sends a refused request again under its id only once it has the refusal, so
    a run is that of the last attempt which was sent before it began.
    """

    def __init__(self, attempts, servers):
        sent = {}
        for attempt in sorted(attempts, key=lambda attempt: attempt.sent_at):
            sent.setdefault(attempt.request_id, []).append(attempt)
        self._by_request = {}
        self._by_attempt = {}
        for server in servers:
            arrived = zip(server.received, server.arrival_times, strict=True)
            for request, at in arrived:
                if request.kind != "run":
                    continue
                request_id = request.fields.get("x-request-id", "")
                self._by_request.setdefault(request_id, []).append(server.server_id)
                tries = sent.get(request_id, ())
                for attempt in [a for a in tries if a.sent_at <= at][-1:] or tries[:1]:
                    key = (request_id, attempt.sent_at)
                    self._by_attempt.setdefault(key, []).append(server.server_id)

    def of_request(self, request_id):
        """Return the runs of all requests with one id."""
        return self._by_request.get(request_id, ())

    def of_attempt(self, attempt):
        """Return the runs of one attempt."""
        return self._by_attempt.get((attempt.request_id, attempt.sent_at), ())


def _run_violations(attempt, runs):
    ran = runs.of_request(attempt.request_id)
    if attempt.route in NOT_REPEATABLE and len(ran) > 1:
        yield f"{attempt.request_id} ({attempt.route}) ran {len(ran)} times: {ran}"
    ran = runs.of_attempt(attempt)
    if attempt.status in NOT_RUN_STATUSES and attempt.complete and ran:
        yield (
            f"{attempt.request_id} ({attempt.route}) got status {attempt.status}, not "
            f"run, but ran on {ran}"
        )


def _response_violations(attempt, event_count):
    """Check that a successful response belongs to this request and is complete."""
    if not 200 <= attempt.status < 300:
        return
    if "x-response-seal" not in attempt.headers:
        yield f"{attempt.request_id} got a successful response without x-response-seal"
    if attempt.route in soak_clients.STREAMS:
        text = attempt.response_body.decode(errors="replace")
        event_ids = re.findall(r"^id: (\d+)$", text, re.MULTILINE)
        received = attempt.after + len(event_ids)
        due = event_count if attempt.complete else min(event_count, received)
        expected = [str(number) for number in range(attempt.after + 1, due + 1)]
        if event_ids != expected:
            yield (
                f"{attempt.request_id} got events {event_ids}, "
                f"complete: {attempt.complete}"
            )
    elif attempt.complete and attempt.response_body != b"answer of " + attempt.body:
        yield f"{attempt.request_id} got {attempt.response_body[:60]!r}"


def affected(injected, begin, end, gateway, kinds):
    """Return whether a fault of `kinds` at the gateway, or at all, overlaps a span."""
    return any(
        fault.begin <= end
        and fault.end >= begin - CATCH_UP_S
        and fault.kind in kinds
        and fault.gateway in ("", gateway)
        for fault in injected
    )


def _excused(injected, changed_at, at, gateway):
    """Return whether a gateway need not know a change at a moment.

    A fault that ended long enough before that moment excuses nothing, even if the
    change was made in it; nor does one that began after it.
    """
    return affected(injected, at, at, gateway, DELAYS_UPDATES) or affected(
        injected, changed_at, changed_at, "", STORE_FAULTS
    )


def _drain_violations(attempts, servers, injector, margin_s):
    senders = {attempt.request_id: attempt for attempt in attempts}
    for server in servers:
        started_at = injector.drains_started_at.get(server.server_id)
        if started_at is None:
            continue
        for attempt, at in _heads(server, senders):
            gateway = attempt.gateway
            late = at - started_at - MAX_DRAIN_DELAY_S - margin_s
            if (
                late > 0
                and not injector.was_on_its_way(server.server_id, attempt.sent_at, at)
                and not _excused(injector.injected, started_at, at, gateway)
            ):
                yield (
                    f"{server.server_id} got a request {late:.2f} s too late from "
                    f"{gateway} after its drain began"
                )


def _told_at(server, begin, senders):
    """Return when each gateway's incarnation was first told a notice, in a span."""
    told = {}
    for request_id, at in server.notified:
        sender = senders.get(request_id)
        if sender is not None and at >= begin:
            told.setdefault(sender, at)
    return told


def _heads(server, senders):
    """Yield sender and time of each request whose head a server read."""
    for request, at in server.heads:
        sender = senders.get(request.fields.get("x-request-id", ""))
        if request.kind in ("prefill", "run") and sender is not None:
            yield sender, at


def _arrivals(server, senders):
    """Yield sender and time of each request that a server got, declined ones too."""
    for request, at in zip(server.received, server.arrival_times, strict=True):
        sender = senders.get(request.fields.get("x-request-id", ""))
        if request.kind in ("prefill", "run") and sender is not None:
            yield sender, at
    for request_id, at in server.declined:
        if request_id in senders:
            yield senders[request_id], at


def _leaving_violations(attempts, servers, injector, margin_s):
    senders = {a.request_id: (a.gateway, a.incarnation) for a in attempts}
    for server in servers:
        begin = injector.leaves_said_at.get(server.server_id)
        if begin is None:
            continue
        told = _told_at(server, begin, senders)
        for sender, at in _heads(server, senders):
            late = at - told.get(sender, at) - MAX_DRAIN_DELAY_S - margin_s
            if late > 0 and not affected(
                injector.injected, told[sender], at, sender[0], {"pause"}
            ):
                yield (
                    f"{server.server_id} got a request {late:.2f} s too late from "
                    f"{sender[0]}, which it had told that it leaves"
                )


def _rest_violations(attempts, servers, injector, margin_s):
    senders = {a.request_id: (a.gateway, a.incarnation) for a in attempts}
    for server in servers:
        if server.server_id not in injector.rests:
            continue
        rest = float(injector.rests[server.server_id])
        arrivals = list(_arrivals(server, senders))
        for request_id, declined_at in server.declined:
            sender = senders.get(request_id)
            begin = declined_at + REST_UNDER_WAY_S + margin_s
            end = declined_at + rest
            count = sum(by == sender and begin < at < end for by, at in arrivals)
            if count > MAX_IN_REST and not affected(
                injector.injected, declined_at, end, sender[0], EXCUSES_NOTICES
            ):
                yield (
                    f"{server.server_id} got {count} requests from {sender[0]} within "
                    f"a rest of {rest} s"
                )


def _limit_violations(attempts, servers, injector, margin_s):
    senders = {a.request_id: (a.gateway, a.incarnation) for a in attempts}
    by_id = {server.server_id: server for server in servers}
    for limit in injector.limits:
        server = by_id[limit.server_id]
        told = _told_at(server, limit.begin, senders)
        if not told:
            continue
        binding_at = min(told.values()) + LIMIT_NOTICE_S + margin_s
        counted = []
        for sender, at in _arrivals(server, senders):
            if sender not in told:
                continue
            if not max(binding_at, told[sender] + LIMIT_TOLD_S + margin_s) <= at:
                continue
            if at <= limit.end and not affected(
                injector.injected, limit.begin, at, sender[0], EXCUSES_NOTICES
            ):
                counted.append(at)
        allowed = LIMIT_FACTOR * limit.rate * LIMIT_WINDOW_S + LIMIT_SLACK
        most = max(
            (sum(at <= t < at + LIMIT_WINDOW_S for t in counted) for at in counted),
            default=0,
        )
        if most > allowed:
            yield (
                f"{server.server_id} got {most} requests in {LIMIT_WINDOW_S} s at a "
                f"limit of {limit.rate} a second"
            )


def _route_violations(attempts, injector, margin_s):
    """Check that a new route is served in time and not lost again.

    A restarted gateway may lose it: the second check is for each incarnation.
    """
    served = {}
    for attempt in sorted(attempts, key=lambda attempt: attempt.ended_at):
        added_at = injector.routes_added_at.get(attempt.route)
        if added_at is None:
            continue
        first_served_at = served.get(
            (attempt.gateway, attempt.incarnation, attempt.route)
        )
        if attempt.status == 404:
            if attempt.ended_at >= injector.routes_dropped_at.get(
                attempt.route, float("inf")
            ):
                continue
            if first_served_at is not None and first_served_at < attempt.sent_at:
                yield (
                    f"{attempt.gateway} served {attempt.route} and then answered 404"
                )
            late = attempt.sent_at - added_at - MAX_CONFIGURE_DELAY_S - margin_s
            if late > 0 and not _excused(
                injector.injected, added_at, attempt.sent_at, attempt.gateway
            ):
                yield (
                    f"{attempt.gateway} answered 404 for {attempt.route} "
                    f"{late:.2f} s after the time allowed for an update"
                )
        elif attempt.status == 200 and first_served_at is None:
            served[attempt.gateway, attempt.incarnation, attempt.route] = (
                attempt.ended_at
            )


def _stop_violations(attempts, injector, unanswerable):
    """Check that a graceful stop aborts only requests hit by an unplanned fault."""
    for stop in injector.injected:
        if stop.kind != "term":
            continue
        for attempt in attempts:
            if attempt.gateway != stop.gateway or attempt.complete:
                continue
            if not stop.begin - 1 <= attempt.sent_at <= stop.end or attempt.status == 0:
                # A gateway does not read a request that crosses its close.
                continue
            if not unanswerable(attempt) and not affected(
                injector.injected,
                attempt.sent_at,
                attempt.ended_at,
                stop.gateway,
                ABORTS_RESPONSES,
            ):
                yield (
                    f"{attempt.request_id} was aborted while {stop.gateway} "
                    "stopped gracefully"
                )
