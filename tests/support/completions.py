"""Completion requests of scenarios, and checks of their answers."""

import typing

from standins import callers, deployments

__all__ = ["Ask", "ask", "check_complete", "start"]

Ask = tuple[str, dict[str, typing.Any], dict[str, str]]


def ask(
    deployment: deployments.Deployment, entry: str, prompt: str, max_tokens: int = 8
) -> Ask:
    """Return the URL, body and headers of a completion request to an instance."""
    body = {"model": deployments.MODEL, "prompt": prompt, "max_tokens": max_tokens}
    return deployment.callers_url(entry, "/v1/completions"), body, {}


def start(
    context: typing.Any, layout: deployments.Layout, **options: typing.Any
) -> None:
    """Start a deployment for a scenario and submit its document."""
    context.deployment = deployments.Deployment(layout, **options)
    context.deployment.submit(
        context.deployment.entries[0], context.deployment.document()
    )


def check_complete(
    asks: typing.Sequence[Ask], replies: typing.Sequence[callers.Reply]
) -> None:
    """Check that every request has a complete answer with its own text."""
    assert len(replies) == len(asks) > 0
    for (_, body, _), reply in zip(asks, replies, strict=True):
        assert reply.is_complete, reply
        expected = callers.expected_text(body["prompt"], body["max_tokens"])
        assert reply.text == expected, (body, reply)
