"""Client of the platform's object store.

Many write to the store, so a response may have an object that no reader can represent.
It costs only itself: its value is `bounded_json.Unreadable`, which each decoder of a
kind rejects like any other invalid value.
"""

import asyncio
import dataclasses
import datetime
import json
import typing
import urllib.parse
from collections import abc

import logbook

from pimentolatch import bounded_json, clock, settings, store
from pimentolatch.backend import channel
from pimentolatch.platform import http_headers

__all__ = ["ObjectStore"]

_log = logbook.Logger("store")
# A page of a list is about 1 MB; changes of some thousand objects come at once.
_MAX_RESPONSE_BYTES = 16_000_000
# A response that keeps arriving may take this much longer than one that is silent. On a
# slow link, a call that is begun anew would take as long again.
_LONGEST_TRANSFER = datetime.timedelta(seconds=5)
_JSON = [(b"content-type", b"application/json")]
# Exceptions raised by reading a response that has another form than expected.
_FORM_ERRORS = (AttributeError, LookupError, OverflowError, TypeError, ValueError)


_Decoded = typing.TypeVar("_Decoded")


class ObjectStore:
    """HTTP client of the object store; it never retries a call.

    Args:
        address: Address of the store.
        call_timeout: How long the store may be silent within a call; for a watch its
            wait is added before the response.
    """

    def __init__(
        self,
        address: settings.Address,
        call_timeout: datetime.timedelta,
        time: clock.Clock,
    ) -> None:
        self._address = address
        self._call_timeout = call_timeout
        self._clock = time
        self._pool = channel.ChannelPool(call_timeout)

    async def list_objects(
        self, kind: str, prefix: str = ""
    ) -> store.Listing | store.Unavailable:
        """See `store.Store.list_objects`."""
        found: list[store.Found] = []
        after = ""
        revision = 0
        while True:
            query = {"after": after} if after else {}
            response = await self._call("GET", _path(kind, query=query))
            if isinstance(response, store.Unavailable):
                return response
            page = _decoded(_page, response)
            if isinstance(page, store.Unavailable):
                return page
            found += page.objects
            # Between two pages, an object can move from a later page to an earlier one
            # and be missed. So changes are watched from the first page's revision.
            revision = revision or page.revision
            if page.is_last:
                kept = (item for item in found if item.name.startswith(prefix))
                return store.Listing(revision, tuple(kept))
            if not page.objects or page.objects[-1].name == after:
                return store.Unavailable("a page without a next one", False)
            after = page.objects[-1].name

    async def watch(
        self,
        kind: str,
        *,
        after: int,
        wait: datetime.timedelta,
        answer_limit: datetime.timedelta | None = None,
    ) -> store.Changes | store.HistoryGone | store.Unavailable:
        """See `store.Store.watch`."""
        milliseconds = int(wait / datetime.timedelta(milliseconds=1))
        query = {"watch": str(after), "wait_ms": str(milliseconds)}
        limit = wait + (answer_limit or self._call_timeout)
        response = await self._call("GET", _path(kind, query=query), limit=limit)
        if isinstance(response, store.Unavailable):
            return response
        if response.status == 410:
            return store.HistoryGone()
        return _decoded(_changes, response)

    async def get(
        self, kind: str, name: str
    ) -> store.Found | store.Absent | store.Unavailable:
        """See `store.Store.get`."""
        response = await self._call("GET", _path(kind, name))
        if isinstance(response, store.Unavailable):
            return response
        if response.status == 404:
            return store.Absent(name)
        return _decoded(_single, response)

    async def put(
        self, kind: str, name: str, value: store.Json, *, if_version: int
    ) -> store.Written | store.Conflict | store.Unavailable:
        """See `store.Store.put`."""
        metadata: dict[str, typing.Any] = {"name": name}
        if if_version:
            metadata["revision"] = if_version
            method, path = "PUT", _path(kind, name)
        else:
            method, path = "POST", _path(kind)
        body = {"metadata": metadata, "spec": value}
        response = await self._call(method, path, body)
        if isinstance(response, store.Unavailable):
            return response
        if response.status in (404, 409):
            return _decoded(_conflict, response, effect_unknown=False)
        return _decoded(_written, response, effect_unknown=True)

    async def delete(
        self, kind: str, name: str, *, if_version: int
    ) -> store.Written | store.Absent | store.Conflict | store.Unavailable:
        """See `store.Store.delete`."""
        path = _path(kind, name, {"revision": str(if_version)})
        response = await self._call("DELETE", path)
        if isinstance(response, store.Unavailable):
            return response
        if response.status == 404:
            return store.Absent(name)
        if response.status == 409:
            return _decoded(_conflict, response, effect_unknown=False)
        return _decoded(_deleted, response, effect_unknown=True)

    async def instances(self) -> tuple[store.Instance, ...] | store.Unavailable:
        """See `store.Store.instances`."""
        response = await self._call("GET", "/v1/instances")
        if isinstance(response, store.Unavailable):
            return response
        return _decoded(_instances, response)

    async def _call(
        self,
        method: str,
        target: str,
        body: typing.Any = None,
        *,
        limit: datetime.timedelta | None = None,
    ) -> "_Response | store.Unavailable":
        limit = limit or self._call_timeout
        is_write = method != "GET"
        data = b"" if body is None else json.dumps(body).encode()
        host = f"{self._address.host}:{self._address.port}".encode()
        try:
            # Never write on an idle connection: the peer may have closed it unnoticed,
            # and then it would be unknown whether the write took effect.
            link = await self._pool.acquire(
                "store",
                self._address,
                self._clock.monotonic(),
                max_idle=datetime.timedelta(0) if is_write else None,
            )
        except channel.ConnectError as error:
            return store.Unavailable(str(error), effect_unknown=False)
        try:
            async with (
                asyncio.timeout((limit + _LONGEST_TRANSFER).total_seconds()),
                asyncio.timeout(limit.total_seconds()) as silence,
            ):
                link.send(method, target.encode(), [(b"host", host), *_JSON], data)
                start = await link.read_head()
                content = await link.read_body(
                    _MAX_RESPONSE_BYTES, lambda size: self._put_off(silence)
                )
            parsed = bounded_json.loads(content or b"null")
        except TimeoutError:
            reason = f"no answer within {limit.total_seconds():g} s"
            return self._silent(link, reason, is_write)
        except channel.UndeliveredError as error:
            return self._silent(link, str(error), is_write)
        except (channel.BrokenError, ValueError) as error:
            link.close()
            return store.Unavailable(repr(error), effect_unknown=is_write)
        except BaseException:
            link.close()
            raise
        self._pool.release("store", link, self._clock.monotonic())
        return _check_status(start, parsed, is_write)

    def close(self) -> None:
        """Close the pooled connections."""
        self._pool.close()

    def _put_off(self, silence: asyncio.Timeout) -> None:
        """Let a response go on that is still arriving."""
        left = self._call_timeout.total_seconds()
        silence.reschedule(asyncio.get_running_loop().time() + left)

    def _silent(
        self, link: channel.Channel, reason: str, is_write: bool
    ) -> store.Unavailable:
        link.close()
        # Whatever silenced this connection may have silenced the idle ones.
        self._pool.close()
        return store.Unavailable(reason, effect_unknown=is_write)


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    status: int
    document: bounded_json.Document

    @property
    def body(self) -> typing.Any:
        return self.document.value


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    revision: int
    objects: tuple[store.Found, ...]
    is_last: bool


