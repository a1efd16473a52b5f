"""Long-lived tasks that go on after a fault in them."""

import datetime
import typing
from collections import abc

import logbook

from pimentolatch import clock

__all__ = ["keep_running"]

_log = logbook.Logger("tasks")
_RESTART_DELAY = datetime.timedelta(seconds=1)


async def keep_running(
    name: str,
    work: typing.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]],
    time: clock.Clock,
) -> None:
    """Run work that should never end; start it again when it fails.

    A task that ends by an exception ends silently. The instance would go on serving and
    never learn of a document, a view or a leaving server again. Started again it does
    its work as soon as what it stumbled over (an object that it can't read, say) is
    gone, and the log shows the reason until then.
    """
    while True:
        try:
            await work()
        except Exception:
            _log.exception("task failed and is started again", task=name)
        await time.sleep(_RESTART_DELAY)
