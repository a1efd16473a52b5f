"""Checks of the promises, from what clients and servers of a soak run saw."""

import re

from tests.support import soak_clients, soak_faults

PROMISES = frozenset({408, 421, 429, 503})
WHOLE = [str(number) for number in range(1, 7)]
NOT_REPEATABLE = ("draft", "print")
# Bounds that the operator sets on the two sites, with room for a busy machine.
DRAIN_S = 2.0
CONFIGURED_S = 2.0
IN_TOUCH_S = 3.0
# A request that has ended so many servers may be sent so many times more.
MOST_ENDED = 3
MOST_RETRIES = 3
# Faults that keep a gateway from hearing of a change, and those that may cut an answer.
OUT_OF_TOUCH = frozenset(
    {
        "kill",
        "term",
        "pause",
        "store cut",
        "store cut one way",
        "store down",
        "store forgets",
    }
)
CUTTING = frozenset({*soak_faults.KINDS, soak_faults.SERVER_ENDS}) - {
    *soak_faults.PLANNED,
    "store forgets",
}
# Lines that tell of a fault of ours.
OWN_FAULTS = re.compile(r'"(request failed|task failed[^"]*)"|Traceback')


def violations(seen, servers, striker, logs, margin_s):
    """Yield one line for each promise that was broken."""
    runs = _runs(servers)
    for item in seen:
        yield from _ran_as_promised(item, runs.get(item.request_id, ()))
        yield from _own_answer(item)
    yield from _drained(seen, servers, striker, margin_s)
    yield from _configured(seen, striker, margin_s)
    yield from _planned_stops(seen, striker)
    for name, log in logs.items():
        for line in log.splitlines():
            if OWN_FAULTS.search(line):
                yield f"{name} logged a fault of its own: {line[:300]}"


def fatal_requests(seen, servers, striker, margin_s):
    """Return whether a request that ended three servers went on being sent."""
    ends = sorted(server.crashed_at for server in servers if server.crashed)
    if len(ends) < MOST_ENDED:
        return []
    known_at = ends[MOST_ENDED - 1] + IN_TOUCH_S + margin_s
    senders = {
        item.request_id: item
        for item in seen
        if item.body == soak_clients.FATAL_BODY and item.sent > known_at
    }
    sent_on = {
        item.fields.get("x-request-id", "")
        for server in servers
        for item in server.received
    }
    late = [
        item
        for request_id, item in senders.items()
        if request_id in sent_on
        and not _disturbed(
            striker.struck, item.sent, item.until, item.gateway, OUT_OF_TOUCH
        )
    ]
    if len(late) <= MOST_RETRIES:
        return []
    return [f"a request that ended {len(ends)} servers was sent {len(late)} times more"]


def _runs(servers):
    """Return which servers ran each request, once for each run."""
    runs = {}
    for server in servers:
        for item in server.received:
            if item.kind == "run":
                request_id = item.fields.get("x-request-id", "")
                runs.setdefault(request_id, []).append(server.server_id)
    return runs


def _ran_as_promised(item, ran):
    if item.place in NOT_REPEATABLE and len(ran) > 1:
        yield f"{item.request_id} ({item.place}) ran {len(ran)} times: {ran}"
    if item.status in PROMISES and item.whole and ran:
        yield f"{item.request_id} was told {item.status} and ran: {ran}"


def _own_answer(item):
    """Check that a success is the whole answer to this request, and only that."""
    if not 200 <= item.status < 300:
        return
    if "x-response-seal" not in item.fields:
        yield f"{item.request_id} got a success without a proof"
    if item.place in soak_clients.STREAMS:
        text = item.answer.decode(errors="replace")
        numbers = re.findall(r"^id: (\d+)$", text, re.MULTILINE)
        expected = WHOLE if item.whole else WHOLE[: len(numbers)]
        if numbers != expected:
            yield f"{item.request_id} got events {numbers}, whole: {item.whole}"
    elif item.whole and item.answer != b"answer of " + item.body:
        yield f"{item.request_id} got {item.answer[:60]!r}"


def _disturbed(struck, begin, end, gateway, kinds):
    """Tell whether a fault of some kinds touches a span, at one gateway or for all."""
    return any(
        fault.begin <= end
        and fault.end >= begin - IN_TOUCH_S
        and fault.kind in kinds
        and fault.gateway in ("", gateway)
        for fault in struck
    )


def _drained(seen, servers, striker, margin_s):
    senders = {item.request_id: item.gateway for item in seen}
    for server in servers:
        told = striker.drained.get(server.server_id)
        if told is None:
            continue
        for item, at in zip(server.received, server.arrival_times, strict=True):
            late = at - told - DRAIN_S - margin_s
            gateway = senders.get(item.fields.get("x-request-id", ""))
            if late <= 0 or gateway is None:
                continue
            if not _disturbed(striker.struck, told, at, gateway, OUT_OF_TOUCH):
                yield (
                    f"{server.server_id} got {item.kind} {late:.2f} s too late from "
                    f"{gateway} after it began to leave"
                )


def _configured(seen, striker, margin_s):
    """Check that a new route is served soon, and ever after by the same process."""
    served = {}
    for item in sorted(seen, key=lambda item: item.until):
        told = striker.added.get(item.place)
        if told is None:
            continue
        known = served.get((item.gateway, item.life, item.place))
        if item.status == 404:
            if known is not None and known < item.sent:
                yield f"{item.gateway} served {item.place} and then did not know it"
            late = item.sent - told - CONFIGURED_S - margin_s
            if late > 0 and not _disturbed(
                striker.struck, told, item.until, item.gateway, OUT_OF_TOUCH
            ):
                yield f"{item.gateway} did not know {item.place} {late:.2f} s too long"
        elif item.status == 200 and known is None:
            served[item.gateway, item.life, item.place] = item.until


def _planned_stops(seen, striker):
    """Check that a stop cuts no request that no unplanned fault touched."""
    for stop in striker.struck:
        if stop.kind != "term":
            continue
        for item in seen:
            if item.gateway != stop.gateway or item.whole:
                continue
            if not stop.begin - 1 <= item.sent <= stop.end or item.status == 0:
                # A request that crosses the close was not read.
                continue
            if not _disturbed(
                striker.struck, item.sent, item.until, stop.gateway, CUTTING
            ):
                yield f"{item.request_id} was cut while {stop.gateway} stopped"
