"""Stand-in for a model engine: batching, streaming, prefix cache, KV transfer, orders.

Token `i` of the output for a prompt depends only on the prompt and `i`, so any engine
can resume any stream and a test can check the output.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import pathlib
import typing
import uuid
import zlib
from collections import abc

import aiosonic
import uvicorn
from starlette import applications, requests, responses, routing

from standins import faults

__all__ = ["Engine", "EngineSettings", "answer_token", "build", "main"]

JsonResponse = responses.JSONResponse
_PREFIX_CHARACTERS = 64
FIRST_VERSION = "1"


def answer_token(prompt: str, index: int) -> str:
    """Return token `index` of the output for a prompt."""
    return f"{zlib.crc32(f'{prompt}/{index}'.encode()):08x} "


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Settings of one engine.

    Attributes:
        checks_fencing: Whether orders with an old fencing token are refused.
        streams: Maximum batch size; further streams wait, by priority.
        prefill_tokens_per_s: Prefill rate for tokens that are not cached.
        token_s: Time between two tokens of a stream, in seconds.
        change_s: Duration of a role change or model load, in seconds.
        report_lag_s: Age of load reports, in seconds.
        cached_prefixes: Capacity of the prefix cache, in prefixes.
        event_gap: Of every `event_gap` cache events, one is not published; 0 publishes
            all.
        order_read_timeout_s: Timeout for receiving the body of an order, in seconds.
    """

    name: str
    host: str
    port: int
    checks_fencing: bool = True
    role: str = "mixed"
    models: tuple[str, ...] = ()
    streams: int = 32
    prefill_tokens_per_s: float = 50_000.0
    token_s: float = 0.002
    change_s: float = 0.5
    report_lag_s: float = 1.0
    cached_prefixes: int = 64
    event_gap: int = 7
    order_read_timeout_s: float = 2.0


