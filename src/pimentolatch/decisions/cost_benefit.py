"""Weighs what staying in the present roles loses against what a change costs.

Load pattern: a wave of long prompts that may be over in half a minute or stay for
hours; nobody knows which when it begins. Whoever reacts at once pays for changes that
come too late, whoever waits for certainty loses the answers meanwhile. Waiting until
the loss equals the price is never much worse than twice the best in hindsight.

Everything is counted in answers: that is what callers miss.
"""

import itertools
from collections import abc

from pimentolatch.decisions import demand, engine_states, overload_model
from pimentolatch.document import schema

__all__ = ["CostBenefit"]

# Samples that stand for the demand while an engine is away.
_RECENT_SAMPLES = 6


class CostBenefit:
    """Gains and prices of changes, by the demand that the present engines answered.

    Samples from before an engine last came, went or changed were answered by others.
    Were they counted, an engine that is drained for half a minute would look as if it
    had been missing for all of them, and its absence would earn a change at once.
    """

    def __init__(
        self,
        engines: abc.Sequence[engine_states.EngineState],
        samples: abc.Sequence[demand.Sample],
        policy: schema.RolePolicy,
    ) -> None:
        last = engine_states.last_change(engines)
        self._engines = engines
        self._policy = policy
        self._newest_first = [s for s in reversed(samples) if s.at > last]
        self._recent = self._newest_first[:_RECENT_SAMPLES]
        self._staying_losses = _losses(engines, self._newest_first)

    def may_pay_off(self) -> bool:
        """Tell whether any change could earn its price; spares looking at each one."""
        lost = sum(
            loss * sample.length_s
            for loss, sample in zip(
                self._staying_losses, self._newest_first, strict=True
            )
        )
        return lost > self._change_weight()

    def gain(self, after: abc.Sequence[engine_states.EngineState]) -> float:
        """Return the answers lost by staying since a shift began.

        The sum over the samples up to now, from the start that makes it largest: a
        cumulative-sum test for a shift whose start is not known.

        Args:
            after: The engines as they would be.
        """
        changed = _losses(after, self._newest_first)
        gains = (
            (stay - change) * sample.length_s
            for stay, change, sample in zip(
                self._staying_losses, changed, self._newest_first, strict=True
            )
        )
        return max(itertools.accumulate(gains), default=0.0)

    def cost(self, engine: str) -> float:
        """Return what a change of an engine costs, in answers.

        While it drains and changes, the others carry its work as well as they can;
        that is counted with the demand of the last samples. The document's weight
        adds seconds of one engine's answers.
        """
        if not self._recent:
            return 0.0
        others = [state for state in self._engines if state.engine.name != engine]
        lost = sum(_losses(others, self._recent)) - sum(
            self._staying_losses[: len(self._recent)]
        )
        (state,) = [state for state in self._engines if state.engine.name == engine]
        unavailable_s = self._policy.change_cost_s + self._drain_s(state)
        return (
            max(0.0, lost / len(self._recent)) * unavailable_s + self._change_weight()
        )

    def _change_weight(self) -> float:
        if not self._recent:
            return 0.0
        request_rate = sum(sample.requests for sample in self._recent) / len(
            self._recent
        )
        return self._policy.change_weight * request_rate / len(self._engines)

    def _drain_s(self, state: engine_states.EngineState) -> float:
        """Return how long the engine's last streams take, in seconds."""
        requests = sum(sample.requests for sample in self._recent)
        if not requests or state.role == "prefill":
            return 0.0
        tokens = sum(sample.output for sample in self._recent) / requests
        return tokens * state.engine.streams / state.engine.decode_tokens_per_s


def _losses(
    engines: abc.Iterable[engine_states.EngineState],
    samples: abc.Iterable[demand.Sample],
) -> list[float]:
    speeds = [
        overload_model.EngineSpeed(
            state.role,
            state.engine.prefill_tokens_per_s,
            state.engine.decode_tokens_per_s,
        )
        for state in engine_states.settled(engines)
    ]
    return [overload_model.lost_answers(speeds, sample) for sample in samples]
