"""Promise 8: a planned stop is a graceful shutdown that breaks no request.

Runs real processes, since signals and sockets matter. Callers send one request after
another on keep-alive connections while their instance shuts down.
"""

import random
import threading

from standins import deployments, processes
from tests.support import fault_matrix, graceful_stop

__all__ = ["PROOF", "GracefulStop", "broken_requests"]

_SLOW_S = 0.5
_FREEZE_S = 0.8


class GracefulStop:
    """See `matrix.Proof`."""

    promise = 8
    faults = ("platform_out", "platform_slow", "engine_crash", "freeze")

    def run(
        self, faults: tuple[str, ...], seed: int, *, safeguards: bool = True
    ) -> fault_matrix.ProofRun:
        """Stop an instance under load; with `safeguards` off, kill it instead."""
        rng = random.Random(seed)

        def inject_faults(deployment: deployments.Deployment) -> None:
            for fault in faults:
                _inject(deployment, fault, rng)

        result = graceful_stop.run(inject_faults, graceful=safeguards)
        return fault_matrix.ProofRun(
            self.promise,
            faults,
            seed,
            len(result.exchanges),
            0,
            broken_requests(result),
            {graceful_stop.LAYOUT.domains[0]: result.longest_gap_s},
        )


def broken_requests(result: graceful_stop.StopResult) -> tuple[str, ...]:
    """Reject a request that got neither its complete response nor a refusal."""
    broken = tuple(
        f"{e.kind} at {e.entry}: {e.outcome}"
        for e in result.exchanges
        if e.outcome not in ("whole", "refused")
    )
    if result.exit_code != 0:
        broken += (f"the instance exited with code {result.exit_code}",)
    return broken


def _inject(deployment: deployments.Deployment, fault: str, rng: random.Random) -> None:
    if fault == "platform_out":
        command = {"kind": "hang"}
        processes.call("POST", deployment.platform_url + "/faults", command)
    elif fault == "platform_slow":
        command = {"kind": "slow", "seconds": _SLOW_S}
        processes.call("POST", deployment.platform_url + "/faults", command)
    else:
        engine = deployment.processes[rng.choice(deployment.engines)]
        if fault == "engine_crash":
            engine.kill()
        else:
            engine.suspend()
            threading.Timer(_FREEZE_S, engine.resume).start()


PROOF: fault_matrix.Proof = GracefulStop()
