"""Command that runs one gateway instance as a daemon."""

import asyncio
import os
import pathlib
import sys
from collections import abc

from pimentolatch import event_loop
from pimentolatch.gateway import process
from pimentolatch.platform import http_headers

__all__ = ["main", "run"]

_EXIT_INVALID_INPUT = 2

NewEventLoop = abc.Callable[[], asyncio.AbstractEventLoop]


def run(
    settings_file: pathlib.Path,
    new_event_loop: NewEventLoop = event_loop.InputFirstEventLoop,
) -> int:
    """Run until SIGTERM or SIGINT and return the exit code."""
    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            problems = runner.run(process.run_until_signal(settings_file))
    except OSError as error:
        print(f"could not start: {error}", file=sys.stderr)
        return _EXIT_INVALID_INPUT
    if problems is not None:
        print(problems, file=sys.stderr)
        return _EXIT_INVALID_INPUT
    return 0


def main(new_event_loop: NewEventLoop = event_loop.InputFirstEventLoop) -> None:
    """Run with the settings file named by an environment variable."""
    path = os.environ.get(http_headers.SETTINGS_VARIABLE)
    if path is None:
        print(
            f"{http_headers.SETTINGS_VARIABLE} is not set; "
            "it must name the settings file",
            file=sys.stderr,
        )
        sys.exit(_EXIT_INVALID_INPUT)
    sys.exit(run(pathlib.Path(path), new_event_loop))
