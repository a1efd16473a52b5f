import behave

from tests.support import closing_server, peer_detour, route_world

STREAMS = ("draft", "digest")
STATUS = "the status "


def head_with(oddity):
    """Return a head without its seal and length."""
    if oddity.startswith(STATUS):
        return f"HTTP/1.1 {oddity.removeprefix(STATUS)} Odd\r\n".encode()
    return b"HTTP/1.1 200 OK\r\nx-note: a\x01b\r\n"


class OddServer(closing_server.ClosingServer):
    """Answers with a head of its own."""

    async def _answer(self, writer):
        body = closing_server.PLAIN if self._stage is None else closing_server.EVENTS
        writer.write(head_with(self._ending) + closing_server.SEAL)
        writer.write(b"\r\ncontent-length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()


@behave.given('odd answers: a server whose answers of "{route}" have {oddity}')
def server(context, route, oddity):
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()
    service, stage = ("lm", "decode") if route in STREAMS else ("app", None)
    context.odd = OddServer("odd", service, stage, oddity)
    context.route_runner.run(context.world.start_before(context.odd))


@behave.given('odd answers: a peer whose answers of "{route}" have {oddity}')
def peer(context, route, oddity):
    server(context, route, oddity)
    _, instance = context.world.instances["one"]
    host, _, port = context.odd.entry()["address"].partition(":")
    peer_detour.lead(instance, host, int(port))


@behave.when('odd answers: "{route}" is asked for')
def ask(context, route):
    context.reply = context.route_runner.run(context.world.ask(route, "asked"))


@behave.then("odd answers: the client gets a whole answer")
def whole(context):
    reply = context.reply
    assert (reply.status, reply.complete) == (200, True), reply
    assert reply.body in (closing_server.PLAIN, closing_server.EVENTS)
    assert reply.fields["x-note"] == "a b"


@behave.then("odd answers: the client gets 502")
def unknown(context):
    assert context.reply.status == 502, context.reply
