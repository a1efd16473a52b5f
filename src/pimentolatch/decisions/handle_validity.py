"""Decides whether a KV handle may be used, by what is known of the engine that gave it.

Load pattern: the decode engines are full, so prefilled prompts wait for seconds, and a
prefill engine crashes meanwhile and starts again under its id. It may name the KV cache
of another request by the same handle. Engines do not check whose handle they are sent:
the client would get a whole answer to another client's prompt. The server list shows
the restart with the engine's next check-in, up to seconds later.

A connection does not outlive the process at its other end, so while the connection that
the handle was received over is open, its engine has most likely not restarted. If that
connection has closed, the engine is asked. An engine also closes connections while it
runs, and says so before; a handle that has just been received is used all the same.
Closed without notice and with no proof from the engine, the prompt is prefilled again:
that costs the time of a prefill, the alternative costs two clients their privacy.

A connection to a host that lost power looks open. So an engine is also asked about a
handle that has waited for long. That costs a call that takes no slot, and is rare: a
handle is mostly sent within milliseconds.
"""

import dataclasses
import datetime
import enum

__all__ = ["Evidence", "Proof", "Validity", "is_doubtful", "judge", "may_use"]

# Far below the time in which a host restarts.
_TRUSTED_FOR = datetime.timedelta(milliseconds=500)


class Validity(enum.Enum):
    """Whether a handle may be used."""

    VALID = "valid"
    UNCERTAIN = "uncertain"
    INVALID = "invalid"


class Proof(enum.Enum):
    """What an engine's answer proves, as the log names it."""

    SAME_INCARNATION = "the engine has not started again"
    OTHER_INCARNATION = "the engine has started again"
    CONNECTION_LOST = "the connection to the engine was lost"
    NONE = "no proof from the engine"


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of the engine that gave a handle, without asking it.

    Attributes:
        replaced: A later incarnation of the engine is listed.
        connected: The connection that last reached this incarnation is open.
        close_announced: Its last response said that the engine would close it.
        unproven_for: Time since this incarnation last answered.
    """

    replaced: bool
    connected: bool
    close_announced: bool
    unproven_for: datetime.timedelta


def is_doubtful(evidence: Evidence) -> bool:
    """Tell whether something speaks against a handle, besides its age."""
    if evidence.replaced:
        return True
    return not evidence.connected and not evidence.close_announced


def judge(evidence: Evidence) -> Validity:
    """Return whether a handle may be used; ask its engine if that is uncertain."""
    if evidence.replaced:
        return Validity.INVALID
    if is_doubtful(evidence) or evidence.unproven_for > _TRUSTED_FOR:
        return Validity.UNCERTAIN
    return Validity.VALID


def may_use(evidence: Evidence, proof: Proof) -> bool:
    """Tell whether an uncertain handle may be used after its engine was asked.

    An engine that does not answer may be overloaded, or have only busy connections.
    """
    if proof is Proof.NONE:
        return evidence.connected
    return proof is Proof.SAME_INCARNATION
