"""Stand-in for the platform: object API, watches, instance list, weight store."""

import argparse
import asyncio
import collections
import contextlib
import json
import pathlib
import typing
import uuid

import uvicorn
from starlette import applications, requests, responses, routing

from standins import faults, object_table

__all__ = ["build", "main"]

_DISCONNECT_CHECK_S = 0.5
# A watch with a longer wait is one that follows changes.
_LONG_WAIT_S = 0.1
_PAGE_SIZE = 500


class JsonResponse(responses.JSONResponse):
    """Response whose content may have `object_table.RawJson` in it."""

    def render(self, content: typing.Any) -> bytes:
        """Return the body."""
        raw: list[bytes] = []
        mark = uuid.uuid4().hex

        def hold_place(value: object_table.RawJson) -> str:
            raw.append(value.text)
            return mark

        parts = (
            json.dumps(content, default=hold_place)
            .encode()
            .split(b'"%b"' % mark.encode())
        )
        return b"".join(b"%b%b" % pair for pair in zip(parts, [*raw, b""], strict=True))


class TokenBucket:
    """Rate limit in calls per second, with a burst of one second's calls."""

    def __init__(self, calls_per_second: float) -> None:
        self._rate = calls_per_second
        self._tokens = calls_per_second
        self._last: float | None = None

    def try_acquire(self, now: float) -> bool:
        """Take a token for a call; returns whether there was one."""
        if self._last is not None:
            refill = (now - self._last) * self._rate
            self._tokens = min(self._rate, self._tokens + refill)
        self._last = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Platform:
    """HTTP handlers of the platform.

    Args:
        reads_per_second: Rate limit for reads and watches together.
        writes_per_second: Rate limit for writes.
        list_lag_s: Delay until a change of the instance list is visible, in seconds.
        weights_per_second: Rate limit for fetches from the weight store.

    Attributes:
        calls: Number of received calls by kind; `waiting` are watches with a long wait.
        reports_history_gone: Whether a watch from a compacted revision gets status 410
            at once. Otherwise it waits for the next change, as can happen just after
            a network partition.
        rejects_reads: Whether all reads and watches get status 429, while writes are
            accepted.
    """

    def __init__(
        self,
        *,
        reads_per_second: float = 2000.0,
        writes_per_second: float = 300.0,
        list_lag_s: float = 2.0,
        weights_per_second: float = 1.0,
    ) -> None:
        self.table = object_table.ObjectTable()
        self.calls: collections.Counter[str] = collections.Counter()
        self.reports_history_gone = True
        self.rejects_reads = False
        self._reads = TokenBucket(reads_per_second)
        self._writes = TokenBucket(writes_per_second)
        self._weights = TokenBucket(weights_per_second)
        self._list_lag_s = list_lag_s
        self._instances: dict[str, dict[str, typing.Any]] = {}
        self._published_instances: dict[str, dict[str, typing.Any]] = {}

    def _check_limit(self, kind: str, bucket: TokenBucket) -> JsonResponse | None:
        self.calls[kind] += 1
        rejected = self.rejects_reads and bucket is self._reads
        if not rejected and bucket.try_acquire(asyncio.get_running_loop().time()):
            return None
        return self._reject()

    def _reject(self) -> JsonResponse:
        self.calls["limited"] += 1
        return JsonResponse({}, 429, headers={"retry-after": "1"})

    async def get(self, request: requests.Request) -> JsonResponse:
        """Return one object."""
        if refused := self._check_limit("read", self._reads):
            return refused
        row = self.table.get(request.path_params["kind"], request.path_params["name"])
        return (
            JsonResponse({}, 404) if row is None else JsonResponse(_encode_object(row))
        )

    async def create(self, request: requests.Request) -> JsonResponse:
        """Create an object."""
        body = await request.json()
        return await self._write(request, body["metadata"]["name"], body["spec"], 0)

    async def replace(self, request: requests.Request) -> JsonResponse:
        """Replace an object if it has the revision that the caller expects."""
        body = await request.json()
        name = request.path_params["name"]
        current = self.table.get(request.path_params["kind"], name)
        if current is None:
            return JsonResponse({}, 404)
        version = int(body["metadata"].get("revision", current.version))
        return await self._write(request, name, body["spec"], version)

    async def delete(self, request: requests.Request) -> JsonResponse:
        """Delete an object if it has the revision that the caller expects."""
        name = request.path_params["name"]
        current = self.table.get(request.path_params["kind"], name)
        if current is None:
            return JsonResponse({}, 404)
        version = int(request.query_params.get("revision", current.version))
        return await self._write(request, name, None, version)

    async def _write(
        self, request: requests.Request, name: str, spec: typing.Any, version: int
    ) -> JsonResponse:
        if refused := self._check_limit("write", self._writes):
            return refused
        kind = request.path_params["kind"]
        try:
            row = await self.table.put(kind, name, spec, version)
        except object_table.VersionConflictError:
            current = self.table.get(kind, name)
            return JsonResponse({} if current is None else _encode_object(current), 409)
        except object_table.ValueTooLargeError:
            return JsonResponse({}, 413)
        return JsonResponse(_encode_object(row))

    async def list_objects(self, request: requests.Request) -> JsonResponse:
        """List the objects of a kind, or watch the kind for changes."""
        if "watch" in request.query_params:
            return await self._watch(request)
        if refused := self._check_limit("read", self._reads):
            return refused
        rows = self.table.list_objects(request.path_params["kind"])
        rows = [r for r in rows if r.name > request.query_params.get("after", "")]
        return JsonResponse(
            {
                "items": [_encode_object(row) for row in rows[:_PAGE_SIZE]],
                "has_more": len(rows) > _PAGE_SIZE,
                "as_of": self.table.revision,
            }
        )

    async def _watch(self, request: requests.Request) -> JsonResponse:
        if refused := self._check_limit("watch", self._reads):
            return refused
        after = int(request.query_params["watch"])
        wait = float(request.query_params.get("wait_ms", 0)) / 1000
        if wait >= _LONG_WAIT_S:
            self.calls["waiting"] += 1
        if after < self.table.compacted_revision and self.reports_history_gone:
            return JsonResponse({}, 410)
        kind = request.path_params["kind"]
        deadline = asyncio.get_running_loop().time() + wait
        after = max(after, self.table.compacted_revision)
        rows = self.table.changes(kind, after)
        # Waits in short intervals, so that a watch whose caller has disconnected ends
        # soon. A watch is cancelled when the store stops. Nobody reads its response
        # then, and raising CancelledError would be reported as an error of the store.
        with contextlib.suppress(asyncio.CancelledError):
            while (
                not rows
                and (remaining := deadline - asyncio.get_running_loop().time()) > 0
            ):
                rows = await self.table.wait(
                    kind, after, min(remaining, _DISCONNECT_CHECK_S)
                )
                if self.rejects_reads:
                    return self._reject()
                if await request.is_disconnected():
                    break
        # Read together with the revision: a change written since the wait ended would
        # be covered by the revision without being among the events.
        rows = self.table.changes(kind, after)
        events = [
            {"object": _encode_object(r), "deleted": r.value is None} for r in rows
        ]
        return JsonResponse({"events": events, "as_of": self.table.revision})

    async def compact_history(self, request: requests.Request) -> JsonResponse:
        """Compact the history; a command of tests, not of the platform's API."""
        self.table.compact_history()
        return JsonResponse({})

    async def instances(self, request: requests.Request) -> JsonResponse:
        """Return the instance list as it was `list_lag_s` ago."""
        if refused := self._check_limit("read", self._reads):
            return refused
        rows = sorted(
            self._published_instances.values(), key=lambda row: str(row["name"])
        )
        return JsonResponse({"instances": rows})

    async def update_instances(self, request: requests.Request) -> JsonResponse:
        """Change the instance list; a command of tests, not of the platform's API."""
        for row in await request.json():
            if row["state"] == "ended":
                self._instances.pop(row["name"], None)
            else:
                self._instances[row["name"]] = row
        snapshot = dict(self._instances)
        asyncio.get_running_loop().call_later(
            self._list_lag_s, self._publish_instances, snapshot
        )
        return JsonResponse({})

    def _publish_instances(self, snapshot: dict[str, dict[str, typing.Any]]) -> None:
        self._published_instances = snapshot

    async def weights(self, request: requests.Request) -> JsonResponse:
        """Return a model's weights, represented by its name, at a limited rate."""
        if refused := self._check_limit("weights", self._weights):
            return refused
        return JsonResponse({"weights": request.path_params["model"]})

    async def show_calls(self, request: requests.Request) -> JsonResponse:
        """Return the number of received calls by kind."""
        return JsonResponse(dict(self.calls))

    async def show_history(self, request: requests.Request) -> JsonResponse:
        """Show every write in order, for history checks."""
        rows = [
            {"kind": kind, "name": row.name, "version": row.version, "value": row.value}
            for kind, row in self.table.history
        ]
        return JsonResponse(rows)


