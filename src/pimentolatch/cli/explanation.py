"""Explains the outcome of a request from the log lines of instances."""

import dataclasses
import json
import typing
from collections import abc

from pimentolatch import results
from pimentolatch.decisions import lateness
from pimentolatch.gateway import client_request, request_log

__all__ = ["Line", "explain", "read_lines"]

_NOT_FOUND = "no line names this request: it reached none of these instances, or its "
_NOT_FOUND += "lines were dropped (look for `dropped_before` near its time)"


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A log line of a request."""

    time: str
    instance: str
    event: str
    fields: abc.Mapping[str, typing.Any]

    def __str__(self) -> str:
        shown = "  ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time}  {self.instance}  {self.event}  {shown}"


def read_lines(texts: abc.Iterable[str], request_id: str) -> list[Line]:
    """Return the log lines of a request, ordered by time.

    Text before the JSON of a line, such as a log collector's timestamp, is ignored, and
    so are lines without valid JSON.
    """
    found = []
    for text in texts:
        if request_id not in text:
            continue
        try:
            record = json.loads(text[text.index("{") :])
        except ValueError:
            continue
        if record.get("id") == request_id:
            found.append(_line(record))
    return sorted(found, key=lambda line: line.time)


def _line(record: dict[str, typing.Any]) -> Line:
    fields = dict(record)
    time, instance = fields.pop("time", ""), fields.pop("instance", "")
    event = fields.pop("message", "")
    for name in ("id", "level", "logger"):
        fields.pop(name, None)
    return Line(str(time), str(instance), str(event), fields)


def explain(lines: abc.Sequence[Line]) -> str:
    """Return the lines of a request, followed by the likely cause of its outcome."""
    if not lines:
        return _NOT_FOUND
    return "\n".join([*map(str, lines), f"likely cause: {_cause(lines)}"])


def _cause(lines: abc.Sequence[Line]) -> str:
    answers = [line for line in lines if line.event == request_log.ANSWERED]
    unanswered = [line for line in lines if line.event == request_log.UNANSWERED]
    if unanswered:
        return f"no answer: {unanswered[-1].fields['reason']}"
    if not answers:
        return "no response was logged: the instance terminated during the request"
    answer = answers[-1].fields
    outcome, status = str(answer.get("outcome", "")), answer.get("status", 0)
    bad = _last_bad_sending(lines)
    if outcome in (client_request.CLIENT_LEFT, client_request.CLIENT_CLOSED):
        return f"the {outcome} before its response was complete" + _while(lines, bad)
    if outcome == "passed on" and 200 <= status < 300:
        return "none: the response was forwarded completely" + _late(lines)
    if outcome == "passed on":
        return f"the server answered {status} itself" + _while(lines, bad)
    if outcome == results.ResultCode.QUARANTINED.name.lower():
        digest = answer.get("digest")
        return f"quarantine: servers crashed under earlier attempts, digest {digest}"
    waited = [line for line in lines if line.fields.get("in_vain")]
    if waited and status == 503:
        text = f"no engine took requests for {waited[-1].fields['ms']} ms"
        return text + _withheld(waited[-1])
    refused = [line for line in lines if "refused_for_ms" in line.fields]
    if refused and status == 503:
        wait = refused[-1].fields["refused_for_ms"]
        return f"overload: no engine could answer in time, {wait} ms over"
    if bad is not None:
        server, reason = bad.fields["server"], bad.fields["outcome"]
        return f"{outcome}: server {server} {reason}"
    return outcome


def _withheld(line: Line) -> str:
    withheld = line.fields.get("withheld")
    if not withheld:
        return ""
    return f"; under a limit, at rest or leaving: {', '.join(withheld)}"


def _last_bad_sending(lines: abc.Sequence[Line]) -> Line | None:
    for line in reversed(lines):
        text = str(line.fields.get("outcome", ""))
        if line.event == request_log.SENT and not text.startswith("answered 2"):
            return line
    return None


def _while(lines: abc.Sequence[Line], bad: Line | None) -> str:
    if bad is not None:
        return f", after server {bad.fields['server']} {bad.fields['outcome']}"
    sent = [line for line in lines if line.event == request_log.SENT]
    placed = [line for line in lines if line.event == request_log.PLACED]
    if placed and not sent:
        expected = placed[-1].fields.get("expected_ms")
        return f", waiting for its prompt to be prefilled (expected in {expected} ms)"
    return ""


def _late(lines: abc.Sequence[Line]) -> str:
    late = [line for line in lines if line.event == request_log.LATE]
    if late:
        return _lateness(late[-1])
    slow = [line for line in lines if line.event == request_log.SENT]
    if not slow:
        return ""
    longest = max(slow, key=lambda line: int(line.fields.get("ms", 0)))
    took, server = longest.fields.get("ms"), longest.fields.get("server")
    return f"; the longest step was {longest.fields['what']} at {server}, {took} ms"


def _lateness(line: Line) -> str:
    """Return by how much an answer was late, why, and the time of each phase."""
    fields = line.fields
    phases = (phase.value.replace(" ", "_") for phase in lateness.Phase)
    times = [
        f"{phase} {took} ms" for phase in phases if (took := fields.get(f"{phase}_ms"))
    ]
    if gap := fields.get("gap_ms"):
        times.append(f"longest gap {gap} ms")
    cause, over = fields.get("cause"), fields.get("over_ms")
    return f"; late by {over} ms, cause {cause} ({', '.join(times)})"
