"""Lets servers leave during outages of the store and counts late requests.

`python -m tests.outages --gateways 6` starts gateways as processes for each case, with
clients that keep their connections, and prints how many requests each of the servers
got more than two seconds after the store's word or its return, whichever came later.
"""

import argparse
import asyncio
import logging
import sys

from tests.support import outage_world

CASES = {
    "calm": lambda world: world.leave(),
    "rejected, they leave before": lambda world: world.reject_reads(4.0, 3.9),
    "rejected, they leave after": lambda world: world.reject_reads(4.0, 4.2),
    "rejected for long": lambda world: world.reject_reads(9.0, 8.9),
    "stopped, all expire": lambda world: world.expire_all(5.0, 1.5),
    "stopped for long, all expire": lambda world: world.expire_all(15.0, 1.9),
    "most leave": lambda world: world.leave_in_outage(4.0),
    "most leave, one is turned away": lambda world: world.leave_in_outage(
        4.0, turned_away=True
    ),
    "most leave, one comes back later": lambda world: world.leave_in_outage(
        4.0, turned_away=True, back_after_s=2.0
    ),
    "slow": lambda world: world.slow(3.0, 1.0),
}


def play(case, gateways, domains):
    """Play one case; returns the late requests by server, and the refused ones."""
    with asyncio.Runner() as runner:
        world = outage_world.Outages(runner)
        world.world.failure_domains = tuple(f"domain-{n}" for n in range(domains))
        world.start(gateways)
        try:
            runner.run(CASES[case](world))
            runner.run(world.watch_servers())
            return world.late(), world.endings()
        finally:
            runner.run(world.stop())


def main():
    """Play the cases; returns 1 if any request was late or not served."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--domains", type=int, default=1)
    parser.add_argument("--plays", type=int, default=1)
    parser.add_argument("--cases", nargs="+", choices=CASES, default=list(CASES))
    options = parser.parse_args()
    # Uvicorn logs an error each time the store is stopped while watches are waiting.
    logging.getLogger("uvicorn.error").disabled = True
    failures = 0
    for case in options.cases * options.plays:
        late, endings = play(case, options.gateways, options.domains)
        failures += sum(server.count for server in late) + endings.failed
        servers = ", ".join(
            f"{server.count} late at {server.server_id}"
            + (f" (last after {server.last_s:.2f} s)" if server.count else "")
            for server in late
        )
        failed = f"{endings.failed} of {endings.requests} requests failed"
        print(f"{case}: {servers}; {failed}", flush=True)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
