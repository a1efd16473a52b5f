"""Stand-in for a server of routes: a decode engine, a prefill engine or a plain one.

One argument, a JSON object: `id`, `host`, `port`, `stage`, `log` and these options:
`events` and `pause_s` of a stream, `comments` (a comment line of the event-stream format
after each event), `work_s` (time to answer a plain request).
It writes a line to the log for each request that it gets.
"""

import asyncio
import json
import sys

import http11

OPTIONS = json.loads(sys.argv[1])
ID, STAGE = OPTIONS["id"], OPTIONS["stage"]
LOG = open(OPTIONS["log"], "a", encoding="utf-8")  # noqa: SIM115
RUNNING = set()
HANDLES = {}


def log(what, request_id, **more):
    LOG.write(json.dumps({"what": what, "id": request_id, "server": ID, **more}) + "\n")
    LOG.flush()


async def answer(writer, status, fields, body=b""):
    fields = [*fields, ("Content-Length", str(len(body)))]
    writer.write(http11.head_bytes(f"HTTP/1.1 {status} X", fields) + body)
    await writer.drain()


async def stream(writer, request, fields):
    first = int(request.get("last-event-id", "0") or "0") + 1
    log("run", request.get("x-request-id"), first=first)
    fields = [
        *fields,
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
    ]
    writer.write(http11.head_bytes("HTTP/1.1 200 OK", fields))
    for number in range(first, OPTIONS.get("events", 40) + 1):
        event = f"id: {number}\ndata: piece {number}\n\n"
        if OPTIONS.get("comments"):
            event += ": 1 token\n\n"
        data = event.encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()
        await asyncio.sleep(OPTIONS.get("pause_s", 0.03))
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def respond(writer, request):
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
        }
        await answer(
            writer,
            200,
            [("Content-Type", "application/json")],
            json.dumps(report).encode(),
        )
    elif target == "/health":
        await answer(writer, 200, [("X-Instance-Id", ID)])
    elif target == "/v1/order":
        await answer(writer, 400, [])
    elif method == "DELETE":
        HANDLES.pop(target.rsplit("/", 1)[-1], None)
        await answer(writer, 200, [])
    else:
        seal = [("X-Request-Id", request_id), ("X-Response-Seal", f"seal.{ID}")]
        if STAGE is None:
            log("run", request_id, body=request.body.decode("latin-1"))
            await asyncio.sleep(OPTIONS.get("work_s", 0.02))
            await answer(writer, 200, seal, b"done " + request.body)
            return
        RUNNING.add(request_id)
        try:
            await stream(writer, request, seal)
        finally:
            RUNNING.discard(request_id)


async def serve(reader, writer):
    try:
        while (request := await http11.read_message(reader)) is not None:
            await respond(writer, request)
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, OPTIONS["host"], OPTIONS["port"])
    print("ready", flush=True)
    await server.serve_forever()


asyncio.run(main())
