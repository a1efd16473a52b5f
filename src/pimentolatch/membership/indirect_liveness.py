"""Reports on incarnations from which another peer gets no messages.

They avoid false suspicion when only the link between two instances fails.
"""

import datetime
from collections import abc

from pimentolatch.membership import acknowledgements, failure_detector
from pimentolatch.protocol import messages

__all__ = ["receive", "report"]

_MILLISECOND = datetime.timedelta(milliseconds=1)


def report(
    queried: abc.Iterable[str],
    known: failure_detector.FailureDetector,
    acknowledged: acknowledgements.AcknowledgementTable,
) -> tuple[messages.LivenessEntry, ...]:
    """Return an entry for each queried incarnation that is reachable from here."""
    found = []
    for incarnation in queried:
        age = known.message_age(incarnation)
        if age is not None and known.is_reachable(incarnation):
            age_ms = max(0, int(age / _MILLISECOND))
            numbers = acknowledged.numbers_of(incarnation)
            found.append(messages.LivenessEntry(incarnation, age_ms, numbers))
    return tuple(found)


def receive(
    message: messages.LivenessReport,
    known: failure_detector.FailureDetector,
    acknowledged: acknowledgements.AcknowledgementTable,
) -> None:
    """Record a peer's report of reachable incarnations and their acknowledgements."""
    for item in message.entries:
        known.record_indirect(item.incarnation, item.age_ms * _MILLISECOND)
        for view in item.views:
            acknowledged.acknowledge(item.incarnation, view.failure_domain, view.number)
