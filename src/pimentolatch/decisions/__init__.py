"""Decision logic under load: no network, no waiting, and the time is an argument."""
