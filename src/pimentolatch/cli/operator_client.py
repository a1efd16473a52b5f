"""Client of an instance's operator API, for the command line."""

import asyncio
import dataclasses
import json
import typing
import urllib.parse

import aiosonic

from pimentolatch.backend import connections

__all__ = ["Response", "Unreachable", "audit", "document", "status", "submit"]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """HTTP response of an instance."""

    status: int
    body: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The instance did not respond."""

    reason: str


def submit(
    entry: str, document: str, operator: str, submission: str, expected: int | None
) -> Response | Unreachable:
    """Submit the JSON text of a document with a submission id."""
    query = {"operator": operator, "submission": submission}
    if expected is not None:
        query["expected"] = str(expected)
    path = "/v1/documents?" + urllib.parse.urlencode(query)
    return asyncio.run(_call(entry, "POST", path, document.encode()))


def status(entry: str) -> Response | Unreachable:
    """Get the status of an instance."""
    return asyncio.run(_call(entry, "GET", "/v1/status"))


def document(entry: str) -> Response | Unreachable:
    """Get the document in force."""
    return asyncio.run(_call(entry, "GET", "/v1/document"))


def audit(entry: str, count: int) -> Response | Unreachable:
    """Get the newest records of the audit trail."""
    return asyncio.run(_call(entry, "GET", f"/v1/audit?count={count}"))


async def _call(
    entry: str, method: str, path: str, data: bytes | None = None
) -> Response | Unreachable:
    async with aiosonic.HTTPClient() as client:
        try:
            response = await client.request(
                entry.rstrip("/") + path,
                method,
                data=data,
                headers={"content-type": "application/json"},
            )
            return Response(response.status_code, json.loads(await response.content()))
        except connections.ANSWER_FAILURES as error:
            return Unreachable(f"{entry}: {error!r}")
