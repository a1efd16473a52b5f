import behave

from tests.support import control_history, order_checkers

ALLOWED_S = 3.0


def taken(order, fence, *, at=1.0, target="decode", fenced=True):
    return control_history.OrderAccepted(at, "e", order, fence, "s", target, 0, fenced)


def pending(order, sequence, *, at=0.0):
    return control_history.SlotWritten(at, "e", "pending", order, sequence)


def done(order):
    return control_history.OrderCompleted(1.5, "e", order)


def began(at):
    return control_history.StreamStarted(at, "e", "r", "s")


HISTORIES = {
    "two orders under one number": [taken("a", 1), done("a"), taken("b", 1)],
    "one order id with two targets": [
        taken("a", 1),
        done("a"),
        taken("a", 1, target="prefill"),
    ],
    "an order taken during another": [taken("a", 1), taken("b", 2)],
    "a stream cut by an order": [control_history.StreamAborted(1.0, "e", "r", "order")],
    "an old number after a newer one": [
        pending("a", 1),
        pending("b", 2),
        taken("b", 2),
        done("b"),
        taken("a", 1),
    ],
    "an order superseded in the slot": [
        pending("a", 1),
        pending("b", 2),
        taken("a", 1, fenced=False),
    ],
    "an order that was never pending": [taken("a", 1)],
    "work long after the server was leaving": [
        control_history.LeavingShown(1.0, "e", "s"),
        began(4.1),
    ],
    "an order after a crash in a change": [
        taken("a", 1),
        control_history.EngineCrashed(1.2, "e"),
        taken("b", 2),
        done("b"),
    ],
    "a stream cut by a crash": [control_history.StreamAborted(1.0, "e", "r", "crash")],
    "a pending order taken before its successor": [
        pending("a", 1),
        pending("b", 2),
        taken("a", 1),
        done("a"),
        taken("b", 2),
    ],
    "work shortly after the server was leaving": [
        control_history.LeavingShown(1.0, "e", "s"),
        began(3.9),
    ],
}

CHECKERS = {
    1: order_checkers.conflicting_orders,
    2: order_checkers.aborted_requests,
    3: order_checkers.stale_orders,
    7: lambda events: order_checkers.late_work(events, ALLOWED_S),
}


@behave.when('checkers: the history "{name}" is checked for promise {promise:d}')
def check(context, name, promise):
    context.found = CHECKERS[promise](HISTORIES[name])


@behave.then("checkers: it is rejected")
def rejected(context):
    assert len(context.found) == 1, context.found


@behave.then("checkers: it is accepted")
def accepted(context):
    assert context.found == (), context.found


@behave.when("checkers: requests begin at 4, 5 and 9 s of 20 s")
def requests_begin(context):
    context.gap = order_checkers.longest_gap([began(4), began(5), began(9)], 20.0)


@behave.then("checkers: the longest time without service is {gap:d} s")
def longest_gap(context, gap):
    assert context.gap == gap, context.gap
