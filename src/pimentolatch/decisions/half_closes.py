"""Decides how long a request goes on after its client closed its sending side.

HTTP allows a client to close its sending side behind its last request and to wait for
the response. On the wire that looks like a client that has left: the same FIN, and
nothing more until something is written. A client that left then answers with a reset,
a whole round trip later, or a proxy between hides it.

Load pattern: under overload thousands of clients give up after a wait. Requests that
went on for them would occupy the servers that others wait for. Without any patience, on
the other hand, no client that closes its sending side gets a response.

The two differ in when they close. One that sends no more closes right behind its
request; one that gives up has waited first. The time between the request and the FIN is
measured by the kernel, so a request that was read late, with the FIN of its client
behind it, is not taken for a fresh one.

Patience costs servers little: a request that may be repeated ends after a quarter of a
second, half of the time in which servers have to stop work for clients that left. One
that must not be repeated goes on at the server that has it, since its effect may have
happened and its outcome would be lost, but goes to no other server. A generation lasts
for seconds and is ended at once.
"""

import datetime
import enum

__all__ = ["Ending", "ending", "time_left"]

# A client that sends its request and closes does both within a few packets; people and
# time-outs take longer.
_RIGHT_BEHIND = datetime.timedelta(milliseconds=100)
_PATIENCE = datetime.timedelta(milliseconds=250)
_NO_TIME = datetime.timedelta()


class Ending(enum.Enum):
    """What becomes of a request once its time is over."""

    CANCEL = "cancel"
    FINISH = "finish"


def time_left(
    *,
    closed_after: datetime.timedelta,
    closed_for: datetime.timedelta,
    generation: bool,
) -> datetime.timedelta:
    """Return how much longer a request goes on as if its client had not closed.

    Args:
        closed_after: Time from the last byte of the client to its FIN.
        closed_for: Time since then.
        generation: Whether engines generate the response.
    """
    if generation or closed_after > _RIGHT_BEHIND:
        return _NO_TIME
    return max(_NO_TIME, _PATIENCE - closed_for)


def ending(
    *, closed_after: datetime.timedelta, dispatched: bool, repeatable: bool
) -> Ending:
    """Return what becomes of a request when that time is over.

    Args:
        closed_after: Time from the last byte of the client to its FIN.
        dispatched: Whether a server may have received the request.
        repeatable: Whether the request may run more than once.
    """
    if dispatched and not repeatable and closed_after <= _RIGHT_BEHIND:
        return Ending.FINISH
    return Ending.CANCEL
