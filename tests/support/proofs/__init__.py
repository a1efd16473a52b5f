"""Proofs of the promises, one module each; `tests.faults` runs them."""
