"""Demonstration with embedded stand-ins, in one process: `make demo`.

Two entry instances in two failure domains serve four engines and a plain server.
Callers stream completions while a document changes the role of one engine. A request
for an unknown model is refused. Exits with 0 only if every stream was complete, the
role change cut none, the call of the plain service succeeded and the refusal says that
the request did not run.
"""

import asyncio
import contextlib
import dataclasses
import json
import socket
import sys
import typing

import aiosonic

from pimentolatch import clock, settings
from pimentolatch.entry import http_server, process
from standins import engine, plain, platform

__all__ = ["main"]

HOST = "127.0.0.1"
MODEL = "badge-draft"
DOMAINS = ("north", "south")
ENGINES = 4
STREAMS = 12
TOKENS = 300
HEADERS = {"content-type": "application/json"}
CHANGE_POLLS = 300
POLL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A streamed completion as a caller received it."""

    prompt: str
    text: str
    is_complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Running servers and instances, with their addresses."""

    engines: dict[str, settings.Address]
    document: dict[str, typing.Any]
    entries: tuple[settings.EntrySettings, ...]


def _free_address() -> settings.Address:
    with socket.create_server((HOST, 0)) as listener:
        return settings.Address(host=HOST, port=listener.getsockname()[1])


async def _serve(
    stack: contextlib.AsyncExitStack, application: typing.Any
) -> settings.Address:
    address = _free_address()
    server = http_server.HttpServer(application, address)
    await server.start()
    stack.push_async_callback(server.stop)
    return address


async def _start_engine(
    stack: contextlib.AsyncExitStack, name: str
) -> settings.Address:
    engine_settings = engine.EngineSettings(
        name, HOST, 0, models=(MODEL,), change_s=0.5
    )
    return await _serve(stack, engine.build(engine.Engine(engine_settings)))


async def _start_deployment(stack: contextlib.AsyncExitStack) -> Deployment:
    store = await _serve(stack, platform.build(platform.Platform(list_lag_s=0.1)))
    engines = {
        f"engine-{n}": await _start_engine(stack, f"engine-{n}")
        for n in range(1, ENGINES + 1)
    }
    booking = await _serve(stack, plain.build(plain.PlainService("booking-1")))
    entries = tuple(_entry_settings(domain, store) for domain in DOMAINS)
    for entry in entries:
        instance = process.EntryInstance(entry, clock.SystemClock())
        await instance.start()
        stack.push_async_callback(instance.stop)
    rows = [
        {
            "name": entry.instance,
            "kind": "entry",
            "failure_domain": entry.failure_domain,
            "host": HOST,
            "peer_port": entry.peers.address.port,
            "state": "live",
            "ended": [],
        }
        for entry in entries
    ]
    await _call("POST", store.url + "/instances", rows)
    return Deployment(engines, _document(engines, booking), entries)


def _entry_settings(domain: str, store: settings.Address) -> settings.EntrySettings:
    return settings.EntrySettings(
        instance=f"{domain}-1",
        failure_domain=domain,
        callers=_free_address(),
        operators=_free_address(),
        peers=settings.PeerSettings(address=_free_address()),
        platform=settings.PlatformSettings(address=store),
    )


def _document(
    engines: dict[str, settings.Address], booking: settings.Address
) -> dict[str, typing.Any]:
    rows: list[dict[str, typing.Any]] = [
        {
            "kind": "engine",
            "name": name,
            "failure_domain": DOMAINS[number % len(DOMAINS)],
            "address": address.model_dump(),
            "checks_fencing": True,
            "models": [MODEL],
        }
        for number, (name, address) in enumerate(engines.items())
    ]
    rows.append(
        {
            "kind": "plain",
            "name": "booking-1",
            "failure_domain": DOMAINS[0],
            "address": booking.model_dump(),
            "services": ["booking"],
        }
    )
    operations = [{"name": "find", "repeatable": True}]
    return {
        "fleet": "demo",
        "failure_domains": [{"name": name, "region": "here"} for name in DOMAINS],
        "models": [{"name": MODEL}],
        "services": [{"name": "booking", "operations": operations}],
        "backend_servers": rows,
    }


