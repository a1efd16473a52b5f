"""Test doubles for the systems that pimentolatch talks to, and launchers for them.

The platform, engines and plain services run as processes with injected faults, or in
memory for logic that needs no sockets. `deployments` starts them together with entry
instances, for tests and benchmarks.
"""
