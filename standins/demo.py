"""The main job on embedded stand-ins, in one process: `make demo`.

Two entry instances in two failure domains stand before four engines and a plain
server. Callers stream answers while a document gives one engine another role; one
request is refused. Exits 0 only if every answer was whole and the refusal truthful.
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
    """A streamed answer as a caller received it."""

    prompt: str
    text: str
    whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """What runs, with its addresses."""

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
    chosen = engine.EngineSettings(name, HOST, 0, models=(MODEL,), change_s=0.5)
    return await _serve(stack, engine.build(engine.Engine(chosen)))


async def _start_site(stack: contextlib.AsyncExitStack) -> Site:
    store = await _serve(stack, platform.build(platform.Platform(list_lag_s=0.1)))
    engines = {
        f"engine-{n}": await _start_engine(stack, f"engine-{n}")
        for n in range(1, ENGINES + 1)
    }
    booking = await _serve(stack, plain.build(plain.PlainService("booking-1")))
    entries = tuple(_entry_settings(domain, store) for domain in DOMAINS)
    for chosen in entries:
        instance = process.EntryInstance(chosen, clock.SystemClock())
        await instance.start()
        stack.push_async_callback(instance.stop)
    rows = [
        {
            "name": chosen.instance,
            "kind": "entry",
            "failure_domain": chosen.failure_domain,
            "host": HOST,
            "peer_port": chosen.peers.address.port,
            "state": "live",
            "ended": [],
        }
        for chosen in entries
    ]
    await _call("POST", store.url + "/instances", rows)
    return Site(engines, _document(engines, booking), entries)


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


def _is_right(reply: Reply) -> bool:
    tokens = (engine.answer_token(reply.prompt, n) for n in range(TOKENS))
    return reply.whole and reply.text == "".join(tokens)


async def _submit(site: Site) -> int:
    url = site.entries[0].operators.url + "/v1/documents?operator=demo"
    status, body = await _call("POST", url, site.document)
    if status != 200:
        raise RuntimeError(f"the document was refused: {body}")
    number = int(body["number"])
    for chosen in site.entries:
        await _until(chosen.operators.url + "/v1/status", _in_force(number))
    return number


def _in_force(number: int) -> typing.Callable[[typing.Any], bool]:
    def holds(status: typing.Any) -> bool:
        current = status["configuration"]
        return current is not None and current["number"] >= number

    return holds


async def _until(url: str, holds: typing.Callable[[typing.Any], bool]) -> None:
    for _ in range(CHANGE_POLLS):
        if holds((await _call("GET", url))[1]):
            return
        await asyncio.sleep(POLL_S)
    raise RuntimeError(f"{url} never showed what was awaited")


async def _run() -> bool:
    async with contextlib.AsyncExitStack() as stack:
        site = await _start_site(stack)
        print(f"document {await _submit(site)} is in force on every instance")
        callers = [chosen.callers.url for chosen in site.entries]
        streams = [
            asyncio.create_task(_stream(callers[n % 2], f"badge for guest {n}"))
            for n in range(STREAMS)
        ]
        await asyncio.sleep(POLL_S)
        site.document["backend_servers"][0]["role"] = "prefill"
        number = await _submit(site)
        print(f"document {number} asks for engine-1 in the role prefill")
        replies = await asyncio.gather(*streams)
        right = sum(_is_right(reply) for reply in replies)
        print(f"{right} of {STREAMS} streamed answers came whole")
        state_url = site.engines["engine-1"].url
        await _until(state_url + "/v1/state", lambda state: state["role"] == "prefill")
        _, history = await _call("GET", state_url + "/history")
        cut = sum(event["what"] == "cut" for event in history)
        print(f"engine-1 is in the role prefill; streams it cut: {cut}")
        found = await _call("POST", callers[1] + "/v1/services/booking/find", {"id": 7})
        print(f"a call of the booking service answered with status {found[0]}")
        status, body = await _call(
            "POST", callers[0] + "/v1/completions", {"model": "unknown", "prompt": "x"}
        )
        error = body["error"]
        print(
            f"a request for an unknown model was refused: status {status}, "
            f"code {error['code']}, {error['execution']}"
        )
        whole = right == STREAMS and cut == 0
        return whole and found[0] == 200 and error["execution"] == "not run"


def main() -> None:
    """Run the demonstration."""
    succeeded = asyncio.run(_run())
    print("all answers were whole" if succeeded else "NOT all answers were whole")
    sys.exit(0 if succeeded else 1)


if __name__ == "__main__":
    main()
