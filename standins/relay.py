"""Relays that can block, lose, delay or reset traffic, in a process of their own.

Traffic does not wait for the process that starts them, however busy it is. See
`relay_engine` for what becomes of traffic.
"""

import socket
import subprocess
import sys
import threading
import typing
from collections import abc
from multiprocessing import connection

from standins import relay_calls, relay_engine, relay_process
from standins.relay_engine import TO_CLIENT, TO_SERVER, Address, Cut

__all__ = ["TO_CLIENT", "TO_SERVER", "Cut", "Relays"]

_STOP_TIMEOUT_S = 10.0
_Arguments = typing.ParamSpec("_Arguments")
_Result = typing.TypeVar("_Result")
_Engine = relay_engine.RelayEngine


class Relays:
    """All relays of a scenario."""

    def __init__(self) -> None:
        own, other = socket.socketpair()
        with other:
            handle = other.fileno()
            self._process = subprocess.Popen(
                [sys.executable, "-m", relay_process.__name__, str(handle)],
                pass_fds=(handle,),
            )
        self._connection = connection.Connection(own.detach())
        self._calling = threading.Lock()
        self._last_failures: list[str] = []

    @property
    def failures(self) -> list[str]:
        """Connections that were closed at once since the target was not reached.

        Each has the relay's name and the reason.
        """
        if not self._connection.closed:
            self._last_failures = self._call(_Engine.failures)
        return self._last_failures

    @property
    def process_id(self) -> int:
        """Process id of the relays."""
        return self._process.pid

    def start(self, name: str, listen: Address, target: Address) -> None:
        """Start a relay from the address `listen` to `target`."""
        self._call(_Engine.start, name, listen, target)

    def start_datagrams(self, name: str, listen: Address, target: Address) -> None:
        """Start a relay of datagrams from the address `listen` to `target`.

        A datagram arrives from the address at which the relay with the same port and
        the sender's host listens, as if that had sent it.
        """
        self._call(_Engine.start_datagrams, name, listen, target)

    def cut(self, name: str, direction: str, source: str | None = None) -> None:
        """Block the traffic of a relay in one direction.

        Args:
            name: The relay.
            direction: `TO_SERVER` or `TO_CLIENT`.
            source: Host of the client whose connections are affected; None for all.
        """
        self.add_cuts([Cut(name, source, direction)])

    def add_cuts(self, cuts: abc.Iterable[Cut]) -> None:
        """Block the traffic of several relays."""
        self._call(_Engine.add_cuts, list(cuts))

    def remove_cuts(self, cuts: abc.Iterable[Cut]) -> None:
        """Let traffic through again that was blocked."""
        self._call(_Engine.remove_cuts, list(cuts))

    def heal(self, name: str | None = None) -> None:
        """Remove the cuts and delays of one relay, or of all."""
        self._call(_Engine.heal, name)

    def make_unreachable(self, name: str) -> None:
        """Reset all connections, and let attempts to connect time out."""
        self._call(_Engine.make_unreachable, name)

    def make_reachable(self, name: str) -> None:
        """Undo `make_unreachable`."""
        self._call(_Engine.make_reachable, name)

    def delay(self, name: str, seconds: float) -> None:
        """Delay each chunk of data that goes through a relay."""
        self._call(_Engine.delay, name, seconds)

    def reset(self, name: str) -> None:
        """Reset all connections through a relay."""
        self._call(_Engine.reset, name)

    def silence(self, name: str, *directions: str) -> int:
        """Silence the open connections through a relay, for good.

        Args:
            name: The relay.
            directions: Directions in which data is lost; both if none is given.

        Returns:
            The number of silenced connections.
        """
        return self._call(_Engine.silence, name, directions)

    def stop(self) -> None:
        """Stop all relays and close their connections."""
        self._last_failures = self.failures
        self._connection.close()
        self._process.wait(_STOP_TIMEOUT_S)

    def _call(
        self,
        method: abc.Callable[
            typing.Concatenate[_Engine, _Arguments],
            abc.Coroutine[typing.Any, typing.Any, _Result],
        ],
        *arguments: _Arguments.args,
        **_: _Arguments.kwargs,
    ) -> _Result:
        with self._calling:
            self._connection.send(relay_calls.Call(method, arguments))
            reply: relay_calls.Reply = self._connection.recv()
        if reply.error is not None:
            raise reply.error
        return typing.cast(_Result, reply.result)
