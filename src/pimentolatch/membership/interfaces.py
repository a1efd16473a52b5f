"""Interfaces that `node.Node` uses: links, document transfer and crash records."""

import asyncio
import typing
from collections import abc

from pimentolatch.protocol import messages

__all__ = ["ConfigurationPeer", "CrashTable", "Network"]


class Network(typing.Protocol):
    """Sends messages on links, which are given by number."""

    def send(self, link: int, message: messages.Message) -> None:
        """Queue a message; a link whose queue is full is closed."""

    def close(self, link: int, reason: str) -> None:
        """Close a link."""


class ConfigurationPeer(typing.Protocol):
    """Transfers documents between instances."""

    wake: asyncio.Event

    @property
    def number(self) -> int:
        """Number of the document in force, 0 for none."""

    @property
    def busy(self) -> bool:
        """Whether `poll` must be called soon; `wake` is set when this becomes true."""

    def poll(self) -> None:
        """Start transfers that are due, and abort those that timed out."""

    def offered(self, link: int, number: int) -> None:
        """Record the number of the document in force at the peer of a link."""

    def handle(self, link: int, message: messages.Message) -> None:
        """Handle a message about documents."""

    def closed(self, link: int) -> None:
        """Drop the state of a link that is closed."""


class CrashTable(typing.Protocol):
    """Records of completions during which engines crashed."""

    def receive(
        self, crashes: abc.Iterable[messages.EngineCrash], *, near: bool
    ) -> None:
        """Record crashes that a peer reported.

        Args:
            crashes: The crashes.
            near: Whether the peer belongs to the own failure domain.
        """

    def take_near(self, most: int) -> tuple[messages.EngineCrash, ...]:
        """Dequeue up to `most` crashes for peers in the own failure domain."""

    def take_far(self, most: int) -> tuple[messages.EngineCrash, ...]:
        """Dequeue up to `most` crashes for peers in other failure domains."""

    def repeated_crashes(self) -> tuple[messages.EngineCrash, ...]:
        """Return the crashes that an instance must know when it starts."""
