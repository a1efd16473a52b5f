"""Weighs what staying in the present roles loses against what a change costs.

Load pattern: a wave of long prompts that may end in half a minute or last for hours,
which is unknown when it begins. Reacting at once pays for changes that come too late;
waiting for certainty loses answers meanwhile. Waiting until the loss equals the cost is
never much worse than twice the best decision in hindsight.

Gains and costs are counted in answers, since that is what callers lose.
"""

import itertools
from collections import abc

from pimentolatch.decisions import demand, engine_states, overload_model
from pimentolatch.document import schema

__all__ = ["CostBenefit"]

# Latest samples, which stand for the demand while an engine is unavailable.
_RECENT_SAMPLES = 6


class CostBenefit:
    """Gains and costs of role changes, from the demand served by the present engines.

    Samples from before an engine last joined, left or changed were served by a
    different set of engines. If they were counted, an engine that is drained for half a
    minute would look as if it had been missing during all of them, and its absence
    would justify a change at once.
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
        """Return whether any change could pay off.

        If not, the caller need not evaluate each change.
        """
        lost = sum(
            loss * sample.length_s
            for loss, sample in zip(
                self._staying_losses, self._newest_first, strict=True
            )
        )
        return lost > self._change_weight()

    def gain(self, after: abc.Sequence[engine_states.EngineState]) -> float:
        """Return the answers lost by staying since a shift began.

        This is the sum over the samples up to now, from the start that makes it
        largest: a cumulative-sum (CUSUM) test for a shift whose start is unknown.

        Args:
            after: The engines as they would be after the change.
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
        """Return the cost of changing an engine, in answers.

        While it drains and changes, the other engines take over its work as far as they
        can; this loss is computed from the demand of the latest samples. The document's
        change weight adds seconds of one engine's answers.
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
