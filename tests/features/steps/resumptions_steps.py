import datetime
import types
from unittest import mock

import behave

from pimentolatch import clock, settings
from pimentolatch.decisions import stream_origins
from pimentolatch.gateway import fleet_state, resumptions
from pimentolatch.routes import servers

SERVICE = "lm"


def engine(started_at, version):
    started_ms = round(started_at.timestamp() * 1000)
    address = settings.Address(host="127.0.0.1", port=9)
    return servers.Server(
        "a1",
        SERVICE,
        address,
        "here",
        False,
        servers.Stage.DECODE,
        1,
        version=version,
        started_ms=started_ms,
    )


@behave.given(
    "resumptions: an instance that records streams, and an engine of version"
    ' "{version}"'
)
def start(context, version):
    context.time = clock.SystemClock()
    context.fleet = fleet_state.FleetState()
    context.exchange = mock.Mock()
    context.resumptions = resumptions.Resumptions(
        context.fleet, context.exchange, mock.Mock(), mock.Mock(), context.time
    )
    started_at = context.time.now() - datetime.timedelta(minutes=1)
    context.engine = engine(started_at, version)
    context.fleet.replace_servers(1, [context.engine])


@behave.when("resumptions: the engine proves that it began a stream")
def begin(context):
    head = types.SimpleNamespace(last_event=0)
    request = types.SimpleNamespace(request_id="r1", head=head)
    context.resumptions.begin(request, context.engine, proven=True)


@behave.when(
    'resumptions: the instance learns that it started again at "{version}"'
    " {after_ms:d} ms later"
)
def start_again(context, version, after_ms):
    started_at = context.time.now() + datetime.timedelta(milliseconds=after_ms)
    context.fleet.update_servers(2, [engine(started_at, version)], [])


@behave.then('resumptions: the stream is recorded once, as one of "{version}"')
def recorded_once(context, version):
    calls = context.exchange.record.call_args_list
    builds = [call.args[1] for call in calls]
    assert builds == [stream_origins.build_key(SERVICE, version)], calls