async def _call(
    method: str, url: str, body: typing.Any = None
) -> tuple[int, typing.Any]:
    data = None if body is None else json.dumps(body).encode()
    async with aiosonic.HTTPClient() as client:
        response = await client.request(url, method, data=data, headers=HEADERS)
        return response.status_code, json.loads(await response.content())


async def _stream(url: str, prompt: str) -> Reply:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": TOKENS, "stream": True}
    text: list[str] = []
    async with aiosonic.HTTPClient() as client:
        response = await client.post(
            url + "/v1/completions", data=json.dumps(body).encode(), headers=HEADERS
        )
        raw = b"".join([chunk async for chunk in response.read_chunks()])
    events = [event.removeprefix(b"data: ") for event in raw.split(b"\n\n") if event]
    for event in events[:-1]:
        text += [choice["text"] for choice in json.loads(event).get("choices", ())]
    return Reply(prompt, "".join(text), events[-1] == b"[DONE]")


def _is_correct(reply: Reply) -> bool:
    tokens = (engine.answer_token(reply.prompt, n) for n in range(TOKENS))
    return reply.is_complete and reply.text == "".join(tokens)


async def _submit(deployment: Deployment) -> int:
    url = deployment.entries[0].operators.url + "/v1/documents?operator=demo"
    status, body = await _call("POST", url, deployment.document)
    if status != 200:
        raise RuntimeError(
            f"POST {url} refused the document with status {status}: {body}"
        )
    number = int(body["number"])
    for entry in deployment.entries:
        await _wait_until(
            entry.operators.url + "/v1/status", _has_configuration(number)
        )
    return number


def _has_configuration(number: int) -> typing.Callable[[typing.Any], bool]:
    def in_force(status: typing.Any) -> bool:
        current = status["configuration"]
        return current is not None and current["number"] >= number

    return in_force


async def _wait_until(url: str, condition: typing.Callable[[typing.Any], bool]) -> None:
    for _ in range(CHANGE_POLLS):
        if condition((await _call("GET", url))[1]):
            return
        await asyncio.sleep(POLL_S)
    raise RuntimeError(
        f"{url} did not reach the expected state in {CHANGE_POLLS} polls"
    )


async def _run() -> bool:
    async with contextlib.AsyncExitStack() as stack:
        deployment = await _start_deployment(stack)
        print(f"document {await _submit(deployment)} is in force on every instance")
        caller_urls = [entry.callers.url for entry in deployment.entries]
        streams = [
            asyncio.create_task(_stream(caller_urls[n % 2], f"badge for guest {n}"))
            for n in range(STREAMS)
        ]
        await asyncio.sleep(POLL_S)
        deployment.document["backend_servers"][0]["role"] = "prefill"
        number = await _submit(deployment)
        print(f"document {number} assigns the role prefill to engine-1")
        replies = await asyncio.gather(*streams)
        correct = sum(_is_correct(reply) for reply in replies)
        print(f"{correct} of {STREAMS} streamed completions are complete and correct")
        state_url = deployment.engines["engine-1"].url
        await _wait_until(
            state_url + "/v1/state", lambda state: state["role"] == "prefill"
        )
        _, history = await _call("GET", state_url + "/history")
        cut = sum(event["what"] == "cut" for event in history)
        print(f"engine-1 has the role prefill; the change cut {cut} streams")
        booking = await _call(
            "POST", caller_urls[1] + "/v1/services/booking/find", {"id": 7}
        )
        print(f"a call of the booking service returned status {booking[0]}")
        status, body = await _call(
            "POST",
            caller_urls[0] + "/v1/completions",
            {"model": "unknown", "prompt": "x"},
        )
        error = body["error"]
        print(
            f"a request for an unknown model was refused: status {status}, "
            f"code {error['code']}, {error['execution']}"
        )
        intact = correct == STREAMS and cut == 0
        return intact and booking[0] == 200 and error["execution"] == "not run"


def main() -> None:
    """Run the demonstration."""
    succeeded = asyncio.run(_run())
    print("demonstration succeeded" if succeeded else "demonstration FAILED")
    sys.exit(0 if succeeded else 1)


if __name__ == "__main__":
    main()
