"""Benchmarks: overhead, scaling, and role planning under a shifting request mix."""
