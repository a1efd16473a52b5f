import json
import random

import behave

from benchmarks import sizes
from pimentolatch.decisions import prompt_sizes

SEED = 1


def known(context):
    if not hasattr(context, "sizes"):
        context.sizes = prompt_sizes.PromptSizes()
    return context.sizes


@behave.given('sizes: prompts of 1 to 100 thousand tokens on "{route}" in any order')
def spread(context, route):
    tokens = [1000 * n for n in range(1, 101)]
    random.Random(SEED).shuffle(tokens)
    for size in tokens:
        known(context).classify(route, size)


@behave.given('sizes: {count:d} prompts of {tokens:d} tokens on "{route}"')
def alike(context, count, tokens, route):
    for _ in range(count):
        known(context).classify(route, tokens)


@behave.given("sizes: one prompt each on {count:d} routes")
def many_routes(context, count):
    for number in range(count):
        known(context).classify(f"route-{number}", 1000)


@behave.then('sizes: on "{route}" {tokens:d} tokens are of the "{size}"')
def is_of(context, route, tokens, size):
    assert known(context).classify(route, tokens).value == size


@behave.then("sizes: at most {count:d} routes are remembered")
def bounded(context, count):
    assert len(known(context)._windows) <= count


@behave.then('sizes: one prompt of the "{size}" was "{outcome}"')
def was_counted(context, size, outcome):
    found = context.run(context.world.ask_metrics())
    labels = f'{{outcome="{outcome}",size="{size}"}}'
    assert found[f"pimentolatch_prompts_ended_total{labels}"] == 1


@behave.then('sizes: of logged requests the table shows "{row}"')
def table_of(context, row):
    route, count, *ends = row.split()
    texts = []
    answers = [(200, "passed on"), (503, "overloaded"), (0, "client left"), (502, "x")]
    numbers = zip(answers, map(int, ends), strict=True)
    fates = [answer for answer, many in numbers for _ in range(many)]
    for number, (status, outcome) in enumerate(fates):
        for message, fields in (
            ("placed", {"prompt": 1000 * (number + 1), "expected_ms": 100}),
            ("sent", {"what": "read", "ms": 300}),
            ("answered", {"route": route, "status": status, "outcome": outcome}),
        ):
            line = {"message": message, "id": f"r{number}", **fields}
            texts.append(f"1.5 front-1 {json.dumps(line)}")
    rows = sizes.table(sizes.parse_log_lines(["no line", *texts]))
    shares = [f"{int(end) / int(count):.3f}" for end in ends]
    assert rows[1] == f"{route} all {count} 10000 {' '.join(shares)} 100 300", rows
    assert rows[2] == f"{route} 1 1 1000 1.000 0.000 0.000 0.000 100 300", rows
    assert rows[-1] == f"{route} 10 1 10000 0.000 0.000 0.000 1.000 100 300", rows
