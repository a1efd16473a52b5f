"""Command line of `pimentolatch`."""
