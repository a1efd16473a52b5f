import concurrent.futures
import time

import behave

from standins import deployments, processes

CALL_BURST_SECONDS = 2
SEED_CALLERS = 9_600


def start(context, **options):
    context.deployment = deployments.Deployment(deployments.SMALL, **options)
    context.seen = {name: [] for name in context.deployment.entries}
    context.latest = 0
    submit(context, "entry-1", context.deployment.document())
    for name in context.deployment.entries:
        wait_for_number(context, name, context.latest)


def submit(context, entry, document, **query):
    pairs = {"operator": "test"} | query
    text = "&".join(f"{name}={value}" for name, value in pairs.items())
    url = context.deployment.operators_url(entry, f"/v1/documents?{text}")
    status, body = processes.call("POST", url, document, timeout_s=60)
    if status == 200:
        context.latest = max(context.latest, body["number"])
    return status, body


def look(context, entry):
    number = context.deployment.document_number(entry)
    context.seen[entry].append(number)
    return number


def wait_for_number(context, entry, number):
    processes.wait_for(
        lambda: look(context, entry) >= number, f"document {number} at {entry}"
    )


def changed(context, mark):
    document = context.deployment.document()
    document["roles"] = {"dwell_s": 10 + mark}
    return document


def ready(context, entry):
    url = context.deployment.operators_url(entry, "/readyz")
    return processes.call("GET", url)


def platform_fault(context, **fault):
    processes.call("POST", context.deployment.platform_url + "/faults", fault)


def restart(context, entry):
    deployment = context.deployment
    deployment.processes[entry].kill()
    domain = {"entry-1": "north", "entry-2": "south"}[entry]
    context.seen[entry] = []
    deployment.start_entry(entry, domain)
    deployment.processes.wait_healthy([entry])


@behave.given("config: a small fleet behind relays")
def small_fleet(context):
    start(context, relayed=True)


@behave.given("config: a small fleet with a budget of {calls:d} calls a second")
def small_fleet_with_budget(context, calls):
    context.budget = calls
    context.began = time.monotonic()
    start(context, calls_per_second=calls)


@behave.given('config: {count:d} documents are submitted through "{entry}"')
@behave.when('config: {count:d} documents are submitted through "{entry}"')
def submit_documents(context, count, entry):
    for number in range(count):
        status, body = submit(context, entry, changed(context, number))
        assert status == 200, body


@behave.when('config: "{entry}" is frozen')
def freeze(context, entry):
    context.deployment.processes[entry].suspend()


@behave.when('config: "{entry}" wakes and is watched until it has the latest document')
def wake(context, entry):
    context.deployment.processes[entry].resume()
    for name in context.deployment.entries:
        wait_for_number(context, name, context.latest)


@behave.then("config: no instance ever went back")
def never_back(context):
    for entry, numbers in context.seen.items():
        assert numbers == sorted(numbers) and numbers, (entry, numbers)
        assert numbers[-1] == context.latest, (entry, numbers)


@behave.when("config: the platform refuses every call")
def platform_out(context):
    platform_fault(context, kind="refuse", path="/v1/")


@behave.when('config: "{entry}" is killed and started again')
def kill_and_start(context, entry):
    restart(context, entry)


@behave.when('config: "{entry}" is killed and started again, cut off from "{other}"')
def kill_and_start_cut_off(context, entry, other):
    context.deployment.cut(entry, other)
    context.deployment.cut(other, entry)
    restart(context, entry)


@behave.then('config: "{entry}" comes to the latest document and is ready')
def comes_to_latest(context, entry):
    wait_for_number(context, entry, context.latest)
    assert ready(context, entry)[0] == 200


@behave.then('config: "{entry}" is not ready and waits for "{lack}"')
def is_not_ready(context, entry, lack):
    # Long enough for several attempts at peers and platform; no time is asserted.
    for _ in range(20):
        status, body = ready(context, entry)
        assert status == 503 and lack in body, (status, body)
        time.sleep(0.1)


@behave.when("config: the cuts and the outage end")
def all_ends(context):
    context.deployment.relays.heal()
    platform_fault(context, kind="clear")


@behave.when("config: two operators replace the same document through two instances")
def race(context):
    expected = context.latest
    context.racers = [
        ("entry-1", changed(context, 1), {"submission": "racer-1", "operator": "ann"}),
        ("entry-2", changed(context, 2), {"submission": "racer-2", "operator": "bob"}),
    ]

    def go(racer):
        entry, document, query = racer
        return submit(context, entry, document, expected=expected, **query)

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        context.outcomes = list(pool.map(go, context.racers))
    context.again = [go(racer) for racer in context.racers]


