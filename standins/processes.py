"""Starts the system and its stand-ins as separate processes on loopback addresses.

Each test run uses a network of its own in 127.0.0.0/8, derived from its process id, so
that concurrent runs do not conflict.
"""

import dataclasses
import functools
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing
import urllib.parse

__all__ = ["Network", "Process", "Processes", "call"]

_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 30.0
_POLL_S = 0.02


class Network:
    """Allocates loopback IP addresses that no other test run uses."""

    _allocated = 0

    def __init__(self) -> None:
        pid = os.getpid()
        self._prefix = f"127.{1 + (pid >> 8) % 254}.{pid % 256}"

    def address(self) -> str:
        """Return an unused IP address."""
        Network._allocated += 1
        return f"{self._prefix}.{1 + Network._allocated % 254}"


@dataclasses.dataclass(slots=True)
class Process:
    """A started process; `url` is its health check."""

    name: str
    module: str
    settings: pathlib.Path
    url: str
    popen: subprocess.Popen[bytes]
    log: pathlib.Path

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def stop(self) -> int:
        """Terminate the process with SIGTERM and return its exit code."""
        self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(_STOP_TIMEOUT_S)


class Processes:
    """The processes of one scenario."""

    def __init__(self) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="pimentolatch-")
        self._by_name: dict[str, Process] = {}

    def __getitem__(self, name: str) -> Process:
        return self._by_name[name]

    def start(
        self,
        name: str,
        command: tuple[str, ...],
        settings: dict[str, typing.Any],
        health: str,
    ) -> Process:
        """Start `python -m command --settings FILE` without waiting for its health."""
        path = pathlib.Path(self._directory.name) / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        log = path.with_suffix(".log")
        with log.open("ab") as output:
            popen = subprocess.Popen(
                [sys.executable, "-m", *command, "--settings", str(path)],
                stdout=output,
                stderr=output,
            )
        process = Process(name, command[0], path, health, popen, log)
        self._by_name[name] = process
        return process

    def wait_healthy(self, names: typing.Iterable[str] | None = None) -> None:
        """Wait until the health checks of the processes return 200 or 404."""
        for name in self._by_name if names is None else names:
            process = self._by_name[name]
            healthy = functools.partial(_is_healthy, process)
            wait_for(healthy, f"the health check of {name}; log: {process.log}")

    def stop_all(self) -> None:
        """Kill all processes of the scenario and delete their files."""
        for process in self._by_name.values():
            if process.popen.poll() is None:
                process.popen.kill()
        for process in self._by_name.values():
            process.popen.wait()
        self._directory.cleanup()


def wait_for(
    condition: typing.Callable[[], bool],
    description: str,
    timeout_s: float = _START_TIMEOUT_S,
) -> None:
    """Poll until a condition holds.

    Raises:
        AssertionError: If it does not hold within the timeout.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(
                f"timed out after {timeout_s:g} s waiting for {description}"
            )
        time.sleep(_POLL_S)


def _is_healthy(process: Process) -> bool:
    if process.popen.poll() is not None:
        raise AssertionError(
            f"{process.name} exited with code {process.popen.returncode}; its log:\n"
            f"{process.log.read_text()}"
        )
    try:
        return call("GET", process.url)[0] in (200, 404)
    except OSError:
        return False


def call(
    method: str,
    url: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> tuple[int, typing.Any]:
    """Make an HTTP call.

    Returns:
        Status, and the body: parsed if it is JSON, else as text.
    """
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=timeout_s
    )
    path = parts.path + (f"?{parts.query}" if parts.query else "")
    data = None if body is None else json.dumps(body).encode()
    try:
        connection.request(
            method, path, data, {"content-type": "application/json"} | (headers or {})
        )
        response = connection.getresponse()
        raw = response.read()
        status = response.status
    finally:
        connection.close()
    try:
        return status, json.loads(raw)
    except ValueError:
        return status, raw.decode(errors="replace")
