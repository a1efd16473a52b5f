import threading

import behave

from standins import callers, processes
from tests.support import completions

LONG_ANSWER = 600


def engine_state(context, number):
    url = context.deployment.server_url(f"engine-{number}", "/v1/state")
    return processes.call("GET", url)[1]


def engine_history(context, number):
    url = context.deployment.server_url(f"engine-{number}", "/history")
    return processes.call("GET", url)[1]


def withdrawn_everywhere(context):
    return [
        processes.call("GET", context.deployment.operators_url(entry, "/v1/status"))[1][
            "withdrawn"
        ]
        for entry in context.deployment.entries
    ]


def submit_with_engine(context, number, **changes):
    document = context.deployment.document()
    document["backend_servers"][number - 1].update(changes)
    context.deployment.submit(context.deployment.entries[-1], document)


@behave.when("callers stream {count:d} long answers through every instance")
def stream_long(context, count):
    deployment = context.deployment
    context.asks = [
        completions.ask(deployment, entry, f"file {number} {entry}", LONG_ANSWER)
        for entry in deployment.entries
        for number in range(count)
    ]
    context.replies = []
    context.streaming = threading.Thread(
        target=lambda: context.replies.extend(
            callers.complete_concurrently(context.asks)
        )
    )
    context.streaming.start()
    processes.wait_for(
        lambda: engine_state(context, 1)["streams"] > 0, "streams at engine 1"
    )


@behave.when('a document gives engine {number:d} the role "{role}"')
def give_role(context, number, role):
    submit_with_engine(context, number, role=role)


@behave.when("a document withdraws engine {number:d}")
def withdraw(context, number):
    submit_with_engine(context, number, serving="withdrawn")


@behave.then('engine {number:d} ends up in the role "{role}" and back in service')
def ends_in_role(context, number, role):
    processes.wait_for(
        lambda: (
            engine_state(context, number)["role"] == role
            and not any(withdrawn_everywhere(context))
        ),
        f"engine {number} as {role} and in service",
    )
    context.streaming.join()


@behave.then("every instance has withdrawn engine {number:d}")
def is_withdrawn(context, number):
    processes.wait_for(
        lambda: all(f"engine-{number}" in w for w in withdrawn_everywhere(context)),
        f"engine {number} withdrawn everywhere",
    )
    context.engine_runs = len(engine_history(context, number))


@behave.then("engine {number:d} ran none of them")
def ran_none(context, number):
    assert len(engine_history(context, number)) == context.engine_runs


@behave.then("no engine cut a stream")
def no_cut(context):
    for number in range(1, len(context.deployment.engines) + 1):
        kinds = [event["what"] for event in engine_history(context, number)]
        assert "cut" not in kinds, kinds
    assert "ordered" in [event["what"] for event in engine_history(context, 1)]


@behave.then("the audit trail shows the document, the drain, the order and the return")
def audit_shows(context):
    url = context.deployment.operators_url("entry-1", "/v1/audit")
    wanted = {"submit document", "drain", "order", "return to service"}

    def actions():
        records = processes.call("GET", url)[1]["records"]
        return {record["action"] for record in records}

    processes.wait_for(lambda: wanted <= actions(), f"records of {wanted}")
