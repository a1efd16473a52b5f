"""Runs gateways as processes under random faults and checks the guarantees.

`python -m tests.soak --seeds 1-50` makes fifty runs. `--without NAME` switches one
safeguard off, which the checks must then detect. `--list` prints the safeguards.
`--pauses` lets servers fall silent for a second and go on, with planned changes only.
`--outages` lets the store reject reads or lose all entries while servers leave unsaid.
`--turned-away` has the store turn one gateway at a time away besides, for longer.
`--silence` lets connections fall silent and changes come, and nothing else, so that no
other fault gives an instance a new connection; every other run has one gateway only.
`--entries` has earlier check-ins of servers reach the store after their leaving, and
gateways stand still around it; one failure domain has a single gateway.
`--uneven` lets engines differ in speed and failure domains fall silent in turn.
`--paths` harms the paths between gateways, of which some learn only from others.
`--releases` has streams resumed at a gateway that knows the servers' versions late.
`--standstills` has gateways stand still while short limits are in force.
`--stops` has servers stand still and leave while gateways are stopped in turn.
`--copies` has servers refuse, and send copies of their answers where others are due.
Each run also prints how its requests ended.
"""

import argparse
import asyncio
import collections
import dataclasses
import logging
import pathlib
import shutil
import sys
import time

from tests.support import (
    safeguard_removal,
    soak_checks,
    soak_clients,
    soak_endings,
    soak_faults,
    soak_kinds,
)

# Once the last fault has ended, gateways have SETTLE_S to recover. Of the requests sent
# in the next RECOVERY_CHECK_S, at least MIN_SERVED_SHARE must succeed.
SETTLE_S = 5.0
RECOVERY_CHECK_S = 2.0
MIN_SERVED_SHARE = 0.9
FAILURES_FOLDER = pathlib.Path("build/soak")


@dataclasses.dataclass
class Result:
    """Outcome of one run; `violations` has one line for each broken guarantee."""

    seed: int
    requests: int
    served: int
    faults: int
    violations: list
    endings: collections.Counter


async def run_seed(
    seed,
    seconds,
    margin_s,
    kind=soak_kinds.STANDARD,
    disabled_safeguard=None,
    fatal=False,
):
    """Run gateways under the faults of one seed and check what clients received.

    Args:
        seed: Seed of the faults and of the clients' requests.
        seconds: Time for which new faults begin.
        margin_s: Added to the time bounds of the checks.
        kind: Kind of the run.
        disabled_safeguard: Name of a safeguard that the gateways run without.
        fatal: One client repeats a request that crashes each server that runs it.
    """
    world = kind.world(disabled_safeguard)
    clock = asyncio.get_running_loop().time
    kind.prepare(world, seed)
    clients = kind.clients(world, seed, clock)
    injector = kind.injector(world, clock, clients)
    faults = kind.draw(seed, seconds)
    stop = asyncio.Event()
    if fatal:
        world.fatal_body = soak_clients.FATAL_BODY
        clients.append(soak_clients.FatalClient(world, len(clients), seed, clock))
    try:
        await world.start(kind.gateway_count(seed), **kind.server_counts(seed))
        tasks = [asyncio.create_task(client.run(stop)) for client in clients]
        if fatal:
            tasks.append(asyncio.create_task(world.replace_crashed(stop)))
        await _inject_faults(injector, faults, clients, clock)
        await asyncio.sleep(SETTLE_S)
        recovered_at = clock()
        await asyncio.sleep(RECOVERY_CHECK_S)
        stop.set()
        await asyncio.gather(*tasks)
        seen_at_end = await kind.check_end(world)
        logs = world.logs()
    finally:
        await world.stop()
    attempts = [attempt for client in clients for attempt in client.attempts]
    servers = [*world.servers.values(), *world.removed_servers]
    injector.injected += [
        soak_faults.InjectedFault(
            soak_faults.CRASHED_BY_REQUEST, "", s.crashed_at, s.crashed_at
        )
        for s in servers
        if s.crashed
    ]
    endings = soak_endings.Endings(world, injector)
    violations = [*seen_at_end, *endings.violations(attempts)]
    violations += soak_checks.violations(
        attempts, servers, injector, logs, margin_s, endings.unanswerable
    )
    violations += soak_checks.quarantine_violations(
        attempts, servers, injector, margin_s
    )
    violations += kind.check(attempts, servers, injector, margin_s)
    after_faults = [
        attempt
        for attempt in attempts
        if attempt.sent_at >= recovered_at and attempt.body != soak_clients.FATAL_BODY
    ]
    succeeded = sum(attempt.served for attempt in after_faults)
    if not after_faults or succeeded < MIN_SERVED_SHARE * len(after_faults):
        violations.append(
            f"only {succeeded} of {len(after_faults)} were served after the faults"
        )
    if violations:
        _save_failure(seed, disabled_safeguard, violations, logs, world.relays.failures)
    served = sum(attempt.served for attempt in attempts)
    return Result(
        seed,
        len(attempts),
        served,
        len(injector.injected),
        violations,
        collections.Counter(endings.ending(attempt) for attempt in attempts),
    )


