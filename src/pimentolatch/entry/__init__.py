"""The entry instance daemon: HTTP front ends, control plane and process lifecycle."""
