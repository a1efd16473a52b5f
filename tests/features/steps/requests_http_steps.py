import asyncio
import contextlib
import datetime
import json
import pathlib
import re
import socket
import threading
import time

import behave
import hypothesis
from hypothesis import strategies

from pimentolatch import metrics, results, settings
from pimentolatch.entry import (
    bounded_http,
    http_responses,
    http_server,
    request_parsing,
)
from pimentolatch.requests import completion_stream
from standins import callers, deployments, processes
from tests.support import completions, virtual_time

ONE = deployments.Layout("one", ("north",), 1, 1, 1)
TWO_ENGINES = deployments.Layout("two", ("north",), 1, 2, 1)
LIMIT = 100_000
JSON = "content-type: application/json"
COMPLETIONS = "/v1/completions"
CONFIRM = "/v1/services/booking/confirm"
LAST_STREAM = 400


def start(context, layout):
    completions.start(
        context,
        layout,
        engine_settings={"token_s": 0.01},
        entry_settings={"max_body_bytes": LIMIT, "body_timeout_s": 1.0},
    )


@behave.given("http requests meet one instance")
def one_instance(context):
    start(context, ONE)


@behave.given("http requests meet one instance and two engines")
def two_engines(context):
    start(context, TWO_ENGINES)


def request(path, body=b"{}", *headers, method="POST", length=None):
    length = len(body) if length is None else length
    lines = [f"{method} {path} HTTP/1.1", "host: x", f"content-length: {length}"]
    return "\r\n".join([*lines, *headers, "", ""]).encode() + body


def completion(**fields):
    body = {"model": deployments.MODEL, "prompt": "hello", "max_tokens": 4} | fields
    return json.dumps(body).encode()


CHUNKED_HEAD = (
    f"POST {COMPLETIONS} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
).encode()
CHUNK = b"%x\r\n%s\r\n" % (LIMIT // 2, b"x" * (LIMIT // 2))
MANY_HEADERS = [f"x-{number}: {'y' * 90}" for number in range(2000)]
KINDS = {
    "no HTTP at all": b"\x16\x03\x01 what is this\r\n\r\n",
    "a head with one long header": request(COMPLETIONS, b"", "x: " + "y" * 90_000),
    "a head with many headers": request(COMPLETIONS, b"", *MANY_HEADERS),
    "a body said to be too large": request(COMPLETIONS, b"", length=10**9),
    "a chunked body too large": CHUNKED_HEAD + CHUNK * 3,
    "a body that comes slowly": request(COMPLETIONS, b"{", length=50),
    "a body closed in the middle": request(COMPLETIONS, b"{", length=50),
    "a malformed chunk": CHUNKED_HEAD + b"nonsense\r\n",
    "a body that is no JSON": request(COMPLETIONS, b"{'model'"),
    "a body nested without end": request(COMPLETIONS, b"[" * 90_000),
    "a field of the wrong type": request(COMPLETIONS, completion(max_tokens="x")),
    "a timeout that is no number": request(CONFIRM, b"1", "x-request-timeout-ms: 1e3"),
    "an empty idempotency key": request(CONFIRM, b"1", "idempotency-key: "),
    "a long idempotency key": request(CONFIRM, b"1", "idempotency-key: " + "k" * 400),
    "a ticket that is none": request(CONFIRM, b"1", "idempotency-key: ticket.abc"),
    "too many tickets": request("/v1/tickets", b'{"count": 1000000}'),
    "an unknown path": request("/v1/nothing"),
    "an unknown method": request(COMPLETIONS, method="PUT"),
    "an unknown model": request(COMPLETIONS, completion(model="nobody")),
    "an unknown operation": request("/v1/services/booking/nothing"),
}
HALF_CLOSED = ("a body closed in the middle",)


def connected(deployment):
    address = (deployment.hosts["entry-1"], deployments.CALLERS_PORT)
    return socket.create_connection(address, timeout=20)


def read_answers(link, count=1):
    """Read whole answers with stated lengths: (status, body) each."""
    raw, found = b"", []
    while len(found) < count:
        head, separator, rest = raw.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head)
        if separator and length and len(rest) >= int(length[1]):
            body = rest[: int(length[1])]
            found.append((int(head.split()[1]), json.loads(body)))
            raw = rest[int(length[1]) :]
            continue
        # Only now: one read may have brought several answers.
        piece = link.recv(65536)
        if not piece:
            raise AssertionError(f"ended in {raw!r}")
        raw += piece
    return found


def exchange(deployment, raw, *, half_close=False):
    with connected(deployment) as link:
        link.sendall(raw)
        if half_close:
            link.shutdown(socket.SHUT_WR)
        return read_answers(link)[0]


