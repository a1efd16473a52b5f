import subprocess
import sys

import behave

COUNT = 99
# Lists its ports, and holds its block until its input ends.
PROGRAM = f"""
import os, sys
os.getpid = lambda: 7
from tests.support import route_world
print(*(route_world.free_port() for _ in range({COUNT})), flush=True)
sys.stdin.read()
"""


def start():
    return subprocess.Popen(
        [sys.executable, "-c", PROGRAM],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def listed(process):
    ports = {int(port) for port in process.stdout.readline().split()}
    assert ports
    return ports


@behave.when(
    "ports: two processes whose ids choose the same block list all their ports"
)
def two_processes(context):
    with start() as first, start() as second:
        context.ports = [listed(first), listed(second)]
        first.stdin.close()
        second.stdin.close()


@behave.then("ports: no port is listed by both")
def distinct(context):
    first, second = context.ports
    assert not first & second, first & second
