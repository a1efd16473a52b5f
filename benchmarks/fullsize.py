"""Size of the full deployment that the design must support, and its limits."""

__all__ = [
    "CALLERS",
    "CHANGES_PER_S",
    "CONTROL_BYTES_PER_S",
    "CONTROL_CORE",
    "CONTROL_MEMORY_MB",
    "DOMAINS",
    "DOMAIN_INSTANCES",
    "DOMAIN_SERVERS",
    "INSTANCES",
    "REQUESTS_PER_S",
    "SERVERS",
    "STORE_READS_PER_S",
    "STORE_WRITES_PER_S",
    "STREAMS",
    "TOKENS_PER_S",
]

INSTANCES = 370
SERVERS = 3800
DOMAINS = 9
CALLERS = 4900
DOMAIN_INSTANCES = 42
DOMAIN_SERVERS = 423
REQUESTS_PER_S = 5500
TOKENS_PER_S = 2_500_000
CHANGES_PER_S = 3700 / 86_400
CONTROL_CORE = 0.025
CONTROL_MEMORY_MB = 128
CONTROL_BYTES_PER_S = 18_000
# The store allows "several hundred" writes and "about two thousand" reads a second;
# these are the low ends.
STORE_WRITES_PER_S = 300
STORE_READS_PER_S = 2000

# Streams in flight: an answer has 455 tokens on average (2.5 M / 5,500), and the
# time between two tokens may be at most 71 ms, so a stream lasts up to 32 s.
STREAMS = REQUESTS_PER_S * (TOKENS_PER_S / REQUESTS_PER_S) * 0.071
