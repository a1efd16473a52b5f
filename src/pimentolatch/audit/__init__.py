"""Audit trail of changes, in the platform's store."""
