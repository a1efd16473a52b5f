"""Runs gateways as processes under drawn faults and checks what clients saw.

`python -m tests.soak --seeds 1-50` plays fifty runs; `--without NAME` switches one
safeguard off, which the checks must then notice; `--list` names the safeguards.
"""

import argparse
import asyncio
import dataclasses
import logging
import pathlib
import shutil
import sys
import time

from tests.support import soak_checks, soak_clients, soak_faults, soak_world, unsafe

GATEWAYS = 4
CLIENTS = 12
OFTEN_S = 0.4
# Calm at the end: requests must be served again.
SETTLE_S = 5.0
CALM_S = 2.0
SERVED_AGAIN = 0.9
FAILED = pathlib.Path("build/soak")


@dataclasses.dataclass
class Result:
    """What one run showed."""

    seed: int
    requests: int
    served: int
    faults: int
    violations: list


async def play(seed, seconds, margin_s, without=None, fatal=False):
    """Play one run and return what it showed.

    Args:
        seed: Draws the faults and what clients ask.
        seconds: How long faults come.
        margin_s: Added to bounds on time.
        without: A safeguard to be switched off.
        fatal: One client repeats a request that ends the servers which run it.
    """
    world = _world(without)
    clock = asyncio.get_running_loop().time
    striker = soak_faults.Striker(world, clock)
    faults = soak_faults.draw(seed, seconds, OFTEN_S)
    clients = [
        soak_clients.Client(world, number, seed * 1000 + number, clock)
        for number in range(CLIENTS)
    ]
    stop = asyncio.Event()
    if fatal:
        world.fatal_body = soak_clients.FATAL_BODY
        clients.append(soak_clients.FatalClient(world, CLIENTS, seed, clock))
    try:
        await world.start(GATEWAYS)
        running = [asyncio.create_task(client.run(stop)) for client in clients]
        if fatal:
            running.append(asyncio.create_task(world.replace_ended(stop)))
        await _strike(striker, faults, clients, clock)
        await asyncio.sleep(SETTLE_S)
        calm_from = clock()
        await asyncio.sleep(CALM_S)
        stop.set()
        await asyncio.gather(*running)
        logs = world.logs()
    finally:
        await world.stop()
    seen = [item for client in clients for item in client.seen]
    servers = [*world.servers.values(), *world.gone]
    striker.struck += [
        soak_faults.Struck(soak_faults.SERVER_ENDS, "", s.crashed_at, s.crashed_at)
        for s in servers
        if s.crashed
    ]
    found = list(soak_checks.violations(seen, servers, striker, logs, margin_s))
    found += soak_checks.fatal_requests(seen, servers, striker, margin_s)
    calm = [
        item
        for item in seen
        if item.sent >= calm_from and item.body != soak_clients.FATAL_BODY
    ]
    good = sum(item.status == 200 and item.whole for item in calm)
    if not calm or good < SERVED_AGAIN * len(calm):
        found.append(f"only {good} of {len(calm)} were served after the faults")
    if found:
        _keep(seed, without, found, logs)
    served = sum(item.status == 200 and item.whole for item in seen)
    return Result(seed, len(seen), served, len(striker.struck), found)


def _world(without):
    if without is None:
        return soak_world.SoakWorld()
    return soak_world.SoakWorld("tests.support.unsafe", (without,))


async def _strike(striker, faults, clients, clock):
    """Carry the faults out, each at its time, and wait for the last one's end."""
    began = clock()
    tasks = []
    for fault in faults:
        await asyncio.sleep(max(0.0, began + fault.at - clock()))
        tasks.append(asyncio.create_task(striker.strike(fault)))
        for client in clients:
            client.places = [*soak_clients.PLACES, *striker.added]
    await asyncio.gather(*tasks)


def _keep(seed, without, found, logs):
    folder = FAILED / f"seed-{seed}{'' if without is None else '-' + without}"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    (folder / "violations.txt").write_text("\n".join(found), encoding="utf-8")
    for name, text in logs.items():
        (folder / f"{name}.log").write_text(text, encoding="utf-8")


def _seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main():
    """Play the runs that were asked for; non-zero if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=_seeds, default=_seeds("1-3"))
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--margin", type=float, default=1.0)
    parser.add_argument("--fatal", action="store_true")
    parser.add_argument("--without", choices=sorted(unsafe.SAFEGUARDS))
    parser.add_argument("--list", action="store_true")
    chosen = parser.parse_args()
    if chosen.list:
        print("\n".join(sorted(unsafe.SAFEGUARDS)))
        return 0
    # The store's stand-in is stopped with watches waiting, again and again.
    logging.getLogger("uvicorn.error").disabled = True
    broken = 0
    for seed in chosen.seeds:
        began = time.monotonic()
        played = play(seed, chosen.seconds, chosen.margin, chosen.without, chosen.fatal)
        result = asyncio.run(played)
        broken += bool(result.violations)
        print(
            f"seed {seed}: {result.requests} requests, {result.served} served, "
            f"{result.faults} faults, {len(result.violations)} violations, "
            f"{time.monotonic() - began:.0f} s",
            flush=True,
        )
        for line in result.violations[:5]:
            print("   ", line)
    print(f"{len(chosen.seeds)} runs, {broken} with a broken promise")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
