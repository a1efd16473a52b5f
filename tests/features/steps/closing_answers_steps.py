import behave

from tests.support import closing_server, route_world

STREAMS = ("draft", "digest")


@behave.given('closing: a server whose answers of "{route}" are {ending}')
def server(context, route, ending):
    context.route_runner = route_world.runner()
    context.world = route_world.RouteWorld()
    service, stage = ("lm", "decode") if route in STREAMS else ("app", None)
    closing = closing_server.ClosingServer("closing", service, stage, ending)
    context.route_runner.run(context.world.start_before(closing))


@behave.when('closing: "{route}" is asked for')
def ask(context, route):
    context.reply = context.route_runner.run(context.world.ask(route, "asked"))


@behave.then("closing: the client gets a whole answer")
def whole(context):
    assert (context.reply.status, context.reply.complete) == (200, True)
    assert context.reply.body in (closing_server.PLAIN, closing_server.EVENTS)


@behave.then("closing: the client gets 502")
def unknown(context):
    assert context.reply.status == 502, context.reply


@behave.then("closing: the client gets an answer broken off")
def broken_off(context):
    assert (context.reply.status, context.reply.complete) == (200, False)
    assert context.reply.body == closing_server.EVENTS
