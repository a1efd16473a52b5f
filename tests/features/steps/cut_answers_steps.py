import asyncio
import contextlib
import datetime
import json

import behave

from pimentolatch import clock
from pimentolatch.backend import (
    engine_client,
    instance_client,
    kv_client,
    outcomes,
    plain_client,
)
from pimentolatch.cli import operator_client
from tests.support import cutting_server

SECOND = datetime.timedelta(seconds=1)
# Long enough for a busy machine: what is cut ends by itself.
AMPLE = 20 * SECOND
# Calls at a time, each to a server of its own.
AT_ONCE = 32
TOKENS = ("a ", "b ", "c ")
HANDLE = {"kv": "handle"}
DOCUMENT = {"version": 12, "document": {"fleet": "f"}}


def plain_calls(*, repeatable):
    @contextlib.asynccontextmanager
    async def calls():
        client = plain_client.PlainClient("test", clock.SystemClock(), connect=AMPLE)
        call = plain_client.Call(
            "d1", "booking", "confirm", b"x", "text/plain", repeatable, AMPLE
        )
        yield lambda address: client.call(address, call)
        client.close()

    return calls


@contextlib.asynccontextmanager
async def forwarded_calls():
    client = instance_client.InstanceClient("test", clock.SystemClock(), connect=AMPLE)
    call = instance_client.Forward(
        "r1", "booking", "confirm", b"x", "text/plain", "key", None, AMPLE
    )
    yield lambda address: client.forward(address, call)
    client.close()


@contextlib.asynccontextmanager
async def streams():
    client = engine_client.EngineClient("test", connect=AMPLE)
    dispatch = engine_client.Dispatch("d1", "m", "p", len(TOKENS))

    async def generate(address):
        return [event async for event in client.generate(address, dispatch)]

    yield generate
    await client.aclose()


def transfers(answered_in_full):
    @contextlib.asynccontextmanager
    async def calls():
        client = kv_client.KvClient("test", connect=AMPLE)
        whole = cutting_server.plain_forms(b"", [json.dumps(HANDLE).encode()])
        other = cutting_server.CuttingServer(whole["a length"], names_cuts=False)

        async def transfer(address):
            ends = (other.address, address)
            if answered_in_full == "import":
                ends = (address, other.address)
            return await client.transfer(*ends, "m", "p", AMPLE)

        async with other.listening():
            yield transfer
        await client.aclose()

    return calls


@contextlib.asynccontextmanager
async def operator_calls():
    yield lambda address: asyncio.to_thread(operator_client.document, address.url)


CALLS = {
    "a repeatable call": plain_calls(repeatable=True),
    "a non-repeatable call": plain_calls(repeatable=False),
    "a forwarded call": forwarded_calls,
    "a stream": streams,
    "an export of a KV cache": transfers("import"),
    "an import of a KV cache": transfers("export"),
    "an operator's call": operator_calls,
}


async def with_each_cut(form, calls):
    """Make a call once for each cut; return the outcomes by cut."""
    limit = asyncio.Semaphore(AT_ONCE)

    async def one(call, cut):
        server = cutting_server.CuttingServer(form, cut, names_cuts=False)
        async with limit, server.listening() as address:
            return cut, await call(address)

    async with calls() as call:
        return dict(await asyncio.gather(*[one(call, cut) for cut in form.cuts()]))


def report(context, is_right):
    """Fail with the cuts whose outcomes are wrong."""
    wrong = {
        cutting_server.cut_name(cut): outcome
        for cut, outcome in context.outcomes.items()
        if not is_right(cut, outcome)
    }
    assert not wrong, f"{len(wrong)} of {len(context.outcomes)}: {wrong}"


@behave.given("cut answers: an answer with {form} is cut after every byte")
def cut_after_every_byte(context, form):
    context.form = cutting_server.plain_forms(b"x-dispatch: d1\r\n")[form]