def _check_status(
    start: channel.ResponseHead, parsed: bounded_json.Document, is_write: bool
) -> _Response | store.Unavailable:
    if start.status in (200, 201, 404, 409, 410):
        return _Response(start.status, parsed)
    retry_after = None
    for name, value in start.fields:
        if name == b"retry-after":
            retry_after = http_headers.parse_retry_after(value)
    # Statuses 429 and 503 guarantee that the call had no effect.
    unknown = is_write and start.status not in (429, 503)
    return store.Unavailable(f"status {start.status}", unknown, retry_after)


def _decoded(
    decode: abc.Callable[[_Response], _Decoded],
    response: _Response,
    *,
    effect_unknown: bool = False,
) -> _Decoded | store.Unavailable:
    """Decode a response; one of another form is that of an unavailable store."""
    try:
        return decode(response)
    except _FORM_ERRORS as error:
        reason = f"status {response.status} with an unexpected body: {error!r:.100}"
        return store.Unavailable(reason, effect_unknown)


def _page(response: _Response) -> _Page:
    body = response.body
    found = [_object_or_none(item, response) for item in body["items"]]
    return _Page(
        int(body["as_of"]),
        tuple(item for item in found if item is not None),
        is_last=not body["has_more"] or not found,
    )


def _changes(response: _Response) -> store.Changes:
    latest: dict[str, store.Found | None] = {}
    for event in response.body["events"]:
        item = _object_or_none(event["object"], response)
        if item is not None:
            latest[item.name] = None if event["deleted"] else item
    return store.Changes(
        int(response.body["as_of"]),
        tuple(item for item in latest.values() if item is not None),
        tuple(name for name, item in latest.items() if item is None),
    )


def _single(response: _Response) -> store.Found:
    return _object(response.body, response)


def _conflict(response: _Response) -> store.Conflict:
    return store.Conflict(_revision(response.body))


def _deleted(response: _Response) -> store.Written:
    return store.Written(_revision(response.body))


def _written(response: _Response) -> store.Written:
    return store.Written(int(response.body["metadata"]["revision"]))


def _revision(body: typing.Any) -> int:
    """Return the revision of a response's object; 0 if it has none."""
    return int(((body or {}).get("metadata") or {}).get("revision", 0))


def _instances(response: _Response) -> tuple[store.Instance, ...]:
    rows = response.body["instances"]
    return tuple(
        store.Instance(**{**row, "ended": tuple(row["ended"])}) for row in rows
    )


def _object_or_none(item: typing.Any, response: _Response) -> store.Found | None:
    """Decode an object; one without a readable name and revision is logged."""
    try:
        return _object(item, response)
    except _FORM_ERRORS as error:
        _log.warn("object passed over", reason=f"{error!r:.200}")
        return None


def _object(item: typing.Any, response: _Response) -> store.Found:
    metadata = item["metadata"]
    name = metadata["name"]
    # It is needed to ask for the next page.
    if not isinstance(name, str) or bounded_json.first_unreadable(name) is not None:
        raise ValueError("the name is not a text")
    # Another writer may have omitted the spec; decoders then reject the None.
    value = item.get("spec")
    if not response.document.is_whole:
        value = bounded_json.first_unreadable(value) or value
    return store.Found(
        name, int(metadata["revision"]), value, int(metadata.get("created", 0))
    )


def _path(kind: str, name: str = "", query: dict[str, str] | None = None) -> str:
    path = f"/v1/objects/{urllib.parse.quote(kind, safe='')}"
    if name:
        path += "/" + urllib.parse.quote(name, safe="")
    return path + ("?" + urllib.parse.urlencode(query) if query else "")
