import dataclasses

import behave

from pimentolatch.decisions import disaggregation


def engine(name, role, **work):
    return disaggregation.EngineLoad(name, role, 16, 3000.0, 400.0, **work)


@behave.given("prefill choices among a reader and 2 busy answering engines")
def reader_and_two(context):
    busy = {"streams": 8, "output_tokens": 600.0}
    context.engines = [
        engine("reader", "prefill"),
        engine("one", "mixed", **busy),
        engine("two", "decode", **busy),
    ]
    context.costs = disaggregation.Costs()


@behave.given(
    "{count:d} briefings of {tokens:d} tokens wait at the reader, "
    "and the batches are near empty"
)
def reader_is_busy(context, count, tokens):
    context.engines[0] = engine(
        "reader", "prefill", streams=count, prompt_tokens=float(count * tokens)
    )
    context.engines[1:] = [engine("one", "mixed"), engine("two", "decode")]


@behave.given("1 briefing of {tokens:d} tokens waits at the reader")
def one_briefing(context, tokens):
    context.engines[0] = engine(
        "reader", "prefill", streams=1, prompt_tokens=float(tokens)
    )


@behave.given("the link moves 20 million bytes a second")
def slow_link(context):
    context.costs = dataclasses.replace(context.costs, kv_bytes_per_s=20e6)


def path(context, tokens, **changes):
    costs = dataclasses.replace(context.costs, **changes)
    return disaggregation.choose_path(
        disaggregation.RequestSize(tokens, 120), context.engines, costs
    )


@behave.then("a prompt of {tokens:d} tokens is read where it is answered")
def read_whole(context, tokens):
    context.path = path(context, tokens)
    assert isinstance(context.path, disaggregation.Colocated), context.path


@behave.then("a prompt of {tokens:d} tokens is read on the reader")
def read_apart(context, tokens):
    found = path(context, tokens)
    assert isinstance(found, disaggregation.Disaggregated), found
    assert found.prefill_engine == "reader", found


@behave.then("with a fixed limit a prompt of {tokens:d} tokens is read on the reader")
def fixed_limit(context, tokens):
    context.fixed = path(context, tokens, adaptive=False)
    assert isinstance(context.fixed, disaggregation.Disaggregated), context.fixed


@behave.then("its predicted finish is earlier than with the fixed limit")
def finishes_earlier(context):
    assert context.path.finish_s < context.fixed.finish_s, (context.path, context.fixed)


@behave.given(
    "prefill choices among 2 engines, of which one is believed to hold the prompt"
)
def one_holds(context):
    context.engines = [
        engine("other", "mixed", streams=4),
        engine("holder", "mixed", streams=4, cached_tokens=1400),
    ]
    context.costs = disaggregation.Costs()


@behave.then("a prompt of {tokens:d} tokens goes to the engine that holds it")
def goes_to_holder(context, tokens):
    context.believed = path(context, tokens)
    assert context.believed.engine == "holder", context.believed


@behave.then("if it doesn't hold it, the answer is late by no more than one reading")
def stale_belief(context):
    context.engines[1] = engine("holder", "mixed", streams=4)
    true = path(context, 1500)
    alone = engine("idle", "mixed", streams=4)
    reading = disaggregation.choose_path(
        disaggregation.RequestSize(1500, 0), [alone], context.costs
    )
    late = true.first_token_s - context.believed.first_token_s
    assert 0.0 < late <= reading.first_token_s, (late, reading)
    context.engines[1] = engine("holder", "mixed", streams=4, cached_tokens=1400)


@behave.when("the engine that holds it has {count:d} streams more than the other one")
def holder_is_busy(context, count):
    context.engines[1] = engine(
        "holder",
        "mixed",
        streams=4 + count,
        output_tokens=120.0 * (4 + count),
        cached_tokens=1400,
    )


@behave.then("a prompt of {tokens:d} tokens goes to the other engine")
def goes_to_other(context, tokens):
    assert path(context, tokens).engine == "other"


@behave.given("prefill choices among readers alone")
def readers_alone(context):
    context.engines = [engine("one", "prefill"), engine("two", "prefill")]
    context.costs = disaggregation.Costs()


@behave.then("there is no engine for a prompt")
def no_engine(context):
    assert path(context, 300) == disaggregation.NoEngine()
