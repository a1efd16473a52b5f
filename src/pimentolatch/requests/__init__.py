"""Lifecycle of a request: admission, dispatch, resumption, response or refusal."""