class Engine:
    """State and HTTP handlers of an engine."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.role = settings.role
        self.models = dict.fromkeys(settings.models, FIRST_VERSION)
        # A restart loses the fencing token, the last order and the effects of orders.
        self.incarnation = uuid.uuid4().hex
        self.fence = 0
        self.changing = False
        self.last_order: str | None = None
        self.history: list[dict[str, typing.Any]] = []
        self._cancelled: set[str] = set()
        self._streams: set[str] = set()
        self._waiting = asyncio.PriorityQueue[tuple[int, int, asyncio.Event]]()
        self._arrivals = 0
        self._cache: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._events: list[dict[str, typing.Any]] = []
        self._reports: list[tuple[float, dict[str, typing.Any]]] = []
        self._prompts_by_handle: dict[str, str] = {}

    async def generate(self, request: requests.Request) -> responses.Response:
        """Stream tokens from an offset as server-sent events."""
        body = await request.json()
        if body["model"] not in self.models or self.changing:
            return JsonResponse({"ran": False, "reason": "not serving"}, 503)
        self._record("generate", body["dispatch"], offset=body.get("offset", 0))
        events = self._stream(body)
        return responses.StreamingResponse(events, media_type="text/event-stream")

    async def _stream(self, body: dict[str, typing.Any]) -> abc.AsyncIterator[str]:
        dispatch, prompt = body["dispatch"], body["prompt"]
        length, offset = body["max_tokens"], body.get("offset", 0)
        self._streams.add(dispatch)
        self._record_load()
        try:
            await self._wait_for_slot(body.get("priority", 0))
            await asyncio.sleep(self._prefill_seconds(prompt, body.get("kv")))
            for index in range(offset, length):
                if dispatch in self._cancelled:
                    return
                token = answer_token(prompt, index)
                yield _sse_event(
                    {"dispatch": dispatch, "offset": index, "token": token}
                )
                await asyncio.sleep(self.settings.token_s)
            yield _sse_event({"dispatch": dispatch, "done": True, "length": length})
            self._record("finished", dispatch)
        finally:
            self._streams.discard(dispatch)
            self._cancelled.discard(dispatch)
            self._admit_next()
            self._record_load()

    async def _wait_for_slot(self, priority: int) -> None:
        if len(self._streams) <= self.settings.streams:
            return
        self._arrivals += 1
        admitted = asyncio.Event()
        await self._waiting.put((-priority, self._arrivals, admitted))
        await admitted.wait()

    def _admit_next(self) -> None:
        if not self._waiting.empty():
            self._waiting.get_nowait()[2].set()

    def _prefill_seconds(self, prompt: str, kv: str | None) -> float:
        if kv is not None and self._prompts_by_handle.get(kv) == prompt:
            return 0.0
        prefix = prompt[:_PREFIX_CHARACTERS]
        cached = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        self._add_cache_event("added", prefix)
        if len(self._cache) > self.settings.cached_prefixes:
            evicted, _ = self._cache.popitem(last=False)
            self._add_cache_event("evicted", evicted)
        tokens = len(prompt) / 4
        uncached = tokens - _PREFIX_CHARACTERS / 4 if cached else tokens
        return max(0.0, uncached) / self.settings.prefill_tokens_per_s

    async def cancel(self, request: requests.Request) -> JsonResponse:
        """Cancel a stream by its dispatch id."""
        dispatch = (await request.json())["dispatch"]
        known = dispatch in self._streams
        if known:
            self._cancelled.add(dispatch)
        return JsonResponse({"cancelled": known})

    async def handle_order(self, request: requests.Request) -> JsonResponse:
        """Apply an order: the role and models that the engine must have.

        Reading the body first sends `100 Continue` to a sender that expects it; the
        read timeout starts at that moment.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.order_read_timeout_s
        try:
            async with asyncio.timeout_at(deadline):
                order = await request.json()
        except (TimeoutError, requests.ClientDisconnect):
            return _order_timeout()
        # If the engine's process was paused, the rest of a late order and the expiry of
        # the timeout can be seen at once. The order must then count as late.
        if loop.time() > deadline:
            return _order_timeout()
        if self.settings.checks_fencing and order["fence"] < self.fence:
            return JsonResponse({"reason": "old fence", "fence": self.fence}, 409)
        self.fence = max(self.fence, order["fence"])
        if order["order"] == self.last_order:
            return JsonResponse(self._state())
        if self.changing:
            return JsonResponse({"reason": "changing"}, 503)
        self._record("order", order["order"], body=order, streams=len(self._streams))
        await self._apply(order)
        return JsonResponse(self._state())

    async def _apply(self, order: dict[str, typing.Any]) -> None:
        self.changing = True
        self.last_order = order["order"]
        # As in a real engine, a change resets the batch and cuts the running streams.
        for dispatch in self._streams:
            self._record("cut", dispatch)
            self._cancelled.add(dispatch)
        await asyncio.sleep(self.settings.change_s)
        self.role = order.get("role", self.role)
        self.models = dict(order.get("models", self.models))
        self.changing = False
        self._record("ordered", order["order"])

    def _state(self) -> dict[str, typing.Any]:
        return {
            "name": self.settings.name,
            "role": self.role,
            "models": self.models,
            "fence": self.fence,
            "changing": self.changing,
            "last_order": self.last_order,
            "streams": len(self._streams),
            "incarnation": self.incarnation,
        }

    async def state(self, request: requests.Request) -> JsonResponse:
        """Return the current state."""
        return JsonResponse(self._state())

    def _record_load(self) -> None:
        now = asyncio.get_running_loop().time()
        report = {"streams": len(self._streams), "waiting": self._waiting.qsize()}
        self._reports.append((now, report))
        del self._reports[:-1000]

    async def load(self, request: requests.Request) -> JsonResponse:
        """Return the load as it was `report_lag_s` ago."""
        cutoff = asyncio.get_running_loop().time() - self.settings.report_lag_s
        visible = [report for at, report in self._reports if at <= cutoff]
        return JsonResponse(visible[-1] if visible else {"streams": 0, "waiting": 0})

    def _add_cache_event(self, kind: str, prefix: str) -> None:
        self._events.append(
            {"number": len(self._events), "kind": kind, "prefix": prefix}
        )

    async def cache_events(self, request: requests.Request) -> JsonResponse:
        """Return the cache events after a number, without those that are dropped."""
        after = int(request.query_params.get("after", "-1"))
        gap = self.settings.event_gap
        events = [event for event in self._events[after + 1 :]]
        published = [e for e in events if not gap or e["number"] % gap != gap - 1]
        return JsonResponse({"events": published})

    async def export_kv(self, request: requests.Request) -> JsonResponse:
        """Prefill a prompt and return a handle to its KV cache."""
        body = await request.json()
        await asyncio.sleep(self._prefill_seconds(body["prompt"], None))
        handle = f"kv-{zlib.crc32(body['prompt'].encode()):08x}"
        self._prompts_by_handle[handle] = body["prompt"]
        self._record("export", handle)
        return JsonResponse({"kv": handle})

    async def import_kv(self, request: requests.Request) -> JsonResponse:
        """Fetch a KV cache from the engine that exported it."""
        body = await request.json()
        async with aiosonic.HTTPClient() as client:
            response = await client.get(f"{body['source']}/v1/kv/{body['kv']}")
            if response.status_code != 200:
                return JsonResponse({}, 404)
            self._prompts_by_handle[body["kv"]] = (await response.json())["prompt"]
        self._record("import", body["kv"])
        return JsonResponse({})

    async def send_kv(self, request: requests.Request) -> JsonResponse:
        """Return the KV cache, represented by its prompt, to the engine fetching it."""
        prompt = self._prompts_by_handle.get(request.path_params["handle"])
        return JsonResponse({"prompt": prompt}, 404 if prompt is None else 200)

    def _record(self, what: str, subject: str, **details: typing.Any) -> None:
        self.history.append({"what": what, "subject": subject, **details})

    async def show_history(self, request: requests.Request) -> JsonResponse:
        """Return all recorded operations of the engine, for history checks."""
        return JsonResponse(self.history)