@behave.then(
    "config: one is accepted and the other is told who won, also when it asks again"
)
def one_won(context):
    for outcomes in (context.outcomes, context.again):
        assert sorted(status for status, _ in outcomes) == [200, 409], outcomes
        won = next(body for status, body in outcomes if status == 200)
        lost = next(body for status, body in outcomes if status == 409)
        assert lost["winner"]["submission"] == won["submission"], outcomes
        assert lost["error"]["execution"] == "not run", lost
    statuses = [[status for status, _ in o] for o in (context.outcomes, context.again)]
    assert statuses[0] == statuses[1], statuses


@behave.when("config: the platform loses its next {count:d} answers about the head")
def lose_answers(context, count):
    path = "/v1/objects/configuration/head"
    platform_fault(context, kind="drop_reply", path=path, times=count)


@behave.when('config: a document is submitted as "{submission}" through "{entry}"')
def submit_as(context, submission, entry):
    context.answer = submit(context, entry, changed(context, 50), submission=submission)
    context.accepted = getattr(context, "accepted", [])
    context.accepted.append(context.answer[1])


@behave.then("config: it was accepted")
def was_accepted(context):
    assert context.answer[0] == 200, context.answer


@behave.then("config: it was accepted with the same number and is said to be replaced")
def was_accepted_before(context):
    first, again = context.accepted
    assert again["number"] == first["number"], context.accepted
    assert again["replaced_by"]["number"] == context.latest, again


def parts_written(context):
    _, rows = processes.call("GET", context.deployment.platform_url + "/history")
    return sum(row["kind"] == "configuration-parts" for row in rows)


@behave.when(
    "config: a document above a megabyte is submitted and then changed a little"
)
def large_document(context):
    document = context.deployment.document()
    document["callers"] = [
        {"name": f"caller-{n}", "key_sha256": f"{n:064x}"} for n in range(SEED_CALLERS)
    ]
    assert len(processes.json.dumps(document)) > 1_000_000
    status, body = submit(context, "entry-1", document)
    assert status == 200, body
    context.many = parts_written(context)
    document["callers"].insert(
        SEED_CALLERS // 2, {"name": "new", "key_sha256": "f" * 64}
    )
    status, body = submit(context, "entry-1", document)
    assert status == 200, body
    for name in context.deployment.entries:
        wait_for_number(context, name, context.latest)


@behave.then("config: the change wrote at most {count:d} parts of the many")
def few_parts(context, count):
    written = parts_written(context) - context.many
    assert 1 <= written <= count < context.many / 10, (written, context.many)


@behave.when(
    "config: the platform refuses every call for {seconds:d} seconds and then returns"
)
def outage(context, seconds):
    platform_out(context)
    time.sleep(seconds)
    platform_fault(context, kind="clear")


@behave.then("config: the platform counted no more calls than the budgets allow")
def within_budget(context):
    for name in context.deployment.entries:
        wait_for_number(context, name, context.latest)
    _, calls = processes.call("GET", context.deployment.platform_url + "/calls")
    elapsed = time.monotonic() - context.began
    most = context.budget * (elapsed + CALL_BURST_SECONDS)
    counted = calls["arrived"]
    assert 0 < counted <= most * len(context.deployment.entries), (calls, elapsed)
    in_a_second = context.budget * (1 + CALL_BURST_SECONDS)
    assert calls["most_in_a_second"] <= in_a_second * 2, calls


@behave.when("config: the head is replaced by something else and then by what it was")
def replace_head(context):
    url = context.deployment.platform_url + "/v1/objects/configuration/head"
    _, before = processes.call("GET", url)
    metadata = before["metadata"]
    broken = {"metadata": metadata, "spec": {"number": "none"}}
    _, written = processes.call("PUT", url, broken)
    for entry in context.deployment.entries:
        processes.wait_for(lambda e=entry: faults_logged(context, e), "a logged fault")
    again = {"metadata": written["metadata"], "spec": before["spec"]}
    processes.call("PUT", url, again)


def faults_logged(context, entry):
    log = context.deployment.processes[entry].log.read_text()
    return "task failed and is started again" in log


@behave.then("config: every instance comes to the latest document")
def all_come_to_latest(context):
    for entry in context.deployment.entries:
        wait_for_number(context, entry, context.latest)


@behave.then("config: every instance has logged the fault")
def all_logged(context):
    for entry in context.deployment.entries:
        assert faults_logged(context, entry), entry