@behave.given("cut answers: an answer whose status is {status:d}")
def status_cut(context, status):
    fields = b"x-dispatch: d1\r\n"
    forms = cutting_server.plain_forms(fields, status=b"%03d Odd" % status)
    context.form = forms["a length"]


@behave.given("cut answers: an answer whose content type has a control character")
def control_character(context):
    fields = b"x-dispatch: d1\r\ncontent-type: a\x01b\r\n"
    context.form = cutting_server.plain_forms(fields)["a length"]


def token_events():
    texts = [{"offset": n, "token": token} for n, token in enumerate(TOKENS)]
    texts.append({"done": True, "length": len(TOKENS)})
    return [f"data: {json.dumps({'dispatch': 'd1'} | text)}\n\n" for text in texts]


CONTENTS = {
    "a stream of tokens": (200, token_events()),
    "a refusal": (503, ['{"ran": false}']),
    "a handle": (200, [json.dumps(HANDLE)]),
    "a document": (200, [json.dumps(DOCUMENT)]),
}


@behave.given("cut answers: {content} with {form} is cut after every byte")
def content_cut(context, content, form):
    status, pieces = CONTENTS[content]
    forms = cutting_server.plain_forms(
        b"", [piece.encode() for piece in pieces], b"%d OK" % status
    )
    context.form = forms[form]


@behave.given("cut answers: a refusal whose status is {status:d}")
def refusal_status(context, status):
    _, pieces = CONTENTS["a refusal"]
    forms = cutting_server.plain_forms(
        b"", [piece.encode() for piece in pieces], b"%03d Odd" % status
    )
    context.form = forms["a length"]


@behave.when("cut answers: {call} is answered so")
def answered_so(context, call):
    context.outcomes = asyncio.run(with_each_cut(context.form, CALLS[call]))


@behave.then("cut answers: each cut answer counts as lost, and the whole one as whole")
def lost_unless_whole(context):
    def is_right(cut, outcome):
        whole = context.form.whole_body(cut)
        if whole is None:
            return isinstance(outcome, outcomes.OutcomeUnknown)
        return isinstance(outcome, outcomes.Response) and outcome.body == whole

    report(context, is_right)


@behave.then("cut answers: each answer counts as lost, the whole one as well")
def all_lost(context):
    def is_lost(cut, outcome):
        end = outcome[-1] if isinstance(outcome, list) else outcome
        return isinstance(end, outcomes.OutcomeUnknown)

    report(context, is_lost)


@behave.then(
    "cut answers: the whole one counts as whole, and its content type has none"
)
def content_type_written(context):
    whole = context.outcomes[cutting_server.Cut(len(context.form.raw), "closed")]
    assert isinstance(whole, outcomes.Response), whole
    assert (whole.body, whole.content_type) == (context.form.body, "a b"), whole


@behave.then("cut answers: nothing counts as whole without all of its content")
def content_is_whole(context):
    form = context.form

    def is_right(cut, outcome):
        # The marker of a chunked body's end says nothing that its content does not.
        last = len(form.raw) - len(b"\r\n0\r\n\r\n") * (b"chunked" in form.head)
        has_content = cut.sent >= last
        match outcome:
            case [*chunks, outcomes.Finished()]:
                return has_content and "".join(c.text for c in chunks) == "".join(
                    TOKENS
                )
            case [outcomes.NotRun()] | kv_client.Handle():
                return has_content
            case operator_client.Response():
                return has_content and outcome.body == DOCUMENT
            case [*chunks, outcomes.OutcomeUnknown()]:
                return "".join(TOKENS).startswith("".join(c.text for c in chunks))
            case kv_client.NotTransferred() | operator_client.Unreachable():
                return True
        return False

    report(context, is_right)


@behave.then("cut answers: the whole one succeeds")
def whole_succeeds(context):
    whole = context.outcomes[cutting_server.Cut(len(context.form.raw), "closed")]
    end = whole[-1] if isinstance(whole, list) else whole
    lost = outcomes.OutcomeUnknown | kv_client.NotTransferred
    assert not isinstance(end, lost | operator_client.Unreachable), end
