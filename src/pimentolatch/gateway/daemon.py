"""The daemon of one instance that serves routes."""

import asyncio
import os
import pathlib
import sys

from pimentolatch import checks, logs
from pimentolatch.gateway import process, settings
from pimentolatch.platform import heads

__all__ = ["main", "run"]

_EXIT_INVALID_INPUT = 2


def run(settings_file: pathlib.Path) -> int:
    """Run until SIGTERM and return the exit code."""
    chosen = checks.read_file(settings.GatewaySettings, settings_file)
    if isinstance(chosen, checks.Problems):
        print(chosen, file=sys.stderr)
        return _EXIT_INVALID_INPUT
    logs.set_up(chosen.logs.level, chosen.instance)
    try:
        asyncio.run(process.run_until_signal(chosen))
    except OSError as error:
        print(f"could not start: {error}", file=sys.stderr)
        return _EXIT_INVALID_INPUT
    return 0


def main() -> None:
    """Run with the settings file that the environment names."""
    path = os.environ.get(heads.SETTINGS_VARIABLE)
    if path is None:
        print(f"{heads.SETTINGS_VARIABLE} names no settings file", file=sys.stderr)
        sys.exit(_EXIT_INVALID_INPUT)
    sys.exit(run(pathlib.Path(path)))
