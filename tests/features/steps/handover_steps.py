import threading
import time

import behave

from standins import callers, deployments, processes
from tests.support import completions

LAYOUT = deployments.Layout("handover", ("north",), 1, 3, 1)
BRIEFING_CHARACTERS = 40_000


@behave.given("three engines of which the first only reads prompts")
def three_engines(context):
    context.deployment = deployments.Deployment(LAYOUT)
    document = context.deployment.document()
    document["backend_servers"][0]["role"] = "prefill"
    context.deployment.submit("entry-1", document)
    url = context.deployment.server_url("engine-1", "/v1/state")
    status = context.deployment.operators_url("entry-1", "/v1/status")
    processes.wait_for(
        lambda: (
            processes.call("GET", url)[1]["role"] == "prefill"
            and not processes.call("GET", status)[1]["withdrawn"]
        ),
        "engine 1 in the role prefill",
    )


@behave.given("engine 1 refuses to read")
def refuses(context):
    url = context.deployment.server_url("engine-1", "/faults")
    processes.call("POST", url, {"kind": "refuse", "path": "/v1/kv"})


@behave.when(
    "callers stream {drafts:d} drafts and then send {briefings:d} long briefings"
)
def drafts_and_briefings(context, drafts, briefings):
    deployment = context.deployment
    first = [
        completions.ask(deployment, "entry-1", f"d{n}", 700) for n in range(drafts)
    ]
    second = [
        completions.ask(deployment, "entry-1", f"{n}" * BRIEFING_CHARACTERS, 20)
        for n in range(briefings)
    ]
    early = []
    thread = threading.Thread(
        target=lambda: early.extend(callers.complete_concurrently(first))
    )
    thread.start()
    status = deployment.operators_url("entry-1", "/v1/status")
    processes.wait_for(
        lambda: processes.call("GET", status)[1]["requests_in_flight"] == drafts,
        "drafts under way",
    )
    time.sleep(0.2)
    late = callers.complete_concurrently(second)
    thread.join()
    context.asks = first + second
    context.replies = early + late


@behave.then("engine 1 read prompts for others and answered nothing")
def read_apart(context):
    kinds = []
    for name in context.deployment.engines:
        url = context.deployment.server_url(name, "/history")
        kinds.append([event["what"] for event in processes.call("GET", url)[1]])
    assert "export" in kinds[0], kinds
    assert "generate" not in kinds[0], kinds
    assert "import" in kinds[1] + kinds[2], kinds
