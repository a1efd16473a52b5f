"""Commands of `pimentolatch`."""

import asyncio
import itertools
import json
import pathlib
import sys
import typing
import uuid

import cyclopts

from pimentolatch import event_loop, settings, validation
from pimentolatch import logs as process_logs
from pimentolatch.cli import explanation, operator_client
from pimentolatch.document import document_diff, schema
from pimentolatch.entry import process
from pimentolatch.gateway import daemon
from pimentolatch.platform import http_headers

__all__ = ["application", "main"]

EXIT_REFUSED = 1
EXIT_INVALID_INPUT = 2
EXIT_UNREACHABLE = 3

application = cyclopts.App(
    name="pimentolatch",
    help="Serves language models on a fixed fleet of engines.",
)

EntryOption = typing.Annotated[
    str, cyclopts.Parameter(name="--entry", help="Operators' URL of any instance.")
]
JsonOption = typing.Annotated[
    bool, cyclopts.Parameter(name="--json", negative="", help="Print JSON.")
]
DryRunOption = typing.Annotated[bool, cyclopts.Parameter(name="--dry-run", negative="")]
DEFAULT_ENTRY = "http://127.0.0.1:8081"


def main() -> None:
    """Run the command-line application."""
    application()


@application.command
def entry(
    settings_file: typing.Annotated[
        pathlib.Path, cyclopts.Parameter(name="--settings")
    ],
) -> None:
    """Run an entry instance until SIGTERM.

    Args:
        settings_file: Settings of this instance, JSON with comments.
    """
    chosen = validation.read_file(settings.EntrySettings, settings_file)
    if isinstance(chosen, validation.Problems):
        _fail(EXIT_INVALID_INPUT, str(chosen))
    process_logs.set_up(chosen.logs.level, chosen.instance)
    try:
        with asyncio.Runner(loop_factory=event_loop.InputFirstEventLoop) as runner:
            runner.run(process.run_until_signal(chosen))
    except OSError as error:
        _fail(EXIT_INVALID_INPUT, f"could not start the entry instance: {error}")


@application.command
def gateway(
    settings_file: typing.Annotated[
        pathlib.Path,
        cyclopts.Parameter(name="--settings", env_var=http_headers.SETTINGS_VARIABLE),
    ],
) -> None:
    """Serve the operator's routes until SIGTERM.

    Args:
        settings_file: Settings of this instance, JSON with comments.
    """
    sys.exit(daemon.run(settings_file))


@application.command
def check(document: pathlib.Path, *, json_output: JsonOption = False) -> None:
    """Check a fleet document without submitting it.

    Args:
        document: Fleet document, JSON with comments.
        json_output: Print JSON.
    """
    checked = _document(document)
    if json_output:
        print(json.dumps({"valid": True, "fleet": checked.fleet}))
    else:
        print(f"{document}: valid; {len(checked.backend_servers)} backend servers")


@application.command
def explain(request_id: str, *logs: pathlib.Path) -> None:
    """Explain the outcome of a request on the operator's routes.

    Args:
        request_id: Id of the request, as its client sent it.
        logs: Log files of instances; standard input if none is given.
    """
    try:
        texts = [path.read_text(encoding="utf-8").splitlines() for path in logs]
    except OSError as error:
        _fail(EXIT_INVALID_INPUT, f"{error.filename}: must be a readable log file")
    lines = itertools.chain.from_iterable(texts) if logs else sys.stdin
    print(explanation.explain(explanation.read_lines(lines, request_id)))


@application.command
def check_settings(settings_file: pathlib.Path) -> None:
    """Check the settings of an instance without starting it.

    Args:
        settings_file: Settings of an instance, JSON with comments.
    """
    chosen = validation.read_file(settings.EntrySettings, settings_file)
    if isinstance(chosen, validation.Problems):
        _fail(EXIT_INVALID_INPUT, str(chosen))
    print(f"{settings_file}: valid settings of {chosen.instance}")