def _order_timeout() -> JsonResponse:
    # Closing the connection prevents the rest of the order from arriving later.
    return JsonResponse({"reason": "too slow"}, 408, {"connection": "close"})


def _sse_event(body: dict[str, typing.Any]) -> str:
    return f"data: {json.dumps(body)}\n\n"


def build(engine: Engine) -> typing.Any:
    """Return the ASGI application of an engine."""
    fault_injector = faults.FaultInjector()
    routes = [
        routing.Route("/v1/generate", engine.generate, methods=["POST"]),
        routing.Route("/v1/cancel", engine.cancel, methods=["POST"]),
        routing.Route("/v1/orders", engine.handle_order, methods=["POST"]),
        routing.Route("/v1/state", engine.state),
        routing.Route("/v1/load", engine.load),
        routing.Route("/v1/cache_events", engine.cache_events),
        routing.Route("/v1/kv/export", engine.export_kv, methods=["POST"]),
        routing.Route("/v1/kv/import", engine.import_kv, methods=["POST"]),
        routing.Route("/v1/kv/{handle}", engine.send_kv),
        routing.Route("/history", engine.show_history),
        routing.Route("/faults", fault_injector.handle_command, methods=["POST"]),
    ]
    return fault_injector.middleware(applications.Starlette(routes=routes))


def main() -> None:
    """Run an engine with settings from a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", required=True, type=pathlib.Path)
    text = parser.parse_args().settings.read_text(encoding="utf-8")
    settings = EngineSettings(**json.loads(text))
    application = build(Engine(settings))
    uvicorn.run(
        application, host=settings.host, port=settings.port, log_level="warning"
    )


if __name__ == "__main__":
    main()