async def _inject_faults(injector, faults, clients, clock):
    """Inject each fault at its time and wait until the last one has ended."""
    started_at = clock()
    tasks = []
    for fault in faults:
        await asyncio.sleep(max(0.0, started_at + fault.at - clock()))
        tasks.append(asyncio.create_task(injector.inject(fault)))
        for client in clients:
            client.routes = injector.requested_routes()
    await asyncio.gather(*tasks)


def _save_failure(seed, disabled, violations, logs, relay_failures):
    folder = (
        FAILURES_FOLDER / f"seed-{seed}{'' if disabled is None else '-' + disabled}"
    )
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    (folder / "violations.txt").write_text("\n".join(violations), encoding="utf-8")
    (folder / "relays.txt").write_text("\n".join(relay_failures), encoding="utf-8")
    for name, text in logs.items():
        (folder / f"{name}.log").write_text(text, encoding="utf-8")


def _seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main():
    """Run the given seeds; returns 1 if any run violated a guarantee."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=_seeds, default=_seeds("1-3"))
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--margin", type=float, default=1.0)
    parser.add_argument("--fatal", action="store_true")
    parser.set_defaults(kind=soak_kinds.STANDARD)
    flags = parser.add_mutually_exclusive_group()
    for name, kind in soak_kinds.KINDS.items():
        flags.add_argument(f"--{name}", action="store_const", dest="kind", const=kind)
    parser.add_argument("--without", choices=sorted(safeguard_removal.SAFEGUARDS))
    parser.add_argument("--list", action="store_true")
    options = parser.parse_args()
    if options.list:
        print("\n".join(sorted(safeguard_removal.SAFEGUARDS)))
        return 0
    # Uvicorn logs an error each time the store is stopped while watches are waiting.
    logging.getLogger("uvicorn.error").disabled = True
    failed_runs = 0
    for seed in options.seeds:
        started_at = time.monotonic()
        coroutine = run_seed(
            seed,
            options.seconds,
            options.margin,
            options.kind,
            options.without,
            options.fatal,
        )
        result = asyncio.run(coroutine)
        failed_runs += bool(result.violations)
        print(
            f"seed {seed}: {result.requests} requests, {result.served} served, "
            f"{result.faults} faults, {len(result.violations)} violations, "
            f"{time.monotonic() - started_at:.0f} s",
            flush=True,
        )
        counts = sorted((end.value, count) for end, count in result.endings.items())
        print("    " + ", ".join(f"{count} {name}" for name, count in counts))
        for line in result.violations[:5]:
            print("   ", line)
    print(f"{len(options.seeds)} runs, {failed_runs} with violations")
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
