"""The operator's customers and the keys by which their requests are known."""

import dataclasses
import hashlib
from collections import abc

__all__ = ["Customer", "Customers", "KeyedCustomer"]

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """Whoever requests belong to; it may hold several keys.

    Attributes:
        rank: Goes before the rank of a route; None leaves it to the route.
    """

    name: str
    rank: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedCustomer:
    """A customer and its keys, as the operator lists them."""

    customer: Customer
    keys: tuple[bytes, ...] = dataclasses.field(repr=False)


class Customers:
    """All customers of a configuration.

    Keys are kept and looked up as digests, so that neither a memory dump nor the time
    of a look-up tells how much of a guessed key is right.

    Args:
        listed: Customers with their keys.

    Raises:
        ValueError: Two customers have the same key, or one of them an empty key.
    """

    def __init__(self, listed: abc.Iterable[KeyedCustomer]) -> None:
        self._by_key: dict[bytes, Customer] = {}
        for entry in listed:
            for key in entry.keys:
                self._add(key, entry.customer)

    def find_by_key(self, key: bytes) -> Customer | None:
        """Return who holds a key; None if nobody does."""
        return self._by_key.get(_digest(key))

    def _add(self, key: bytes, customer: Customer) -> None:
        if not key:
            raise ValueError(f"customer {customer.name!r} has an empty key")
        other = self._by_key.setdefault(_digest(key), customer)
        if other.name != customer.name:
            raise ValueError(
                f"customers {other.name!r} and {customer.name!r} have the same key"
            )


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()
