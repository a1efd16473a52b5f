"""Serves one load on the emulator's engines and prints the results as JSON."""

import json
import sys

from benchmarks import mix, policies

__all__ = ["main"]


def main() -> None:
    """Serve the load given by the arguments DOMAIN PATTERN SEED."""
    domain, pattern, seed = sys.argv[1:4]
    engines = {"hakodate": 2, "sapporo-north": 3}[domain]
    load = mix.Load(mix.Case(0, domain, engines, pattern, int(seed)))
    outcome = load.simulate(mix.FIRST_SPLIT[engines], policies.Ours())
    result = {
        "worth": outcome.good / outcome.offered,
        "served": 1 - outcome.refused / outcome.offered,
        "orders": len(outcome.changes),
        "losses": {
            "late": outcome.late / outcome.offered,
            "refused": outcome.refused / outcome.offered,
        },
        "by_second": {
            str(second): float(good)
            for second, good in sorted(outcome.good_by_window.items())
        },
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
