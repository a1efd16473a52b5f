"""Decides which customer a request belongs to, whether it may run and with which rank.

Load pattern: every request of a fleet with thousands of API keys is checked, including
those with guessed keys that arrive at a high rate. So the check is one look-up,
before the body is read and before any queue, and an unknown key costs no more than a
known one.

An instance that neither reads the store nor hears a peer that does may lack a key that
was added since, so it can't prove that a key is wrong. A client that is told so never
retries; it is asked to retry instead.
"""

import dataclasses
import enum
from collections import abc

from pimentolatch.routes import customers, route_table

__all__ = ["Access", "Denial", "authorize", "still_authorized"]


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """A request may run.

    Attributes:
        customer: Its customer; None for public routes and where no keys are configured.
        rank: Priority, 0 first; the customer's, or the route's if it has none.
        route_rank: Priority of the route among requests of equal rank; None if `rank`
            is the route's.
    """

    customer: customers.Customer | None
    rank: int
    route_rank: int | None = None


class Denial(enum.Enum):
    """Why a request may not run."""

    UNKNOWN_KEY = "unknown key"
    OUT_OF_DATE = "unknown key, while newer ones may exist"


def authorize(
    configuration: route_table.Configuration,
    route: route_table.Route,
    keys: abc.Sequence[bytes],
    *,
    current: bool,
) -> Access | Denial:
    """Return whether a request may run.

    Args:
        configuration: The configuration in force.
        route: Route of the request.
        keys: API keys in its header; a valid request has exactly one.
        current: Whether this instance would have received a newer configuration.
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
    if customer.rank is None:
        return Access(customer, route.rank)
    return Access(customer, customer.rank, route.rank)


def still_authorized(
    configuration: route_table.Configuration,
    keys: abc.Sequence[bytes],
    customer: customers.Customer | None,
) -> bool:
    """Tell whether an admitted request may be dispatched to one more server.

    A key that was revoked meanwhile starts nothing new; running requests continue.

    Args:
        configuration: The configuration in force now.
        keys: API keys of the request.
        customer: Its customer when it was admitted.
    """
    if customer is None or configuration.customers is None:
        return True
    holder = configuration.customers.find_by_key(keys[0])
    return holder is not None and holder.name == customer.name
