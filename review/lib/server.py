"""Stand-in for a server of routes: a decode engine, a prefill engine or a plain one.

One argument, a JSON object: `id`, `host`, `port`, `stage`, `log` and these options:
`events` and `pause_s` of a stream, `comments` (a comment line of the event-stream format
after each event), `work_s` (time to answer a plain request), `born` (start of this
lifetime), `shed` (number of decode requests that it turns away first, as a full server
does) with `rest_s` (what it asks for then).
With `extra`, a list of request ids, their answers are sent once more on the channel, where
the next answer is due. `slow`: request ids whose first event takes `slow_s`. A request is
dropped when its channel closes, unless `goes_on` is set.
A prefill engine numbers its handles from 1 in each lifetime. Its memory names the request
whose prompt it is; a decode engine that fetches it goes on with what it fetched.
After SIGUSR1 it is leaving: it fails its health check and serves on.
It writes a line to the log for each request that it gets.
"""

import asyncio
import json
import signal
import sys
import time

import http11

OPTIONS = json.loads(sys.argv[1])
ID, STAGE = OPTIONS["id"], OPTIONS["stage"]
LOG = open(OPTIONS["log"], "a", encoding="utf-8")  # noqa: SIM115
RUNNING = []
HANDLES = {}
BORN = {"born": OPTIONS["born"]} if "born" in OPTIONS else {}
SHED = OPTIONS.get("shed", 0)
SLOW_UNTIL = {}
LEAVING = asyncio.Event()


def log(what, request_id, **more):
    LOG.write(json.dumps({"what": what, "id": request_id, "server": ID, **more}) + "\n")
    LOG.flush()


async def answer(writer, status, fields, body=b""):
    fields = [*fields, ("Content-Length", str(len(body)))]
    if LEAVING.is_set():
        fields.append(("Connection", "close"))
    writer.write(http11.head_bytes(f"HTTP/1.1 {status} X", fields) + body)
    await writer.drain()


async def prefill(writer, request):
    request_id = request.get("x-request-id")
    handle = f"{len(HANDLES) + 1:012x}"
    HANDLES[handle] = request_id
    log("prefill", request_id, handle=handle, **BORN)
    body = {"kv_handle": handle, "tokens": 200, "version": 1, **BORN}
    fields = [("X-Request-Id", request_id), ("Content-Type", "application/json")]
    await answer(writer, 200, fields, json.dumps(body).encode())


async def fetch(source):
    """Fetch the memory under a handle; return whose it is, or None if it is gone."""
    address, _, handle = source.partition("/")
    host, _, port = address.partition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(http11.head_bytes(f"GET /fetch/{handle} HTTP/1.1", []))
        found = await http11.read_message(reader)
        writer.close()
    except OSError:
        return None
    if found is None or found.start[1] != "200":
        return None
    return found.body.decode()


async def wait_slow(reader):
    """Wait as long as a slow request takes; False if it is dropped before."""
    closed = asyncio.create_task(reader.read(1))
    await asyncio.wait({closed}, timeout=OPTIONS["slow_s"])
    dropped = closed.done() and not OPTIONS.get("goes_on")
    if closed.done() and not dropped:
        await asyncio.sleep(max(0.0, SLOW_UNTIL[reader] - time.monotonic()))
    closed.cancel()
    await asyncio.wait({closed})
    return not dropped


