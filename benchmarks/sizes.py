"""Table of request outcomes by prompt size and route, from the logs of instances.

Reads log lines from files or standard input, ignoring any prefix before the JSON.
Requests whose lines exceeded the log budget are missing, so compare only shares.
"""

import dataclasses
import json
import pathlib
import sys
import typing
from collections import abc

from pimentolatch.gateway import client_request, request_log

__all__ = ["Prompt", "main", "parse_log_lines", "table"]

_GROUPS = 10
_HEADER = (
    "route group prompts most_tokens served refused left failed expected_ms sent_ms"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """One request with a prompt, as logged.

    Attributes:
        tokens: Tokens of the whole prompt.
        expected_ms: Expected time to the first event at the last placement; 0 if the
            request was refused.
        sent_ms: Total time that prefill took, or was waited for, over all engines.
        end: Outcome: served, refused, left (by the client) or failed.
    """

    route: str
    tokens: int
    expected_ms: int
    sent_ms: int
    end: str


def parse_log_lines(texts: abc.Iterable[str]) -> list[Prompt]:
    """Return the requests for which both prompt size and outcome are logged."""
    requests: dict[str, dict[str, typing.Any]] = {}
    for text in texts:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            line = json.loads(text[begin:])
        except ValueError:
            continue
        request = requests.setdefault(str(line.get("id")), {})
        if line.get("message") == request_log.PLACED:
            request["tokens"] = line.get("prompt")
            request["expected_ms"] = line.get("expected_ms", 0)
        elif line.get("message") == request_log.SENT and line.get("what") == "read":
            request["sent_ms"] = request.get("sent_ms", 0) + line["ms"]
        elif line.get("message") == request_log.ANSWERED:
            request["route"] = line.get("route")
            request["end"] = _end(line)
    complete = [r for r in requests.values() if r.get("tokens") and r.get("route")]
    return [
        Prompt(r["route"], r["tokens"], r["expected_ms"], r.get("sent_ms", 0), r["end"])
        for r in complete
    ]


def _end(line: abc.Mapping[str, typing.Any]) -> str:
    status, outcome = line.get("status"), line.get("outcome")
    if status == 200 and outcome == client_request.PASSED_ON:
        return "served"
    if status == 503:
        return "refused"
    return "failed" if status else "left"


def table(prompts: abc.Iterable[Prompt]) -> list[str]:
    """Return a row for all prompts of each route, then one for each tenth by size."""
    routes: dict[str, list[Prompt]] = {}
    for prompt in prompts:
        routes.setdefault(prompt.route, []).append(prompt)
    rows = [_HEADER]
    for route, found in sorted(routes.items()):
        found.sort(key=lambda prompt: prompt.tokens)
        rows.append(_row(route, "all", found))
        for group in range(_GROUPS):
            first = group * len(found) // _GROUPS
            last = (group + 1) * len(found) // _GROUPS
            if first < last:
                rows.append(_row(route, str(group + 1), found[first:last]))
    return rows


def _row(route: str, group: str, prompts: abc.Sequence[Prompt]) -> str:
    ends = [prompt.end for prompt in prompts]
    shares = [
        f"{ends.count(end) / len(ends):.3f}"
        for end in ("served", "refused", "left", "failed")
    ]
    expected = sum(prompt.expected_ms for prompt in prompts) / len(prompts)
    sent = sum(prompt.sent_ms for prompt in prompts) / len(prompts)
    most = max(prompt.tokens for prompt in prompts)
    times = (f"{expected:.0f}", f"{sent:.0f}")
    return " ".join([route, group, str(len(prompts)), str(most), *shares, *times])


def main() -> None:
    """Print the table for the log files in the arguments, or for standard input."""
    texts: list[str] = []
    for name in sys.argv[1:]:
        texts += pathlib.Path(name).read_text(encoding="utf-8").splitlines()
    print("\n".join(table(parse_log_lines(texts or sys.stdin))))


if __name__ == "__main__":
    main()
