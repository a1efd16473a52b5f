"""Lookup tables for the document in force, built once per configuration.

Without them each request would scan the list of callers, up to 4,900 in a fleet.
"""

import dataclasses

from pimentolatch.document import schema

__all__ = ["Index", "IndexCache"]


@dataclasses.dataclass(frozen=True, slots=True)
class Index:
    """Lookup tables of one document.

    Attributes:
        callers: Callers by the SHA-256 of their API key.
        operations: Operations by service name and operation name.
        models: Models by name.
        plain_servers: Servers of plain services by service name.
    """

    document: schema.FleetDocument
    callers: dict[str, schema.Caller]
    operations: dict[tuple[str, str], schema.Operation]
    models: dict[str, schema.Model]
    plain_servers: dict[str, tuple[schema.PlainServer, ...]]


class IndexCache:
    """Caches the index of the latest document."""

    def __init__(self) -> None:
        self._latest: Index | None = None

    def get(self, document: schema.FleetDocument) -> Index:
        """Return the index of a document; built only if the document changed."""
        if self._latest is None or self._latest.document is not document:
            self._latest = _build(document)
        return self._latest


def _build(document: schema.FleetDocument) -> Index:
    return Index(
        document,
        {caller.key_sha256: caller for caller in document.callers},
        {
            (service.name, operation.name): operation
            for service in document.services
            for operation in service.operations
        },
        {model.name: model for model in document.models},
        {
            service.name: tuple(
                server
                for server in document.plain_servers
                if service.name in server.services
            )
            for service in document.services
        },
    )
