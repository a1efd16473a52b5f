import threading

import behave

from standins import callers, deployments, processes
from tests.support import completions

LAYOUTS = {
    "kitaguni": deployments.KITAGUNI,
    "regie": deployments.REGIE,
    "small": deployments.SMALL,
}


@behave.given("the {fleet} deployment runs with its document in force")
@behave.given("a {fleet} deployment runs with its document in force")
def deployment_runs(context, fleet):
    completions.start(context, LAYOUTS[fleet])


@behave.when("callers ask every instance for {count:d} streamed completions at once")
def ask_every_instance(context, count):
    context.asks = [
        completions.ask(
            context.deployment, entry, f"badge for guest {number} at {entry}"
        )
        for entry in context.deployment.entries
        for number in range(count)
    ]
    context.replies = callers.complete_concurrently(context.asks)


@behave.then("every completion is whole and answers its own prompt")
def completions_are_whole(context):
    completions.check_complete(context.asks, context.replies)


@behave.when('a caller makes a "{operation}" call through every instance')
def call_every_instance(context, operation):
    context.calls = []
    for entry in context.deployment.entries:
        url = context.deployment.callers_url(entry, f"/v1/services/booking/{operation}")
        sent = {"from": entry}
        context.calls.append((sent, processes.call("POST", url, sent)))


@behave.then("every call is answered with its own body")
def calls_are_answered(context):
    for sent, (status, body) in context.calls:
        assert status == 200, body
        assert body["echo"] == processes.json.dumps(sent), body


@behave.when('a caller asks for the model "{model}"')
def ask_for_model(context, model):
    url = context.deployment.callers_url("entry-1", "/v1/completions")
    context.answer = processes.call("POST", url, {"model": model, "prompt": "hello"})


@behave.then('the answer is refused with status {status:d}, code {code:d} and "{ran}"')
def answer_is_refused(context, status, code, ran):
    found, body = context.answer
    assert found == status, context.answer
    assert body["error"]["code"] == code, body
    assert body["error"]["execution"] == ran, body


@behave.when("an instance is told to stop while it streams {count:d} answers")
def stop_while_streaming(context, count):
    deployment = context.deployment
    context.asks = [
        completions.ask(deployment, "entry-1", f"long briefing {number}", 400)
        for number in range(count)
    ]
    results = []
    thread = threading.Thread(
        target=lambda: results.extend(callers.complete_concurrently(context.asks))
    )
    thread.start()
    status = deployment.operators_url("entry-1", "/v1/status")
    processes.wait_for(
        lambda: processes.call("GET", status)[1]["requests_in_flight"] == count,
        "all streams under way",
    )
    context.exit_code = deployment.processes["entry-1"].stop()
    thread.join()
    context.replies = results


@behave.then("the instance has ended by itself with exit code {code:d}")
def instance_ended(context, code):
    assert context.exit_code == code, context.exit_code
