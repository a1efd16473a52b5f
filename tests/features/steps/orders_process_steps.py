import json

import behave
import psutil

from standins import processes

PLATFORM_PORT = 9000
ENGINE_PORT = 9100
DOMAIN = "north"
STATED_TIMEOUT_S = 1.0


class Parts:
    """A platform, an engine and the processes that order it."""

    def __init__(self, *, fenced, timeout_s=STATED_TIMEOUT_S):
        self.processes = processes.Processes()
        network = processes.Network()
        self.platform = {"host": network.address(), "port": PLATFORM_PORT}
        self.engine = {"host": network.address(), "port": ENGINE_PORT}
        self.fenced = fenced
        self.timeout_s = timeout_s
        self.processes.start(
            "platform",
            ("standins.platform",),
            self.platform,
            self.platform_url("/calls"),
        )
        self.start_engine()
        self.processes.wait_healthy()

    def start_engine(self):
        chosen = {
            "name": "engine-1",
            "models": ["badge-draft"],
            "checks_fencing": self.fenced,
            "order_read_timeout_s": self.timeout_s,
        }
        self.processes.start(
            "engine",
            ("standins.engine",),
            self.engine | chosen,
            self.engine_url("/v1/state"),
        )

    def platform_url(self, path):
        return f"http://{self.platform['host']}:{PLATFORM_PORT}{path}"

    def engine_url(self, path):
        return f"http://{self.engine['host']}:{ENGINE_PORT}{path}"

    def start_driver(self, name, role, freeze_at=""):
        engine = {
            "name": "engine-1",
            "failure_domain": DOMAIN,
            "address": self.engine,
            "checks_fencing": self.fenced,
            "reads_time_out_s": STATED_TIMEOUT_S,
            "models": ["badge-draft"],
        }
        chosen = {
            "instance": name,
            "failure_domain": DOMAIN,
            "address": self.platform,
            "engine": engine,
            "role": role,
            "freeze_at": freeze_at,
        }
        return self.processes.start(name, ("tests.support.order_driver",), chosen, "")

    def state(self):
        return processes.call("GET", self.engine_url("/v1/state"))[1]

    def slot(self):
        url = self.platform_url(f"/v1/objects/order-slots/{DOMAIN}.engine-1")
        return processes.call("GET", url)[1]["spec"]

    def orders_taken(self):
        history = processes.call("GET", self.engine_url("/history"))[1]
        return [event["body"] for event in history if event["what"] == "order"]

    def stop(self):
        self.processes.stop_all()


def frozen(process):
    return psutil.Process(process.popen.pid).status() == psutil.STATUS_STOPPED


def finish(process):
    processes.wait_for(lambda: process.popen.poll() is not None, process.name)
    text = process.log.read_text(encoding="utf-8")
    assert process.popen.returncode == 0, text
    return text


@behave.given("orders: a platform and an engine that {checks} fencing numbers")
def parts_run(context, checks):
    context.deployment = Parts(fenced=checks == "checks")


@behave.given("orders: an engine without fencing that reads for longer than stated")
def parts_with_false_timeout(context):
    context.deployment = Parts(fenced=False, timeout_s=60.0)


@behave.when('orders: a process that orders "{role}" is frozen when "{point}"')
def process_is_frozen(context, role, point):
    context.frozen = context.deployment.start_driver("entry-1", role, point)
    processes.wait_for(lambda: frozen(context.frozen), f"frozen when {point}")


@behave.when('orders: another process orders "{role}"')
def another_orders(context, role):
    finish(context.deployment.start_driver("entry-2", role))


@behave.when("orders: the frozen process wakes and ends")
def frozen_wakes(context):
    context.frozen.resume()
    context.outcome = finish(context.frozen)


@behave.when("orders: the frozen process is killed")
def frozen_is_killed(context):
    context.frozen.kill()


@behave.when('orders: a process orders "{role}" and the engine is killed in the change')
def engine_is_killed(context, role):
    parts = context.deployment
    driver = parts.start_driver("entry-2", role)
    processes.wait_for(lambda: parts.state()["changing"], "the change begins")
    parts.processes["engine"].kill()
    parts.start_engine()
    finish(driver)


@behave.when("orders: the answers of the next {count:d} updates of the slot are lost")
def answers_are_lost(context, count):
    parts = context.deployment
    # Reads of the slot use the same path, so the first update is done by hand here.
    path = f"/v1/objects/order-slots/{DOMAIN}.engine-1"
    fault = {"kind": "drop_reply", "path": path, "times": count, "method": "PUT"}
    status, _ = processes.call("POST", parts.platform_url("/faults"), fault)
    assert status == 200


@behave.then("orders: the engine took orders of the other process only")
def only_the_others_orders(context):
    taken = context.deployment.orders_taken()
    assert taken, "no order at all"
    assert all(order["sender"].startswith("entry-2/") for order in taken), taken


@behave.then("orders: the engine took exactly {count:d} order")
def engine_took(context, count):
    taken = context.deployment.orders_taken()
    assert len(taken) == count, taken


@behave.then('orders: the frozen process ended with "{outcome}"')
def frozen_ended_with(context, outcome):
    assert f"outcome: {outcome}" in context.outcome, context.outcome


@behave.then('orders: the engine and its slot rest in "{role}"')
def engine_rests(context, role):
    state, slot = context.deployment.state(), context.deployment.slot()
    assert (state["role"], state["changing"]) == (role, False), state
    assert slot["state"] == "settled", slot
    assert slot["order"]["target"]["role"] == role, slot
    assert slot["order"]["order"] == state["last_order"], json.dumps([slot, state])


@behave.then("orders: the late order has undone the newer one")
def late_order_took_effect(context):
    taken = [order["role"] for order in context.deployment.orders_taken()]
    assert taken == ["decode", "prefill"], taken
    assert context.deployment.slot()["order"]["target"]["role"] == "decode"
