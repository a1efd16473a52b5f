"""Serves language models on a fixed fleet of engines under changing load."""

__all__ = ["__version__"]

__version__ = "0.1.0"