async def stream(reader, writer, request, fields):
    owner = request.get("x-request-id")
    is_slow = owner in OPTIONS.get("slow", ())
    if source := request.get("x-kv-source"):
        owner = await fetch(source)
        log("fetch", request.get("x-request-id"), source=source, owner=owner)
        if owner is None:
            await answer(writer, 503, [("X-Not-Executed", "1")])
            return
    first = int(request.get("last-event-id", "0") or "0") + 1
    log("run", request.get("x-request-id"), first=first, at=time.monotonic())
    if is_slow:
        SLOW_UNTIL[reader] = time.monotonic() + OPTIONS["slow_s"]
        if not await wait_slow(reader):
            log("end", request.get("x-request-id"), at=time.monotonic(), dropped=True)
            raise ConnectionError("the channel was closed")
    fields = [
        *fields,
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
    ]
    writer.write(http11.head_bytes("HTTP/1.1 200 OK", fields))
    for number in range(first, OPTIONS.get("events", 40) + 1):
        event = f"id: {number}\ndata: piece {number} of {owner}\n\n"
        if OPTIONS.get("comments"):
            event += ": 1 token\n\n"
        data = event.encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        if not is_slow:
            await writer.drain()
        await asyncio.sleep(OPTIONS.get("pause_s", 0.03))
    if is_slow:
        log("end", request.get("x-request-id"), at=time.monotonic())
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def respond(reader, writer, request):
    global SHED
    method, target, _ = request.start
    request_id = request.get("x-request-id")
    if request.get("x-expect-instance", ID) != ID:
        await answer(writer, 421, [("X-Instance-Id", ID)])
    elif target == "/v1/report":
        report = {
            "stage": STAGE,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "running": len(RUNNING),
            "kv_used": 1000 * len(RUNNING),
            "kv_total": 500000,
            "handles": len(HANDLES),
            "runs": [[name, 10, 1, 5] for name in RUNNING],
            **BORN,
        }
        await answer(
            writer,
            200,
            [("Content-Type", "application/json")],
            json.dumps(report).encode(),
        )
    elif target == "/health":
        status = 503 if LEAVING.is_set() else 200
        log("health", request_id, status=status)
        await answer(writer, status, [("X-Instance-Id", ID)])
    elif target == "/v1/order":
        await answer(writer, 400, [])
    elif target.startswith("/fetch/"):
        # Between servers; a handle is taken once.
        owner = HANDLES.get(target.rsplit("/", 1)[-1])
        if owner is None:
            await answer(writer, 404, [])
        else:
            HANDLES[target.rsplit("/", 1)[-1]] = None
            await answer(writer, 200, [], owner.encode())
    elif method == "DELETE":
        handle = target.rsplit("/", 1)[-1]
        log("free", request_id, handle=handle, owner=HANDLES.get(handle), **BORN)
        if handle in HANDLES:
            HANDLES[handle] = None
        await answer(writer, 200, [])
    elif request.get("x-stage") == "prefill":
        if STAGE == "prefill":
            await prefill(writer, request)
        else:
            await answer(writer, 421, [("X-Instance-Id", ID)])
    elif STAGE == "decode" and SHED:
        SHED -= 1
        log("shed", request_id)
        rest = ("Retry-After", str(OPTIONS["rest_s"]))
        fields = [("X-Request-Id", request_id), ("X-Not-Executed", "1"), rest]
        await answer(writer, 503, fields)
    else:
        seal = [("X-Request-Id", request_id), ("X-Response-Seal", f"seal.{ID}")]
        if STAGE is None:
            log("run", request_id, at=time.monotonic())
            await asyncio.sleep(OPTIONS.get("work_s", 0.02))
            await answer(writer, 200, seal, b"done " + request.body)
            return
        RUNNING.append(request_id)
        try:
            await stream(reader, writer, request, seal)
        finally:
            RUNNING.remove(request_id)


async def serve(reader, writer):
    try:
        extra = b""
        while (request := await http11.read_message(reader)) is not None:
            if extra:
                log("extra", request.get("x-request-id"), target=request.start[1])
            writer.write(extra)
            extra = b""
            request_id = request.get("x-request-id")
            await respond(reader, writer, request)
            if request_id in OPTIONS.get("extra", ()):
                fields = [
                    ("X-Request-Id", request_id),
                    ("X-Response-Seal", f"seal.{ID}"),
                    ("Content-Type", "text/event-stream"),
                    ("Content-Length", "21"),
                ]
                head = http11.head_bytes("HTTP/1.1 200 OK", fields)
                extra = head + b"id: 1\ndata: piece 1\n\n"
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, LEAVING.set)
    server = await asyncio.start_server(serve, OPTIONS["host"], OPTIONS["port"])
    print("ready", flush=True)
    await server.serve_forever()


asyncio.run(main())
