import asyncio
import json
from unittest import mock

import behave

from pimentolatch import results
from pimentolatch.gateway import dispatch
from tests.support import closing_server, route_world

STREAMS = ("draft", "digest")


async def never(*_):
    await asyncio.Event().wait()


class DeafServer(closing_server.ClosingServer):
    """Accepts connections and reads nothing."""

    async def start(self):
        self._stopped = asyncio.Event()
        await super().start()

    async def stop(self):
        await super().stop()
        self._stopped.set()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        await self._stopped.wait()
        writer.close()


def start(context):
    """Start a world with one instance; return its plain server."""
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()

    async def start_world():
        await context.world.start_store()
        await context.world.configure(1)
        server = await context.world.add_server("plain", "app")
        await context.world.add_instance()
        return server

    return context.route_runner.run(start_world())


@behave.given(
    "in time: an instance with a plain server that is gone, whose probes do not end"
)
def without_path(context):
    server = start(context)
    context.route_runner.run(server.stop())
    endless = mock.patch.object(dispatch.ServerClient, "probe", never)
    endless.start()
    context.add_cleanup(endless.stop)


@behave.given('in time: an instance whose server of "{route}" reads nothing')
def deaf(context, route):
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()
    service, stage = ("lm", "decode") if route in STREAMS else ("app", None)
    server = DeafServer("deaf", service, stage, "")
    context.route_runner.run(context.world.start_before(server))


@behave.when('in time: "{route}" is asked for with 1 second left')
def ask(context, route):
    asked = context.world.ask(route, "asked", body=b"body", x_deadline_ms="1000")
    context.reply = context.route_runner.run(asked)


@behave.then("in time: it is refused as not run")
def refused(context):
    assert context.reply.status == 503, context.reply
    body = json.loads(context.reply.body)["error"]
    assert body["execution"] == results.Execution.NOT_RUN.value, body
