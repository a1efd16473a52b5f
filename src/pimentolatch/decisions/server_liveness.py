"""Decides whether the answer of a server shows that it reads what it is sent now.

Load pattern: a server stands still for seconds while it is listed as ready, as its
process is suspended or its machine stalls. Its kernel goes on accepting connections and
bytes, and every instance goes on sending until its first request there takes too long.
When the server goes on it reads all of them, also those that were given up and answered
elsewhere: a reset does not recall what the kernel has acknowledged. By then the server
may have left, and a server may begin to work on the head of a request alone.

So a server is asked, for something that has no effect, before anything of a request is
written to it. The question is asked after the request has come, over the connection
that the request takes: a request that comes after its server has stopped is never
written, and none is written to a connection that has fallen silent alone. Data that
comes unasked shows neither, as it may have waited here or on the way.

Grounds: asking costs a round trip, a millisecond or two within a dispatch of tens of
them. What remains is a server that stops within that time. Each request asks for
itself: another one's answer counts only if it was asked for after this request had
come, and few are, since an instance sends to one server every half a second. It would
say nothing about the connection that the request takes.
"""

import datetime

__all__ = ["is_recent"]

# An instance that is slow, or stood still, handles an answer late. Its server may have
# stopped since.
_MAX_AGE = datetime.timedelta(milliseconds=50)


def is_recent(asked_at: datetime.timedelta, now: datetime.timedelta) -> bool:
    """Tell whether a server that has answered a question may be written to.

    Args:
        asked_at: When the question was asked; the answer was given later.
        now: The current time.
    """
    return now - asked_at <= _MAX_AGE
