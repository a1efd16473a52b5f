"""Support code of the features: processes, deployments, callers and checkers."""
