"""DRAIN: a server that has left is used again, by an instance started since."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import world as w  # noqa: E402

DRAIN_S, CONTACT_S = 2.0, 3.0
# The store loses answers until LOST_UNTIL; one call is carried out LATE_S later.
LOST_UNTIL, LATE_S = 4.5, 6.0
LEAVES_AT = 7.6
STOPPED_AT, STARTED_AT = 5.0, 7.8
EXITS_AT = 13.0
END = 15.0
ROUTES = [
    {
        "name": "print",
        "host": "front.example",
        "path_prefix": "/print/",
        "kind": "unsafe",
        "timeout_ms": 1000,
        "latency_target_ms": 125,
        "priority": 2,
        "service": "app",
        "max_attempts": 1,
    }
]


async def client(world, host, number, answers):
    count = 0
    while True:
        count += 1
        name = f"{number:08x}{count:08x}"
        fields = [("X-Request-Id", name), ("X-Deadline-Ms", "1000")]
        status, _, _, _ = await w.request(
            host, w.CLIENTS, "POST", "/print/2f", fields, name.encode(), timeout_s=1.0
        )
        answers[name] = status
        await asyncio.sleep(0.1)


async def case(world):
    await world.start_store()
    world.configure(1, ROUTES, [{"name": "app", "health_path": "/health"}])
    for name in ("i-app1", "i-app2"):
        await world.start_server(name, "app", work_s=0.05)
    host = world.add_gateway("gw-1")
    world.start_gateway("gw-1")
    await world.wait_ready("gw-1")
    begun = time.monotonic()
    answers = {}
    clients = [
        asyncio.create_task(client(world, host, number, answers)) for number in range(20)
    ]

    async def at(moment):
        await asyncio.sleep(max(0.0, begun + moment - time.monotonic()))

    # The third server starts; its first check-in gets no answer, the second one does.
    await at(LOST_UNTIL - 0.1)
    if w.TROUBLE:
        world.record.write("store: check-in 1 of i-app3 gets no answer")
    await at(LOST_UNTIL + 0.1)
    await world.start_server("i-app3", "app", work_s=0.05)
    entry = world.store.objects["servers", "i-app3"]["spec"]
    await at(STOPPED_AT)
    gateway = world.gateways["gw-1"]["popen"]
    if w.TROUBLE:
        world.signal("gw-1", signal.SIGTERM)
    await at(LEAVES_AT)
    world.servers["i-app3"].send_signal(signal.SIGUSR1)
    world.store.remove("servers", "i-app3")
    left = time.monotonic()
    world.record.write("store: entry of i-app3 removed; it serves on, and then exits")
    await at(STARTED_AT)
    started = time.monotonic()
    if w.TROUBLE:
        while gateway.poll() is None:
            await asyncio.sleep(0.02)
        started = time.monotonic()
        world.start_gateway("gw-1")
        await world.wait_ready("gw-1")
        world.record.write("check: gw-1 is ready again")
    await at(LOST_UNTIL - 0.1 + LATE_S)
    if w.TROUBLE:
        # Its condition holds: there is no such object. It was check-in 1.
        world.store.write("servers", "i-app3", entry | {"sequence": 1})
        world.record.write("store: check-in 1 of i-app3 is carried out now")
    await at(EXITS_AT)
    world.servers["i-app3"].kill()
    world.record.write("servers: i-app3 exits")
    await at(LOST_UNTIL + LATE_S + 3.6)
    world.store.remove("servers", "i-app3")
    await at(END)
    for task in clients:
        task.cancel()
    in_touch = started + CONTACT_S
    late = []
    for found in world.server_log("i-app3"):
        if found["what"] == "health":
            world.record.write(f"i-app3: {found}")
        if found["what"] != "run":
            continue
        after = found["at"] - left
        if found["at"] > in_touch and after > DRAIN_S:
            late.append(found["id"])
            world.record.write(
                f"check: {found['id']} reaches i-app3 {after:.2f} s after its removal,"
                f" {found['at'] - started:.2f} s after the instance's start;"
                f" its client got {answers.get(found['id'], 0)}"
            )
    lost = sum(answers.get(name) != 200 for name in late)
    world.record.write(f"check: {len(late)} requests late, {lost} of them not answered")
    if sum(status == 200 for status in answers.values()) < len(answers) // 3:
        raise w.CannotRunError("hardly any request was served")
    return bool(late)


w.run(case, FOLDER)
