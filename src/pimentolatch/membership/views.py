"""Domain views: which backend servers of a failure domain take no new work.

The leader of a failure domain, which holds the domain's lease, writes the domain's view
as one object in the platform's store by conditional update. The object's version is the
view's number, so numbers never repeat and a later decision always has a higher number.
Instances get views from the store or from peers, adopt only higher numbers, and
acknowledge a view once they dispatch nothing more to the servers that it withdraws.
"""

import dataclasses
import typing

__all__ = ["DOMAIN_VIEW_KIND", "Acknowledgements", "DomainView"]

DOMAIN_VIEW_KIND = "domain-views"


@dataclasses.dataclass(frozen=True, slots=True)
class DomainView:
    """State of one failure domain's backend servers that all instances route by.

    Attributes:
        number: Version of the stored object; 0 before the first write.
        withdrawn: Backend servers that take no new work.
        roles: Engines whose role differs from the one in the document, each with its
            role.
    """

    failure_domain: str
    number: int
    withdrawn: frozenset[str] = frozenset()
    roles: tuple[tuple[str, str], ...] = ()

    def to_json(self) -> dict[str, typing.Any]:
        """Return the value to store; the object's version is the view's number."""
        return {"withdrawn": sorted(self.withdrawn), "roles": dict(self.roles)}

    @classmethod
    def from_json(
        cls, failure_domain: str, number: int, value: dict[str, typing.Any]
    ) -> "DomainView":
        """Return the view that a stored value describes."""
        return cls(
            failure_domain,
            number,
            frozenset(value["withdrawn"]),
            tuple(sorted(value["roles"].items())),
        )


class Acknowledgements(typing.Protocol):
    """Tells the leader when all instances stopped dispatching to withdrawn engines."""

    def announce(self, view: DomainView) -> None:
        """Pass a newly written view to this instance and its peers."""

    def missing(self, failure_domain: str, number: int) -> frozenset[str]:
        """Return the instances that may still route by an older view.

        An instance is included until it has acknowledged `number` or a higher one, or
        is proved to have terminated. Instances that only a peer knows are included
        too: a peer that sends its views to a starting instance introduces that
        instance before its own next acknowledgement.
        """
