"""ORDER: pieces come twice when an engine crashes that sends comments."""

import asyncio
import pathlib
import re
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import world as w  # noqa: E402

EVENTS = 40
SERVICES = [
    {
        "name": "lm",
        "health_path": "/health",
        "engine": {"slots": 64, "kv_tokens": 500000, "switch_s": 1.0},
    }
]
ROUTES = [
    {
        "name": "r-1",
        "host": "front.example",
        "path_prefix": "/digest/",
        "kind": "stream",
        "timeout_ms": 10000,
        "latency_target_ms": 800,
        "priority": 2,
        "service": "lm",
        "max_attempts": 2,
        "sticky": True,
        "resumable": True,
        "gap_target_ms": 250,
    }
]


async def client(world, host, number, results):
    name = f"{number:016x}"
    fields = [
        ("X-Request-Id", name),
        ("X-Model", "m"),
        ("X-Token-Counts", "200,40"),
        ("X-Prompt-Prefix", f"5c1e07a2:100,{number:08x}:100"),
        ("X-Deadline-Ms", "10000"),
    ]
    status, _, body, complete = await w.request(
        host, w.CLIENTS, "POST", "/digest/2f", fields, b"x" * 200
    )
    pieces = [int(n) for n in re.findall(rb"data: piece (\d+)", body)]
    results[name] = (status, complete, pieces)
    text = f"client: {name} status {status} complete {complete} pieces {pieces}"
    world.record.write(text)


async def case(world):
    await world.start_store()
    world.configure(1, ROUTES, SERVICES)
    engines = ["i-engine1", "i-engine2", "i-engine3", "i-engine4"]
    for name in engines:
        await world.start_server(
            name, "lm", "decode", events=EVENTS, pause_s=0.04, comments=True
        )
    host = world.add_gateway("gw-1")
    world.start_gateway("gw-1")
    await world.wait_ready("gw-1")
    results = {}
    clients = [
        asyncio.create_task(client(world, host, number, results))
        for number in range(1, 17)
    ]
    await asyncio.sleep(0.6)
    if w.TROUBLE:
        # One of four engines: srv_crash, share 0.25.
        busiest = max(engines, key=lambda name: len(world.server_log(name)))
        world.servers[busiest].kill()
        world.record.write(f"servers: {busiest} killed")
    await asyncio.gather(*clients)
    for name in engines:
        for entry in world.server_log(name):
            world.record.write(f"{name}: {entry}")
    broken = False
    for name, (status, complete, pieces) in results.items():
        if status != 200:
            continue
        wrong = pieces != sorted(set(pieces))
        wrong = wrong or (complete and pieces != list(range(1, EVENTS + 1)))
        if wrong:
            world.record.write(f"check: {name} pieces missing, twice or out of order")
        broken = broken or wrong
    served = sum(complete for _, complete, _ in results.values())
    world.record.write(f"check: {served} of {len(results)} streams complete")
    if served < len(results) // 2:
        raise w.CannotRunError("hardly any stream was served")
    return broken


w.run(case, FOLDER)
