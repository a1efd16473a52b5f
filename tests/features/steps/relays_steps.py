import select
import signal
import socket
import struct
import subprocess
import sys
import time

import behave

from standins import relay
from tests.support import route_world

WAIT_S = 10.0
# How long nothing may arrive.
QUIET_S = 0.3
POLL_S = 0.02
NAME = "path"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SIGNALS = {"stopped": signal.SIGSTOP, "killed": signal.SIGKILL}
DIRECTIONS = {"client": relay.TO_SERVER, "server": relay.TO_CLIENT}
# Starts a relay, tells that it listens, and waits to be killed.
PROGRAM = """
import sys
from standins import relay
relays = relay.Relays()
listen, target = (("127.0.0.1", int(port)) for port in sys.argv[1:])
relays.start("path", listen, target)
print("listens", flush=True)
sys.stdin.read()
"""


@behave.given("relays: a connection through a relay")
def connection(context):
    context.relays = relay.Relays()
    context.add_cleanup(context.relays.stop)
    address = (route_world.HOST, route_world.free_port())
    with socket.create_server((route_world.HOST, 0)) as listener:
        context.relays.start(NAME, address, listener.getsockname())
        client = socket.create_connection(address, WAIT_S)
        listener.settimeout(WAIT_S)
        server, _ = listener.accept()
    context.sides = {"client": client, "server": server}
    for side in context.sides.values():
        context.add_cleanup(side.close)
        side.settimeout(WAIT_S)
    # Only then does the relay surely have both ends.
    client.sendall(b"x")
    assert server.recv(1) == b"x"


@behave.given("relays: the way from the {name} is cut")
def cut(context, name):
    context.relays.cut(NAME, DIRECTIONS[name])


@behave.given("relays: the connection is silenced")
def silenced(context):
    assert context.relays.silence(NAME) == 1


@behave.when('relays: the {name} sends "{text}" and closes its sending side')
def sends_and_closes(context, name, text):
    context.sides[name].sendall(text.encode())
    context.sides[name].shutdown(socket.SHUT_WR)


@behave.when("relays: the {name} resets the connection")
def resets(context, name):
    side = context.sides[name]
    side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    side.close()


@behave.when("relays: the relay resets its connections")
def relay_resets(context):
    context.relays.reset(NAME)


@behave.when("relays: the cut ends")
def heals(context):
    context.relays.heal(NAME)


@behave.when("relays: a process that has started a relay is {fate}")
def starter(context, fate):
    context.address = (route_world.HOST, route_world.free_port())
    context.listener = socket.create_server((route_world.HOST, 0))
    context.add_cleanup(context.listener.close)
    context.listener.settimeout(WAIT_S)
    ports = [str(context.address[1]), str(context.listener.getsockname()[1])]
    started = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, *ports],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    context.add_cleanup(end, started)
    assert started.stdout.readline()
    socket.create_connection(context.address, WAIT_S).close()
    started.send_signal(SIGNALS[fate])


def end(started):
    with started:
        started.kill()


@behave.then("relays: what a client sends through it arrives")
def arrives(context):
    with socket.create_connection(context.address, WAIT_S) as client:
        client.sendall(b"first")
        client.shutdown(socket.SHUT_WR)
        # The first connection tells that the relay listens, and sends nothing.
        texts = [accepted(context.listener), accepted(context.listener)]
    assert sorted(texts) == [b"", b"first"], texts


def accepted(listener):
    server, _ = listener.accept()
    server.settimeout(WAIT_S)
    with server:
        return received(server)


@behave.then('relays: the {name} receives "{text}" and the end')
def receives_all(context, name, text):
    assert received(context.sides[name]) == text.encode()


def received(side):
    data = b""
    while chunk := side.recv(1024):
        data += chunk
    return data


@behave.then("relays: the {name} receives nothing")
def receives_nothing(context, name):
    readable, _, _ = select.select([context.sides[name]], [], [], QUIET_S)
    assert not readable


@behave.then("relays: the {name} sees a reset")
def sees_reset(context, name):
    assert is_reset(lambda: context.sides[name].recv(1024))


@behave.then("relays: the {name} sees a reset when it writes")
def sees_reset_when_it_writes(context, name):
    deadline = time.monotonic() + WAIT_S
    while not is_reset(lambda: context.sides[name].sendall(b"more")):
        assert time.monotonic() < deadline
        time.sleep(POLL_S)


def is_reset(use):
    try:
        use()
    except (ConnectionResetError, BrokenPipeError):
        return True
    return False


@behave.then("relays: the relay's port refuses connections")
def refused(context):
    deadline = time.monotonic() + WAIT_S
    while connects(context.address):
        assert time.monotonic() < deadline
        time.sleep(POLL_S)


def connects(address):
    try:
        socket.create_connection(address, WAIT_S).close()
    except ConnectionRefusedError:
        return False
    return True
