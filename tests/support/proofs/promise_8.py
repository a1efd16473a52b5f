"""Promise 8: a planned stop is a graceful shutdown: it cuts no request.

Real processes, since signals and sockets matter: callers send one request after
another on kept connections while their instance is told to stop.
"""

import random
import threading

from standins import deployments, processes
from tests.support import matrix, stopping

__all__ = ["PROOF", "GracefulStop", "cuts"]

_SLOW_S = 0.5
_FREEZE_S = 0.8


class GracefulStop:
    """See `matrix.Proof`."""

    promise = 8
    faults = ("platform_out", "platform_slow", "engine_crash", "freeze")

    def run(
        self, faults: tuple[str, ...], seed: int, *, safeguards: bool = True
    ) -> matrix.ProofRun:
        """Stop an instance under requests; without the safeguard it is killed."""
        rng = random.Random(seed)

        def disturb(deployment: deployments.Deployment) -> None:
            for fault in faults:
                _bring_about(deployment, fault, rng)

        seen = stopping.run(disturb, graceful=safeguards)
        return matrix.ProofRun(
            self.promise,
            faults,
            seed,
            len(seen.exchanges),
            0,
            cuts(seen),
            {stopping.LAYOUT.domains[0]: seen.longest_gap_s},
        )


def cuts(seen: stopping.Seen) -> tuple[str, ...]:
    """Reject a request that ended in anything but its answer or a true refusal."""
    cut = tuple(
        f"{e.kind} at {e.entry}: {e.outcome}"
        for e in seen.exchanges
        if e.outcome not in ("whole", "refused")
    )
    if seen.exit_code != 0:
        cut += (f"the instance ended with {seen.exit_code}",)
    return cut


def _bring_about(
    deployment: deployments.Deployment, fault: str, rng: random.Random
) -> None:
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


PROOF: matrix.Proof = GracefulStop()
