"""Peers of an entry instance: failure detection, views and acknowledgements."""
