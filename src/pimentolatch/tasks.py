"""Background tasks that are restarted after an exception."""

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
    """Run work that should never end; restart it whenever it fails or returns.

    An exception ends an asyncio task silently: the instance would go on serving but
    never again receive a document, a view or notice of a leaving server. With restarts,
    the work resumes once the cause (such as an unreadable object) is removed; until
    then each failure is logged.
    """
    while True:
        try:
            await work()
        except Exception:
            _log.exception("task failed and is started again", task=name)
        await time.sleep(_RESTART_DELAY)
