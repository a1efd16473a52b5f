"""Clients of backend servers, one per kind, and of other instances."""