@application.command
def submit(
    document: pathlib.Path,
    *,
    entry: EntryOption = DEFAULT_ENTRY,
    operator: str = "operator",
    expected: int | None = None,
    dry_run: DryRunOption = False,
    json_output: JsonOption = False,
) -> None:
    """Submit a fleet document and put it in force.

    Args:
        document: Fleet document, JSON with comments.
        entry: Operators' URL of any instance.
        operator: Name for the audit trail.
        expected: Number of the document that this one is to replace; by default the
            one in force at the instance.
        dry_run: Only show what the document would change.
        json_output: Print JSON.
    """
    checked = _document(document)
    if dry_run:
        _show_changes(entry, checked, json_output)
        return
    if expected is None:
        # Without an expected number, a delayed attempt could take effect after the
        # operator was told that another document won, and revert that document.
        found = _answer_or_fail(operator_client.status(entry), json_output)
        expected = (found["configuration"] or {"number": 0})["number"]
    answer = operator_client.submit(
        entry, checked.model_dump_json(), operator, uuid.uuid4().hex, expected
    )
    body = _answer_or_fail(answer, json_output)
    _show(body, json_output, f"document {body['number']} is in force")


def _show_changes(
    entry: str, document: schema.FleetDocument, json_output: bool
) -> None:
    body = _answer_or_fail(operator_client.document(entry), json_output)
    if body["document"] is None:
        _show({"number": 0, "changes": None}, json_output, "no document is in force")
        return
    current = schema.FleetDocument.model_validate(body["document"])
    found = [str(change) for change in document_diff.compare(current, document)]
    text = "\n".join(found) or f"nothing differs from document {body['number']}"
    _show({"number": body["number"], "changes": found}, json_output, text)


@application.command
def status(
    *, entry: EntryOption = DEFAULT_ENTRY, json_output: JsonOption = False
) -> None:
    """Show the status of an instance.

    Args:
        entry: Operators' URL of any instance.
        json_output: Print JSON.
    """
    body = _answer_or_fail(operator_client.status(entry), json_output)
    lines = "\n".join(f"{name}: {value}" for name, value in body.items())
    _show(body, json_output, lines)


@application.command
def audit(
    *,
    entry: EntryOption = DEFAULT_ENTRY,
    count: int = 100,
    json_output: JsonOption = False,
) -> None:
    """Show the audit trail: documents, orders, drains and their outcomes.

    Args:
        entry: Operators' URL of any instance.
        count: Number of the newest records to show.
        json_output: Print JSON.
    """
    body = _answer_or_fail(operator_client.audit(entry, count), json_output)
    lines = "\n".join(_audit_line(record) for record in body["records"])
    _show(body, json_output, lines or "no records yet")


def _audit_line(record: dict[str, typing.Any]) -> str:
    return (
        f"{record['at']}  {record['instance']}  document {record['document']}  "
        f"{record['action']}  {record['subject']}  {record['outcome']}  "
        f"{record['detail']}"
    )


def _document(path: pathlib.Path) -> schema.FleetDocument:
    checked = validation.read_file(schema.FleetDocument, path)
    if isinstance(checked, validation.Problems):
        _fail(EXIT_INVALID_INPUT, str(checked))
    return checked


def _answer_or_fail(
    answer: operator_client.Response | operator_client.Unreachable, json_output: bool
) -> dict[str, typing.Any]:
    if isinstance(answer, operator_client.Unreachable):
        _fail(EXIT_UNREACHABLE, answer.reason)
    if answer.status != 200:
        if json_output:
            print(json.dumps(answer.body))
        _fail(EXIT_REFUSED, answer.body["error"]["message"])
    return answer.body


def _show(body: dict[str, typing.Any], json_output: bool, text: str) -> None:
    print(json.dumps(body) if json_output else text)


def _fail(exit_code: int, message: str) -> typing.NoReturn:
    print(message, file=sys.stderr)
    sys.exit(exit_code)
