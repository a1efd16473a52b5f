"""Decides whose request it is, whether it may run and with which rank.

Load pattern: every request of a fleet with thousands of keys asks, also those that
somebody sends with guessed keys at a high rate. So the answer is one look-up, before
the body is read and before any queue, and a key that is not known costs no more than
one that is.

An instance that has lost the store may lack a key that was added since. What it knows
then is not proof that a key is wrong, and a client that hears so never comes back: it
is asked to come back instead.
"""

import dataclasses
import enum
from collections import abc

from pimentolatch.routes import customers, route_table

__all__ = ["Access", "Denial", "decide", "holds"]


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """A request may run.

    Attributes:
        customer: Whose it is; None for public routes and where nobody has a key.
        rank: How urgent it is, 0 first.
    """

    customer: customers.Customer | None
    rank: int


class Denial(enum.Enum):
    """Why a request may not run."""

    UNKNOWN_KEY = "unknown key"
    OUT_OF_DATE = "unknown key, while newer ones may exist"


def decide(
    configuration: route_table.Configuration,
    route: route_table.Route,
    keys: abc.Sequence[bytes],
    *,
    current: bool,
) -> Access | Denial:
    """Return whether a request may run.

    Args:
        configuration: The one in force.
        route: Route of the request.
        keys: What its header holds as keys; a request bears exactly one.
        current: Whether this instance would have heard of a newer configuration.
    """
    if route.public or configuration.customers is None:
        return Access(None, route.rank)
    customer = None
    if len(keys) == 1:
        customer = configuration.customers.find_by_key(keys[0])
        if customer is None and keys[0] and not current:
            return Denial.OUT_OF_DATE
    if customer is None:
        return Denial.UNKNOWN_KEY
    rank = route.rank if customer.rank is None else customer.rank
    return Access(customer, rank)


def holds(
    configuration: route_table.Configuration,
    keys: abc.Sequence[bytes],
    customer: customers.Customer | None,
) -> bool:
    """Tell whether a request that was let in may be sent to one more server.

    A key that was taken away meanwhile starts nothing new; what runs, runs on.

    Args:
        configuration: The one in force now.
        keys: Keys of the request.
        customer: Whose it was when it was let in.
    """
    if customer is None or configuration.customers is None:
        return True
    holder = configuration.customers.find_by_key(keys[0])
    return holder is not None and holder.name == customer.name
