"""Decides when the last answer to a request is written, ahead of its deadline.

Load pattern: a server falls silent, and all requests that it has reach their deadlines
without its answer. A client counts its deadline from when it sent the request, and
leaves at that moment. The instance counts from when it read the head, which other
bodies on its link have held up, and the way back is held up in the same way. An answer
that is written at the deadline, or a few milliseconds before it, meets nobody: the
client does not learn that its request may have run, or that it has not.

So the answer is due earlier by a share of the client's deadline. Servers that answer
later than that have nearly always fallen silent, so little is lost, and the shortest
deadlines, whose requests are small and urgent, lose least. The route's own limit
usually ends well before the client leaves, and needs the shortest reserve only.
"""

import datetime

__all__ = ["SHORTEST_RESERVE", "reserve"]

# Time to write a response and to carry it over an idle link.
SHORTEST_RESERVE = datetime.timedelta(milliseconds=10)
# The largest prompts, of 72 kB, take 58 ms at 10 Mbit/s.
_LONGEST_RESERVE = datetime.timedelta(milliseconds=100)
_SHARE = 0.05


def reserve(client_deadline: datetime.timedelta) -> datetime.timedelta:
    """Return how long before a client's deadline its answer is due.

    Args:
        client_deadline: The deadline that the client has named, from the arrival of its
            request on.
    """
    return min(max(SHORTEST_RESERVE, _SHARE * client_deadline), _LONGEST_RESERVE)
