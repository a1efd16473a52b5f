"""Entry point for `python -m pimentolatch`."""

from pimentolatch.cli import commands

commands.main()
