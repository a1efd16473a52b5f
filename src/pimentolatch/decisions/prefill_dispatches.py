"""Chooses the prefill engine of a request whose decode engine is known.

Load pattern: engines with the role prefill beside engines that decode. Without this
module the former stand idle while the latter prefill long prompts between the steps of
their streams. `disaggregation` compares the two paths; this module feeds it the work
that instances count.
"""

import dataclasses
from collections import abc

from pimentolatch.decisions import disaggregation, outstanding_work, request_work
from pimentolatch.document import schema

__all__ = ["PrefillDispatches"]


@dataclasses.dataclass(frozen=True, slots=True)
class _Prefill:
    engine: str
    left: request_work.Work


class PrefillDispatches:
    """Dispatches of prompts to prefill engines, by request.

    Args:
        outstanding: Counts the prompts as work of their prefill engines.
        load: Returns the work at an engine, as reported by all instances.
    """

    def __init__(
        self,
        outstanding: outstanding_work.OutstandingWork,
        load: abc.Callable[[str], outstanding_work.Load],
    ) -> None:
        self._outstanding = outstanding
        self._load = load
        self._prefills: dict[str, _Prefill] = {}

    def choose(
        self,
        document: schema.FleetDocument,
        model: str,
        decode_engine: disaggregation.EngineLoad,
        prefill_engines: abc.Sequence[schema.Engine],
        work: request_work.Work,
    ) -> schema.Engine | None:
        """Return the prefill engine of a request; None to colocate it with decode."""
        if not prefill_engines:
            return None
        loads = [
            decode_engine,
            *(self.load_of(engine, "prefill") for engine in prefill_engines),
        ]
        prompt = disaggregation.RequestSize(work.prompt_tokens, work.output_tokens)
        path = disaggregation.choose_path(prompt, loads, _costs(document, model))
        if not isinstance(path, disaggregation.Disaggregated):
            return None
        return next(e for e in prefill_engines if e.name == path.prefill_engine)

    def load_of(
        self, engine: schema.Engine, role: schema.Role, cached_tokens: int = 0
    ) -> disaggregation.EngineLoad:
        """Return the load of an engine in the form that `disaggregation` needs."""
        load = self._load(engine.name)
        return disaggregation.EngineLoad(
            engine.name,
            role,
            engine.streams,
            engine.prefill_tokens_per_s,
            engine.decode_tokens_per_s,
            load.streams,
            load.prompt_tokens,
            load.output_tokens,
            cached_tokens,
        )

    def begin(self, request_id: str, engine: schema.Engine, tokens: int) -> None:
        """Count a prompt as dispatched to its prefill engine."""
        prefill = _Prefill(engine.name, request_work.Work(tokens, 0))
        self._prefills[request_id] = prefill
        self._outstanding.begin(prefill.engine, prefill.left)

    def end(self, request_id: str) -> None:
        """Count a prefill as ended or abandoned; no effect if there was none."""
        prefill = self._prefills.pop(request_id, None)
        if prefill is not None:
            self._outstanding.end(prefill.engine, prefill.left)


def _costs(document: schema.FleetDocument, model: str) -> disaggregation.Costs:
    size = next(m.kv_bytes_per_token for m in document.models if m.name == model)
    return disaggregation.Costs(size, document.routing.kv_bytes_per_s)
