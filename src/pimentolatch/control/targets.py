"""Target state of each engine, from the document, its slot and the planner."""

from pimentolatch.backend import order_client
from pimentolatch.control import slots
from pimentolatch.document import schema

__all__ = ["current_role", "intended_role", "is_met", "needs_load", "target_of"]


def intended_role(engine: schema.Engine, slot: slots.Slot) -> schema.Role:
    """Return the target role of an engine.

    The slot has the role that the planner chose. The document takes precedence if the
    engine is pinned or if the document's role has changed since.
    """
    if engine.pinned or slot.role is None or slot.document_role != engine.role:
        return engine.role
    return slot.role


def current_role(engine: schema.Engine, slot: slots.Slot) -> schema.Role:
    """Return the role set by the last order, or the document's role without one."""
    return engine.role if slot.order is None else slot.order.target.role


def target_of(
    document: schema.FleetDocument, engine: schema.Engine, slot: slots.Slot
) -> slots.Target:
    """Return the full target state of an engine."""
    versions = {model.name: model.version for model in document.models}
    models = tuple(sorted((name, versions[name]) for name in engine.models))
    return slots.Target(intended_role(engine, slot), models)


def is_met(state: order_client.EngineState, target: slots.Target) -> bool:
    """Return whether an engine is in its target state with no change running."""
    same = state.role == target.role and state.models == target.models
    return same and not state.changing


def needs_load(state: order_client.EngineState, target: slots.Target) -> bool:
    """Return whether a change to the target fetches weights from the weight store."""
    return not set(target.models) <= set(state.models)
