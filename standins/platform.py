"""Stand-in for the platform: object API, watches, instance list, weight store."""

import argparse
import asyncio
import collections
import contextlib
import json
import pathlib
import typing

import uvicorn
from starlette import applications, requests, responses, routing

from standins import faults, objects

__all__ = ["build", "main"]

JsonResponse = responses.JSONResponse
_WATCH_SLICE_S = 0.5
_PAGE = 500


class CallLimit:
    """A limit on calls a second, as a token bucket with one second of burst."""

    def __init__(self, calls_per_second: float) -> None:
        self._rate = calls_per_second
        self._tokens = calls_per_second
        self._last: float | None = None

    def admits(self, now: float) -> bool:
        """Take a call from the bucket."""
        if self._last is not None:
            gained = (now - self._last) * self._rate
            self._tokens = min(self._rate, self._tokens + gained)
        self._last = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Platform:
    """Handlers of the platform's HTTP interface.

    Args:
        reads_per_second: Limit on reads and watches.
        writes_per_second: Limit on writes.
        list_lag_s: Age of the instance list that is shown.
        weights_per_second: Limit on fetches from the weight store.

    Attributes:
        tells_gone: Whether a watch from before the known history is told so at once;
            else it waits for the next change, as it may just after a cut.
    """

    def __init__(
        self,
        *,
        reads_per_second: float = 2000.0,
        writes_per_second: float = 300.0,
        list_lag_s: float = 2.0,
        weights_per_second: float = 1.0,
    ) -> None:
        self.table = objects.ObjectTable()
        self.calls: collections.Counter[str] = collections.Counter()
        self.tells_gone = True
        self._reads = CallLimit(reads_per_second)
        self._writes = CallLimit(writes_per_second)
        self._weights = CallLimit(weights_per_second)
        self._list_lag_s = list_lag_s
        self._instances: dict[str, dict[str, typing.Any]] = {}
        self._shown: dict[str, dict[str, typing.Any]] = {}

    def _refused(self, kind: str, limit: CallLimit) -> JsonResponse | None:
        self.calls[kind] += 1
        if limit.admits(asyncio.get_running_loop().time()):
            return None
        self.calls["limited"] += 1
        return JsonResponse({}, 429, headers={"retry-after": "1"})

    async def get(self, request: requests.Request) -> JsonResponse:
        """Read one object."""
        if refused := self._refused("read", self._reads):
            return refused
        row = self.table.get(request.path_params["kind"], request.path_params["name"])
        return JsonResponse({}, 404) if row is None else JsonResponse(_shown(row))

    async def create(self, request: requests.Request) -> JsonResponse:
        """Create an object."""
        body = await request.json()
        return await self._write(request, body["metadata"]["name"], body["spec"], 0)

    async def replace(self, request: requests.Request) -> JsonResponse:
        """Replace an object that is as the caller knows it."""
        body = await request.json()
        name = request.path_params["name"]
        current = self.table.get(request.path_params["kind"], name)
        if current is None:
            return JsonResponse({}, 404)
        version = int(body["metadata"].get("revision", current.version))
        return await self._write(request, name, body["spec"], version)

    async def delete(self, request: requests.Request) -> JsonResponse:
        """Remove an object that is as the caller knows it."""
        name = request.path_params["name"]
        current = self.table.get(request.path_params["kind"], name)
        if current is None:
            return JsonResponse({}, 404)
        version = int(request.query_params.get("revision", current.version))
        return await self._write(request, name, None, version)

    async def _write(
        self, request: requests.Request, name: str, spec: typing.Any, version: int
    ) -> JsonResponse:
        if refused := self._refused("write", self._writes):
            return refused
        kind = request.path_params["kind"]
        try:
            row = await self.table.put(kind, name, spec, version)
        except objects.VersionConflictError:
            current = self.table.get(kind, name)
            return JsonResponse({} if current is None else _shown(current), 409)
        except objects.ValueTooLargeError:
            return JsonResponse({}, 413)
        return JsonResponse(_shown(row))

    async def list_objects(self, request: requests.Request) -> JsonResponse:
        """List objects of a kind, or wait for changes of it."""
        if "watch" in request.query_params:
            return await self._watch(request)
        if refused := self._refused("read", self._reads):
            return refused
        rows = self.table.list_objects(request.path_params["kind"])
        rows = [r for r in rows if r.name > request.query_params.get("after", "")]
        return JsonResponse(
            {
                "items": [_shown(row) for row in rows[:_PAGE]],
                "has_more": len(rows) > _PAGE,
                "as_of": self.table.revision,
            }
        )

    async def _watch(self, request: requests.Request) -> JsonResponse:
        if refused := self._refused("watch", self._reads):
            return refused
        after = int(request.query_params["watch"])
        wait = float(request.query_params.get("wait_ms", 0)) / 1000
        if after < self.table.history_from and self.tells_gone:
            return JsonResponse({}, 410)
        kind = request.path_params["kind"]
        end = asyncio.get_running_loop().time() + wait
        after = max(after, self.table.history_from)
        rows = self.table.changes(kind, after)
        # In slices, so that a watch whose caller went away ends soon. One that is cut
        # off by the end of the store answers nobody; raised, its cancellation would be
        # reported as a fault of the store.
        with contextlib.suppress(asyncio.CancelledError):
            while not rows and (left := end - asyncio.get_running_loop().time()) > 0:
                rows = await self.table.wait(kind, after, min(left, _WATCH_SLICE_S))
                if await request.is_disconnected():
                    break
        events = [{"object": _shown(r), "deleted": r.value is None} for r in rows]
        return JsonResponse({"events": events, "as_of": self.table.revision})

    async def forget_history(self, request: requests.Request) -> JsonResponse:
        """Drop the history: a test's command, not a call of the platform."""
        self.table.forget_history()
        return JsonResponse({})

    async def instances(self, request: requests.Request) -> JsonResponse:
        """Show the instance list as it was some time ago."""
        if refused := self._refused("read", self._reads):
            return refused
        rows = sorted(self._shown.values(), key=lambda row: str(row["name"]))
        return JsonResponse({"instances": rows})

    async def change_instances(self, request: requests.Request) -> JsonResponse:
        """Change the instance list: a test's command, not a call of the platform."""
        for row in await request.json():
            if row["state"] == "ended":
                self._instances.pop(row["name"], None)
            else:
                self._instances[row["name"]] = row
        snapshot = dict(self._instances)
        asyncio.get_running_loop().call_later(self._list_lag_s, self._show, snapshot)
        return JsonResponse({})

    def _show(self, snapshot: dict[str, dict[str, typing.Any]]) -> None:
        self._shown = snapshot

    async def weights(self, request: requests.Request) -> JsonResponse:
        """Hand out a model's weights (their name) at a limited rate."""
        if refused := self._refused("weights", self._weights):
            return refused
        return JsonResponse({"weights": request.path_params["model"]})

    async def count(self, request: requests.Request) -> JsonResponse:
        """Show how many calls of each kind came in."""
        return JsonResponse(dict(self.calls))

    async def history(self, request: requests.Request) -> JsonResponse:
        """Show every write in order, for history checks."""
        rows = [
            {"kind": kind, "name": row.name, "version": row.version, "value": row.value}
            for kind, row in self.table.history
        ]
        return JsonResponse(rows)


