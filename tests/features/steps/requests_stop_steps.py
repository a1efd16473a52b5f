import http.client
import json
import threading

import behave

from standins import callers, deployments, processes
from tests.features.steps import requests_http_steps
from tests.support import completions


@behave.when("it stops an instance under requests, with {fault}")
def stop_under_requests(context, fault):
    faults = () if fault == "no fault" else (fault,)
    context.run = context.proof.run(faults, 0)


@behave.then("that stop cut no request and requests went on elsewhere")
def stop_cut_nothing(context):
    assert not context.run.violations, context.run.violations[:3]
    assert context.run.operations > 12 * 2, context.run.operations


@behave.when("it kills the instance under requests instead")
def kill_under_requests(context):
    context.run = context.proof.run((), 0, safeguards=False)


@behave.then("that stop is seen to cut requests")
def stop_cut_requests(context):
    assert context.run.violations, context.run


@behave.given("a stopping instance with a stream under way")
def stopping_instance(context):
    requests_http_steps.start(context, requests_http_steps.ONE)
    deployment = context.deployment
    context.asks = [completions.ask(deployment, "entry-1", "long", 300)]
    context.replies = []
    context.thread = threading.Thread(
        target=lambda: context.replies.extend(
            callers.complete_concurrently(context.asks)
        )
    )
    context.thread.start()
    processes.wait_for(
        lambda: requests_http_steps.streams(deployment) == 1, "the stream began"
    )
    host = deployment.hosts["entry-1"]
    context.kept = http.client.HTTPConnection(host, deployments.CALLERS_PORT)
    context.kept.connect()
    deployment.processes["entry-1"].popen.terminate()


@behave.when("a kept connection sends a request after the notice")
def request_after_notice(context):
    # Until the notice is over answers still come, each on a connection of its own.
    def refused():
        context.kept.request("POST", requests_http_steps.CONFIRM, b"1")
        response = context.kept.getresponse()
        context.answer = (response.status, json.loads(response.read()))
        context.closing = response.getheader("connection")
        return response.status != 200

    processes.wait_for(refused, "a refusal", 10)


@behave.then(
    'it is refused with status {status:d}, code {code:d}, "{ran}" and "Connection: '
    'close"'
)
def refused_and_closed(context, status, code, ran):
    found, body = context.answer
    error = body["error"]
    assert (found, error["code"], error["execution"]) == (status, code, ran), body
    assert context.closing == "close", context.closing


@behave.then("the stream under way ends whole and the instance with exit code {code:d}")
def stream_ends_whole(context, code):
    context.thread.join()
    completions.check_complete(context.asks, context.replies)
    assert context.deployment.processes["entry-1"].popen.wait(20) == code
