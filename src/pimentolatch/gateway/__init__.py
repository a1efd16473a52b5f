"""The face that serves the operator's routes, in front of services and engines."""