def _shown(row: objects.Row) -> dict[str, typing.Any]:
    metadata = {
        "name": row.name,
        "revision": row.version,
        "created": row.created,
        "finalizers": [],
        "deleting": False,
    }
    return {"metadata": metadata, "spec": row.value, "status": None}


def _counting(platform: Platform, application: typing.Any) -> typing.Any:
    """Count every call that arrives, answered or not, and the most in one second."""
    by_second: collections.Counter[int] = collections.Counter()

    async def counted(scope: typing.Any, receive: typing.Any, send: typing.Any) -> None:
        if scope["type"] == "http" and scope["path"].startswith("/v1/"):
            second = int(asyncio.get_running_loop().time())
            by_second[second] += 1
            platform.calls["arrived"] += 1
            most = max(platform.calls["most_in_a_second"], by_second[second])
            platform.calls["most_in_a_second"] = most
        await application(scope, receive, send)

    return counted


def build(platform: Platform) -> typing.Any:
    """Return the ASGI application of a platform stand-in."""
    trouble = faults.Faults()
    routes = [
        routing.Route("/v1/objects/{kind}/{name}", platform.get, methods=["GET"]),
        routing.Route("/v1/objects/{kind}/{name}", platform.replace, methods=["PUT"]),
        routing.Route("/v1/objects/{kind}/{name}", platform.delete, methods=["DELETE"]),
        routing.Route("/v1/objects/{kind}", platform.list_objects, methods=["GET"]),
        routing.Route("/v1/objects/{kind}", platform.create, methods=["POST"]),
        routing.Route("/history/forget", platform.forget_history, methods=["POST"]),
        routing.Route("/v1/instances", platform.instances),
        routing.Route("/v1/weights/{model}", platform.weights),
        routing.Route("/instances", platform.change_instances, methods=["POST"]),
        routing.Route("/calls", platform.count),
        routing.Route("/history", platform.history),
        routing.Route("/faults", trouble.command, methods=["POST"]),
    ]
    application = trouble.middleware(applications.Starlette(routes=routes))
    return _counting(platform, application)


def main() -> None:
    """Run the platform stand-in from a settings file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", required=True, type=pathlib.Path)
    chosen = json.loads(parser.parse_args().settings.read_text(encoding="utf-8"))
    host, port = chosen.pop("host"), chosen.pop("port")
    platform = Platform(**chosen)
    uvicorn.run(build(platform), host=host, port=port, log_level="warning")


if __name__ == "__main__":
    main()
