"""Customers and the API keys that identify their requests."""

import dataclasses
import hashlib
from collections import abc

__all__ = ["Customer", "Customers", "KeyedCustomer"]

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """The owner of requests; it may have several keys.

    Attributes:
        name: Name of the customer.
        rank: Priority of its requests, 0 the most urgent; it overrides that of the
            route. None leaves the priority to the route.
    """

    name: str
    rank: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedCustomer:
    """A customer and its keys, as listed in the configuration."""

    customer: Customer
    keys: tuple[bytes, ...] = dataclasses.field(repr=False)


class Customers:
    """All customers of a configuration.

    Keys are stored and looked up as digests, so that a memory dump discloses no key
    and the time of a look-up does not show how much of a guessed key is right.

    Args:
        listed: Customers with their keys.

    Raises:
        ValueError: Two customers have the same key, or a key is empty.
    """

    def __init__(self, listed: abc.Iterable[KeyedCustomer]) -> None:
        self._by_key: dict[bytes, Customer] = {}
        for entry in listed:
            for key in entry.keys:
                self._add(key, entry.customer)

    def find_by_key(self, key: bytes) -> Customer | None:
        """Return the customer with a key, or None if the key is unknown."""
        return self._by_key.get(_digest(key))

    def _add(self, key: bytes, customer: Customer) -> None:
        if not key:
            raise ValueError(
                f"customer {customer.name!r} has an empty key; remove it or set it"
            )
        other = self._by_key.setdefault(_digest(key), customer)
        if other.name != customer.name:
            raise ValueError(
                f"customers {other.name!r} and {customer.name!r} have the same key; "
                "give each its own"
            )


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()