@behave.when("http requests of these kinds are sent while a stream is under way")
def send_kinds(context):
    deployment = context.deployment
    context.asks = [completions.ask(deployment, "entry-1", "long", LAST_STREAM)]
    context.replies = []
    thread = threading.Thread(
        target=lambda: context.replies.extend(
            callers.complete_concurrently(context.asks)
        )
    )
    thread.start()
    context.found = [
        (row, exchange(deployment, KINDS[kind], half_close=kind in HALF_CLOSED))
        for row in context.table
        for kind in [row["kind"]]
    ]
    context.still_streaming = thread.is_alive()
    thread.join()


@behave.then("each is answered as the table says")
def answered_as_said(context):
    for row, (status, body) in context.found:
        error = body["error"]
        found = (str(status), str(error["code"]), error["execution"])
        assert found == (row["status"], row["code"], row["execution"]), (row, body)
        assert error["message"], row


@behave.then("the stream under way is whole")
def stream_is_whole(context):
    assert context.still_streaming, "the stream ended before the requests"
    completions.check_complete(context.asks, context.replies)


@behave.then("two pipelined requests are answered in their order")
def pipelined(context):
    with connected(context.deployment) as link:
        link.sendall(request(CONFIRM, b"1", JSON) + request(CONFIRM, b"2", JSON))
        first, second = read_answers(link, 2)
    assert (first[1]["echo"], second[1]["echo"]) == ("1", "2"), (first, second)


@behave.then("rubbish pipelined behind a stream leaves the stream whole")
def rubbish_behind(context):
    with connected(context.deployment) as link:
        link.sendall(request(COMPLETIONS, completion(stream=True, max_tokens=40)))
        time.sleep(0.1)
        link.sendall(b"rubbish\r\n\r\n")
        raw = b"".join(iter(lambda: link.recv(65536), b""))
    # Tokens that have arrived together are passed on in one event.
    texts = re.findall(r'"text": "((?:[0-9a-f]{8} )+)"', raw.decode())
    assert "".join(texts) == callers.expected_text("hello", 40), raw[-500:]
    assert raw.rstrip().endswith(b"data: [DONE]\n\n\r\n0"), raw[-80:]


@behave.then("a service call from a caller that half closed is answered")
def half_closed(context):
    raw = request(CONFIRM, b"1", JSON)
    status, body = exchange(context.deployment, raw, half_close=True)
    assert (status, body["echo"]) == (200, "1"), (status, body)


@behave.when("a caller asks for {count:d} tokens {form} and disconnects")
def disconnect(context, count, form):
    deployment = context.deployment
    body = completion(max_tokens=count, stream=form == "streamed")
    with connected(deployment) as link:
        link.sendall(request(COMPLETIONS, body))
        processes.wait_for(lambda: streams(deployment) == 1, "the stream began")


def streams(deployment):
    return processes.call("GET", deployment.server_url("engine-1", "/v1/state"))[1][
        "streams"
    ]


@behave.then("the engine soon has no stream")
def no_stream(context):
    processes.wait_for(lambda: streams(context.deployment) == 0, "the stream ended", 8)


@behave.when("one engine is frozen while callers read {count:d} streams")
def freeze_engine(context, count):
    deployment = context.deployment
    context.asks = [
        completions.ask(deployment, "entry-1", f"guest {number}", 60)
        for number in range(count)
    ]
    context.replies = []
    thread = threading.Thread(
        target=lambda: context.replies.extend(
            callers.complete_concurrently(context.asks)
        )
    )
    thread.start()
    processes.wait_for(lambda: streams(deployment) > 0, "streams at the engine")
    deployment.processes["engine-1"].suspend()
    thread.join()


@behave.then("the instance counts resumed streams")
def resumed_counted(context):
    url = context.deployment.operators_url("entry-1", "/metrics")
    _, text = processes.call("GET", url)
    assert float(re.search(r"streams_resumed_total ([0-9.]+)", text)[1]) > 0, text


@behave.when("the engine is frozen in a stream with a timeout of {timeout:d} ms")
def freeze_in_stream(context, timeout):
    deployment = context.deployment
    url, body, _ = completions.ask(deployment, "entry-1", "slow", 1000)
    headers = {"x-request-timeout-ms": str(timeout)}
    replies = []
    thread = threading.Thread(
        target=lambda: replies.extend(
            callers.complete_concurrently([(url, body, headers)])
        )
    )
    thread.start()
    processes.wait_for(lambda: streams(deployment) > 0, "the stream began")
    deployment.processes["engine-1"].suspend()
    thread.join()
    [context.reply] = replies


@behave.then("the stream ends with code {code:d} as its last record")
def ends_with_code(context, code):
    reply = context.reply
    assert not reply.is_complete and reply.error["code"] == code, reply
    assert reply.error["execution"] == "ran", reply
    assert callers.expected_text("slow", 1000).startswith(reply.text) and reply.text


