"""The front end that serves the operator's routes, before services and engines."""
