"""Clients and data formats of the platform's interfaces."""