@behave.given("an answer whose caller stops reading")
def unread_answer(context):
    context.seen = []

    async def events():
        try:
            while True:
                yield completion_stream.Delta("text ")
        finally:
            context.seen.append("closed")

    async def send(message):
        if message["type"] == "http.response.body":
            await asyncio.Event().wait()

    async def receive():
        await asyncio.Event().wait()

    async def play():
        clock = virtual_time.LoopClock()
        asked = completion_stream.Completion(
            "r", "c", "m", "p", 9, datetime.timedelta(hours=1)
        )
        answer = http_responses.CompletionResponse(
            asked,
            events(),
            streamed=True,
            release=contextlib.ExitStack(),
            time=clock,
            started=clock.monotonic(),
            measured=metrics.Metrics(),
        )
        abort = {"call": lambda: context.seen.append("aborted")}
        await answer(
            {"extensions": {bounded_http.ABORT_EXTENSION: abort}}, receive, send
        )
        return clock.monotonic().total_seconds()

    context.play = play


@behave.when("virtual time passes")
def time_passes(context):
    context.ended_at = virtual_time.run(context.play())


@behave.then(
    "the answer was given up after {limit:d} s, its events closed and its connection "
    "aborted"
)
def given_up(context, limit):
    assert limit <= context.ended_at < limit + 1, context.ended_at
    assert sorted(context.seen) == ["aborted", "closed"], context.seen


@behave.given("an HTTP server that waits {limit:g} s for a head")
def hasty_server(context, limit):
    before = bounded_http.HEAD_SECONDS
    bounded_http.HEAD_SECONDS = limit
    context.add_cleanup(setattr, bounded_http, "HEAD_SECONDS", before)


@behave.when("a caller sends half a head and waits")
def half_a_head(context):
    async def play():
        address = settings.Address(host=processes.Network().address(), port=8080)
        server = http_server.HttpServer(None, address)
        await server.start()
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"POST /v1/completions HTTP/1.1\r\nhost")
        raw = await reader.read()
        writer.close()
        await server.stop()
        return raw

    context.raw = asyncio.run(play())


@behave.then("the caller hears status {status:d} and the connection ends")
def hears_status(context, status):
    head, _, body = context.raw.partition(b"\r\n\r\n")
    assert head.split()[1] == str(status).encode(), context.raw
    assert json.loads(body)["error"]["execution"] == "not run"


@behave.given("checks of headers and bodies")
def checks_given(context):
    context.checks = {
        "timeout": strategies.text() | strategies.integers().map(str),
        "key": strategies.text(),
        "priority": strategies.text() | strategies.from_regex(r"u=[0-9], ?i"),
        "body": strategies.binary() | strategies.text().map(str.encode),
    }


@behave.when("any text comes as a timeout, a key, a priority or a body")
def fuzz(context):
    zero, default = datetime.timedelta(), datetime.timedelta(seconds=30)

    def is_refusal(found):
        return isinstance(found, results.Refusal) and (
            found.execution is results.Execution.NOT_RUN and bool(found.message)
        )

    @hypothesis.settings(derandomize=True, database=None, max_examples=400)
    @hypothesis.given(**context.checks)
    def any_input(timeout, key, priority, body):
        due = request_parsing.parse_deadline(
            {"x-request-timeout-ms": timeout}, zero, default
        )
        assert is_refusal(due) or zero < due <= request_parsing.MAX_REQUEST_TIMEOUT, due
        found = request_parsing.parse_idempotency_key({"idempotency-key": key})
        assert is_refusal(found) or (0 < len(found) <= 300 and found.isascii()), found
        assert 0 <= request_parsing.parse_priority({"priority": priority}) <= 7
        checked = request_parsing.parse_json(request_parsing.CompletionBody, body)
        assert is_refusal(checked) or isinstance(
            checked, request_parsing.CompletionBody
        )
        context.examples = getattr(context, "examples", 0) + 1

    any_input()


@behave.then(
    "each check returns a value in its range or a refusal that names what is wrong"
)
def fuzzed(context):
    assert context.examples >= 400, context.examples


@behave.given("the table in docs/RESULT-CODES.md")
def codes_table(context):
    text = pathlib.Path("docs/RESULT-CODES.md").read_text(encoding="utf-8")
    rows = re.findall(r"^\| (\d+) \| `(\w+)` \| (\d+) \|", text, re.MULTILINE)
    context.rows = [(int(number), name, int(status)) for number, name, status in rows]


@behave.then("it lists each result code once with its number and HTTP status")
def table_agrees(context):
    expected = [
        (int(code), code.name, results.HTTP_STATUS[code]) for code in results.ResultCode
    ]
    assert context.rows == expected, set(context.rows) ^ set(expected)
