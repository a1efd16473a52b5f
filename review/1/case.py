"""MIXED: a request goes on from the handle of another request."""

import asyncio
import pathlib
import re
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import world as w  # noqa: E402

# A server writes its entry about every `heartbeat_ms` (1,200).
CHECK_IN_S = 1.2
DOWN_S = 1.0
# What a full engine asks for; an instance comes back up to half a second later.
REST_S = 1.8
SERVICES = [
    {
        "name": "lm",
        "health_path": "/health",
        "engine": {"slots": 32, "kv_tokens": 500000, "switch_s": 1.0},
    }
]
ROUTES = [
    {
        "name": "digest",
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


async def client(world, host, name, results):
    fields = [
        ("X-Request-Id", name),
        ("X-Model", "m"),
        ("X-Token-Counts", "9000,20"),
        ("X-Prompt-Prefix", f"5c1e07a2:500,{name[-8:]}:8500"),
        ("X-Deadline-Ms", "10000"),
    ]
    body = f"prompt of {name}".encode()
    status, _, got, complete = await w.request(
        host, w.CLIENTS, "POST", "/digest/2f", fields, body
    )
    owners = set(re.findall(r"data: piece \d+ of (\w+)", got.decode()))
    results[name] = owners
    text = f"client: {name} status {status} complete {complete} pieces of {owners}"
    world.record.write(text)


async def case(world):
    await world.start_store()
    world.configure(1, ROUTES, SERVICES)
    now_ms = round(time.time() * 1000)
    place = await world.start_server("i-read", "lm", "prefill", born=now_ms)
    for name in ("i-write1", "i-write2", "i-write3"):
        await world.start_server(
            name, "lm", "decode", events=20, born=now_ms, shed=2, rest_s=REST_S
        )
    hosts = [world.add_gateway(name) for name in ("gw-1", "gw-2")]
    for gateway in world.gateways.values():
        gateway["fields"]["peers"]["seeds"] = [f"{host}:{w.PEERS}" for host in hosts]
    for name in world.gateways:
        world.start_gateway(name)
    for name in world.gateways:
        await world.wait_ready(name)
    await asyncio.sleep(1.5)
    results = {}
    clients = []
    # Three requests at one instance find the decode engines full: these turn them away
    # and ask for a rest. Their prompts are read, and wait.
    for number in (1, 2, 3):
        name = f"{number:016x}"
        clients.append(asyncio.create_task(client(world, hosts[0], name, results)))
    await asyncio.sleep(0.2)
    if w.TROUBLE:
        world.servers["i-read"].kill()
        world.record.write("servers: i-read killed")
        await asyncio.sleep(DOWN_S)
        await world.start_server(
            "i-read",
            "lm",
            "prefill",
            host=place,
            list_after_s=CHECK_IN_S,
            born=round(time.time() * 1000),
        )
        world.record.write("servers: i-read started again under its id")
    else:
        await asyncio.sleep(DOWN_S)
    # Three more at the other instance, which hasn't been asked for a rest yet.
    for number in (4, 5, 6):
        name = f"{number:016x}"
        clients.append(asyncio.create_task(client(world, hosts[1], name, results)))
    await asyncio.gather(*clients)
    for name in world.servers:
        for entry in world.server_log(name):
            world.record.write(f"{name}: {entry}")
    if not any(results.values()):
        raise w.CannotRunError("no stream was served")
    broken = False
    for name, owners in results.items():
        if owners - {name}:
            world.record.write(f"check: {name} went on from the handle of {owners}")
            broken = True
    return broken


w.run(case, FOLDER)
