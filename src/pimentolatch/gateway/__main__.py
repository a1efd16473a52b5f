"""`python -m pimentolatch.gateway`."""

from pimentolatch.gateway import daemon

daemon.main()
