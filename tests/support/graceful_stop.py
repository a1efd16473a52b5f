"""Callers with keep-alive connections to an instance that shuts down."""

import dataclasses
import http.client
import itertools
import json
import threading
import time
import typing

from standins import callers, deployments

__all__ = ["Exchange", "StopResult", "run"]

LAYOUT = deployments.Layout("stopping", ("north", "south"), 2, 2, 1)
TOKENS = 60
_CALLERS = 4
_BEFORE_STOP_S = 0.6
_AFTER_STOP_S = 0.4
_TIMEOUT_S = 30.0
_KINDS = ("streamed", "whole", "service")


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One request over a keep-alive connection.

    Attributes:
        outcome: `whole` for a complete response, `refused` for a refusal that says
            "not run", or else the error or the unexpected response.
        closing: Whether the response had `connection: close`, or the connection broke.
        after_stop: Whether it was sent after the instance was told to stop.
        ended_at: Monotonic time, in seconds.
    """

    kind: str
    entry: str
    outcome: str
    closing: bool
    after_stop: bool
    ended_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopResult:
    """Requests of a run and the exit code of the instance that was stopped."""

    exchanges: tuple[Exchange, ...]
    exit_code: int

    @property
    def longest_gap_s(self) -> float:
        """Longest time, in seconds, without a complete response to any caller."""
        ends = sorted(e.ended_at for e in self.exchanges if e.outcome == "whole")
        gaps = (later - earlier for earlier, later in itertools.pairwise(ends))
        return max(gaps, default=0.0)


class _Caller(threading.Thread):
    """Sends one request after another, reusing its connection while possible."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        kind: str,
        stopped: threading.Event,
        finished: threading.Event,
    ) -> None:
        super().__init__()
        self.exchanges: list[Exchange] = []
        self._deployment = deployment
        self._kind = kind
        self._stopped = stopped
        self._finished = finished

    def run(self) -> None:
        """Send requests until the run is finished."""
        entry, number = "entry-1", 0
        connection = self._connect(entry)
        while not self._finished.is_set():
            number += 1
            exchange = self._exchange(connection, entry, f"{self.name} {number}")
            if exchange is None or exchange.closing or exchange.outcome != "whole":
                # Stands for a load balancer, which sends new connections to the other
                # instance.
                connection.close()
                entry = "entry-2"
                connection = self._connect(entry)
            if exchange is not None:
                self.exchanges.append(exchange)
        connection.close()

    def _connect(self, entry: str) -> http.client.HTTPConnection:
        host = self._deployment.hosts[entry]
        return http.client.HTTPConnection(host, deployments.CALLERS_PORT, _TIMEOUT_S)

    def _exchange(
        self, connection: http.client.HTTPConnection, entry: str, text: str
    ) -> Exchange | None:
        path = "/v1/completions"
        body = {
            "model": deployments.MODEL,
            "prompt": text,
            "max_tokens": TOKENS,
            "stream": self._kind == "streamed",
        }
        if self._kind == "service":
            path, body = "/v1/services/booking/confirm", {"badge": text}
        after_stop = self._stopped.is_set()
        try:
            if connection.sock is None:
                connection.connect()
        except OSError:
            return None
        try:
            headers = {"content-type": "application/json"}
            connection.request("POST", path, json.dumps(body), headers)
            response = connection.getresponse()
            raw = response.read().decode()
        except (OSError, http.client.HTTPException) as error:
            outcome, closing = repr(error), True
            return self._record(entry, outcome, closing, after_stop)
        closing = response.getheader("connection") == "close"
        outcome = self._judge(response.status, raw, text)
        return self._record(entry, outcome, closing, after_stop)

    def _record(
        self, entry: str, outcome: str, closing: bool, after_stop: bool
    ) -> Exchange:
        now = time.monotonic()
        return Exchange(self._kind, entry, outcome, closing, after_stop, now)

    def _judge(self, status: int, raw: str, text: str) -> str:
        if status != 200:
            refused = json.loads(raw)["error"]["execution"] == "not run"
            return "refused" if refused else raw
        if self._kind == "service":
            found = json.loads(json.loads(raw)["echo"]) == {"badge": text}
        elif self._kind == "whole":
            found = _text(json.loads(raw)) == callers.expected_text(text, TOKENS)
        else:
            *events, done, _ = raw.split("\n\n")
            deltas = (_text(json.loads(e.removeprefix("data: "))) for e in events)
            found = done == "data: [DONE]"
            found = found and "".join(deltas) == callers.expected_text(text, TOKENS)
        return "whole" if found else f"unexpected response: {raw[-200:]}"


def _text(body: dict[str, typing.Any]) -> str:
    return "".join(choice["text"] for choice in body.get("choices", ()))


def run(
    inject_faults: typing.Callable[[deployments.Deployment], None],
    *,
    graceful: bool = True,
) -> StopResult:
    """Stop `entry-1` under load, gracefully or by killing it.

    Args:
        inject_faults: Called just before the stop.
        graceful: Whether to send a signal to stop; otherwise the process is killed.
    """
    deployment = deployments.Deployment(
        LAYOUT, engine_settings={"token_s": 0.005, "streams": 64}
    )
    try:
        deployment.submit("entry-2", deployment.document())
        stopped, finished = threading.Event(), threading.Event()
        threads = [
            _Caller(deployment, kind, stopped, finished)
            for kind in _KINDS
            for _ in range(_CALLERS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(_BEFORE_STOP_S)
        inject_faults(deployment)
        stopped.set()
        process = deployment.processes["entry-1"]
        if graceful:
            exit_code = process.stop()
        else:
            process.kill()
            exit_code = process.popen.returncode
        time.sleep(_AFTER_STOP_S)
        finished.set()
        for thread in threads:
            thread.join()
        return StopResult(tuple(e for t in threads for e in t.exchanges), exit_code)
    finally:
        deployment.stop()
