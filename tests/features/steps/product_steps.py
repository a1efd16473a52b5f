import json
import pathlib
import subprocess
import sys
import tempfile

import behave
import hypothesis
import jsonc
from hypothesis import strategies

from pimentolatch import validation
from pimentolatch.control import parts
from pimentolatch.document import document_diff, schema
from standins import deployments, processes

EXAMPLES = pathlib.Path("examples")


DOCUMENTS = [
    jsonc.loads(path.read_text(encoding="utf-8"))
    for path in sorted(EXAMPLES.glob("*fleet.jsonc"))
]
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=12), inner, max_size=4)
    ),
    max_leaves=12,
)


@strategies.composite
def damaged_documents(draw):
    """Return an example with one value, at any depth, replaced by another."""
    document = json.loads(json.dumps(draw(strategies.sampled_from(DOCUMENTS))))
    place = document
    while True:
        keys = list(place) if isinstance(place, dict) else list(range(len(place)))
        key = draw(strategies.sampled_from(keys))
        inner = place[key]
        if (
            not isinstance(inner, dict | list)
            or not inner
            or draw(strategies.booleans())
        ):
            place[key] = draw(JSON)
            return document
        place = inner


def run_command(context, *arguments):
    context.command = subprocess.run(
        [sys.executable, "-m", "pimentolatch", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


def write_document(document):
    with tempfile.NamedTemporaryFile("w", suffix=".jsonc", delete=False) as file:
        json.dump(document, file)
    return file.name


@behave.when('the command line checks the example "{example}"')
def check_example(context, example):
    command = "check" if "fleet" in example else "check-settings"
    run_command(context, command, str(EXAMPLES / example))


@behave.then("the command ends with exit code {code:d}")
def command_ends(context, code):
    assert context.command.returncode == code, context.command


@behave.when("the command line checks a fleet document with {field} set to {value}")
def check_changed(context, field, value):
    engine = {
        "kind": "engine",
        "name": "engine-1",
        "failure_domain": "north",
        "address": {"host": "127.0.0.1", "port": 9100},
        "checks_fencing": True,
        "models": ["badge-draft"],
    }
    document = {
        "fleet": "small",
        "failure_domains": [{"name": "north", "region": "here"}],
        "models": [{"name": "badge-draft"}],
        "backend_servers": [engine],
        "roles": {},
    }
    *path, last = [int(p) if p.isdigit() else p for p in field.split(".")]
    place = document
    for part in path:
        place = place[part]
    place[last] = json.loads(value)
    run_command(context, "check", write_document(document))


@behave.then('the message names "{named}" and shows "{shown}"')
def message_names(context, named, shown):
    assert named in context.command.stderr, context.command
    assert shown in context.command.stderr, context.command


@behave.when("the operator submits a changed document over document {number:d}")
def submit_changed(context, number):
    admission = {"default_deadline_s": 31.5}
    path = write_document(context.deployment.document(admission=admission))
    run_command(
        context,
        "submit",
        path,
        "--entry",
        context.deployment.operators_url("entry-1"),
        "--operator",
        "mariko",
        "--expected",
        str(number),
    )
    if context.command.returncode == 0:
        processes.wait_for(
            lambda: context.deployment.document_number("entry-1") > number,
            f"a document after {number}",
        )


@behave.when("the operator asks what a changed document would change")
def dry_run(context):
    admission = {"default_deadline_s": 31.5}
    path = write_document(context.deployment.document(admission=admission))
    url = context.deployment.operators_url("entry-1")
    run_command(context, "submit", path, "--dry-run", "--entry", url)


@behave.then('the output names "{named}" and shows "{shown}"')
def output_names(context, named, shown):
    assert named in context.command.stdout, context.command
    assert shown in context.command.stdout, context.command


@behave.when("the operator asks for the status as JSON")
def ask_status(context):
    url = context.deployment.operators_url("entry-1")
    run_command(context, "status", "--json", "--entry", url)


@behave.then("the status shows document {number:d}")
def status_shows(context, number):
    status = json.loads(context.command.stdout)
    assert status["configuration"]["number"] == number, status


@behave.then('"/livez" and "/readyz" answer 200 at every instance')
def healthy(context):
    for entry in context.deployment.entries:
        for path in ("/livez", "/readyz"):
            url = context.deployment.operators_url(entry, path)
            assert processes.call("GET", url)[0] == 200, url


@behave.then('"/livez" answers 200 and "/readyz" answers 503 at every instance')
def alive_not_ready(context):
    for entry in context.deployment.entries:
        live = context.deployment.operators_url(entry, "/livez")
        ready = context.deployment.operators_url(entry, "/readyz")
        assert processes.call("GET", live)[0] == 200
        assert processes.call("GET", ready)[0] == 503


@behave.then("the metrics count one service call at every instance")
def metrics_count(context):
    wanted = 'pimentolatch_requests_total{kind="service",result="ok"} 1.0'
    for entry in context.deployment.entries:
        url = context.deployment.operators_url(entry, "/metrics")
        _, text = processes.call("GET", url)
        assert wanted in text, text


@behave.given("a small deployment runs without a document")
def runs_without_document(context):
    context.deployment = deployments.Deployment(deployments.SMALL)


@behave.when("an instance is told to stop")
def stop_instance(context):
    process = context.deployment.processes["entry-1"]
    assert process.stop() == 0
    context.log = process.log.read_text(encoding="utf-8")


@behave.then("every line of its log is a JSON object of that instance")
def log_lines(context):
    lines = context.log.splitlines()
    assert len(lines) >= 3, context.log
    for line in lines:
        assert json.loads(line)["instance"] == "entry-1", line


@behave.when("arbitrary texts, values and damaged examples are checked as documents")
def fuzz_documents(context):
    context.checked = []

    @hypothesis.settings(
        derandomize=True, database=None, max_examples=300, deadline=None
    )
    @hypothesis.given(strategies.text(max_size=200), JSON, damaged_documents())
    def check(text, value, damaged):
        context.checked += [
            validation.check_text(schema.FleetDocument, text),
            validation.check_value(schema.FleetDocument, value),
            validation.check_value(schema.FleetDocument, damaged),
        ]

    check()


@behave.then(
    "each is a document or a list of problems that name a field and give advice"
)
def documents_or_problems(context):
    kinds = {type(found) for found in context.checked}
    assert kinds == {schema.FleetDocument, validation.Problems}, kinds
    for found in context.checked:
        if isinstance(found, validation.Problems):
            assert found.problems
            assert all(p.field and p.value and p.advice for p in found.problems)


@behave.when("each example document is stored in parts and read back")
def stored_and_read(context):
    context.pairs = []
    for value in DOCUMENTS:
        document = validation.check_value(schema.FleetDocument, value)
        text = "".join(part.text for part in parts.split(document))
        context.pairs.append(
            (document, validation.check_value(schema.FleetDocument, json.loads(text)))
        )


@behave.then("it is the same document with nothing that would change")
def same_document(context):
    assert len(context.pairs) == 2
    for before, after in context.pairs:
        assert before == after
        assert document_diff.compare(before, after) == ()
