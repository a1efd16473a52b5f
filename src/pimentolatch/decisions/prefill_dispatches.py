"""Chooses where a long prompt is read, once it is known where it is answered.

Load pattern: engines in the role prefill beside engines that answer. Without this the
first stand idle while the second read briefings between their streams. `prefill` holds
the comparison; here it meets the work that instances count.
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
    """Prompts that are read apart, by request.

    Args:
        counted: Counts the prompts as work of the engines that read them.
        load: Returns the work at an engine from all instances that are heard.
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
        asked: request_work.Work,
    ) -> schema.Engine | None:
        """Return the engine that should read the prompt; None to read it in place."""
        if not prefill_engines:
            return None
        loads = [
            decode_engine,
            *(self.load_of(engine, "prefill") for engine in prefill_engines),
        ]
        prompt = disaggregation.RequestSize(asked.prompt_tokens, asked.output_tokens)
        path = disaggregation.choose_path(prompt, loads, _costs(document, model))
        if not isinstance(path, disaggregation.Disaggregated):
            return None
        return next(e for e in prefill_engines if e.name == path.prefill_engine)

    def load_of(
        self, engine: schema.Engine, role: schema.Role, cached_tokens: int = 0
    ) -> disaggregation.EngineLoad:
        """Return what is known of an engine, as `prefill` needs it."""
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
        """Count a prompt as sent to the engine that reads it."""
        prefill = _Prefill(engine.name, request_work.Work(tokens, 0))
        self._prefills[request_id] = prefill
        self._outstanding.begin(prefill.engine, prefill.left)

    def end(self, request_id: str) -> None:
        """Count a prompt as read or given up; harmless if it was not read apart."""
        prefill = self._prefills.pop(request_id, None)
        if prefill is not None:
            self._outstanding.end(prefill.engine, prefill.left)


def _costs(document: schema.FleetDocument, model: str) -> disaggregation.Costs:
    size = next(m.kv_bytes_per_token for m in document.models if m.name == model)
    return disaggregation.Costs(size, document.routing.kv_bytes_per_s)