def _encode_object(row: object_table.Row) -> dict[str, typing.Any]:
    metadata = {
        "name": row.name,
        "revision": row.version,
        "created": row.created,
        "finalizers": [],
        "deleting": False,
    }
    return {"metadata": metadata, "spec": row.value, "status": None}


def _count_calls(platform: Platform, application: typing.Any) -> typing.Any:
    """Count all received calls, even those without a response, and their peak rate."""
    by_second: collections.Counter[int] = collections.Counter()

    async def counted(scope: typing.Any, receive: typing.Any, send: typing.Any) -> None:
        if scope["type"] == "http" and scope["path"].startswith("/v1/"):
            second = int(asyncio.get_running_loop().time())
            by_second[second] += 1
            platform.calls["arrived"] += 1
            peak = max(platform.calls["most_in_a_second"], by_second[second])
            platform.calls["most_in_a_second"] = peak
        await application(scope, receive, send)

    return counted


def build(platform: Platform) -> typing.Any:
    """Return the ASGI application of the platform."""
    fault_injector = faults.FaultInjector()
    routes = [
        routing.Route("/v1/objects/{kind}/{name}", platform.get, methods=["GET"]),
        routing.Route("/v1/objects/{kind}/{name}", platform.replace, methods=["PUT"]),
        routing.Route("/v1/objects/{kind}/{name}", platform.delete, methods=["DELETE"]),
        routing.Route("/v1/objects/{kind}", platform.list_objects, methods=["GET"]),
        routing.Route("/v1/objects/{kind}", platform.create, methods=["POST"]),
        routing.Route("/history/forget", platform.compact_history, methods=["POST"]),
        routing.Route("/v1/instances", platform.instances),
        routing.Route("/v1/weights/{model}", platform.weights),
        routing.Route("/instances", platform.update_instances, methods=["POST"]),
        routing.Route("/calls", platform.show_calls),
        routing.Route("/history", platform.show_history),
        routing.Route("/faults", fault_injector.handle_command, methods=["POST"]),
    ]
    application = fault_injector.middleware(applications.Starlette(routes=routes))
    return _count_calls(platform, application)


def main() -> None:
    """Run the platform with settings from a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", required=True, type=pathlib.Path)
    settings = json.loads(parser.parse_args().settings.read_text(encoding="utf-8"))
    host, port = settings.pop("host"), settings.pop("port")
    platform = Platform(**settings)
    uvicorn.run(build(platform), host=host, port=port, log_level="warning")


if __name__ == "__main__":
    main()
