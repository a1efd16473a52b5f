"""What the node needs of its links and of the part that moves documents."""

import asyncio
import typing
from collections import abc

from pimentolatch.protocol import messages

__all__ = ["ConfigurationPeer", "CrashTable", "Network"]


class Network(typing.Protocol):
    """The links, by number."""

    def send(self, link: int, message: messages.Message) -> None:
        """Queue a message; a link whose queue is full is closed."""

    def close(self, link: int, reason: str) -> None:
        """Close a link."""


class ConfigurationPeer(typing.Protocol):
    """The part that moves documents between instances."""

    wake: asyncio.Event

    @property
    def number(self) -> int:
        """Number of the document in force, 0 for none."""

    @property
    def busy(self) -> bool:
        """Whether `poll` has something to do soon; `wake` is set when that begins."""

    def poll(self) -> None:
        """Start or give up transfers that are due."""

    def offered(self, link: int, number: int) -> None:
        """Take note that the peer at a link has a document in force."""

    def handle(self, link: int, message: messages.Message) -> None:
        """Handle a message about documents."""

    def closed(self, link: int) -> None:
        """Take note that a link is gone."""


class CrashTable(typing.Protocol):
    """Holds which completions have ended engines, as this instance knows."""

    def take(self, told: abc.Iterable[messages.EngineCrash], *, near: bool) -> None:
        """Take what a peer tells, which may be of the own failure domain."""

    def take_near(self, most: int) -> tuple[messages.EngineCrash, ...]:
        """Return what peers of the own failure domain are to be told."""

    def take_far(self, most: int) -> tuple[messages.EngineCrash, ...]:
        """Return what peers of other failure domains are to be told."""

    def serious(self) -> tuple[messages.EngineCrash, ...]:
        """Return what an instance that has just started has to know."""
