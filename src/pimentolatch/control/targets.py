"""What each engine is meant to be, from the document, its slot and the planner."""

from pimentolatch.backend import order_client
from pimentolatch.control import slots
from pimentolatch.document import schema

__all__ = ["current_role", "intended_role", "is_met", "needs_load", "target_of"]


def intended_role(engine: schema.Engine, slot: slots.Slot) -> schema.Role:
    """Return the role an engine is meant to have.

    The planner's choice stands in the slot. It gives way to the document when the
    engine is pinned or when the document's role has been changed since.
    """
    if engine.pinned or slot.role is None or slot.document_role != engine.role:
        return engine.role
    return slot.role


def current_role(engine: schema.Engine, slot: slots.Slot) -> schema.Role:
    """Return the role that the last order gave an engine."""
    return engine.role if slot.order is None else slot.order.target.role


def target_of(
    document: schema.FleetDocument, engine: schema.Engine, slot: slots.Slot
) -> slots.Target:
    """Return the whole state an engine is meant to be in."""
    versions = {model.name: model.version for model in document.models}
    models = tuple(sorted((name, versions[name]) for name in engine.models))
    return slots.Target(intended_role(engine, slot), models)


def is_met(state: order_client.EngineState, target: slots.Target) -> bool:
    """Tell whether an engine is in its intended state and at rest."""
    same = state.role == target.role and state.models == target.models
    return same and not state.changing


def needs_load(state: order_client.EngineState, target: slots.Target) -> bool:
    """Tell whether reaching the target fetches weights from the weight store."""
    return not set(target.models) <= set(state.models)
