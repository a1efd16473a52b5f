"""Memory and processor cost of an instance's state, measured inside one process.

Uses no sockets: the classes of an entry instance adopt documents, serve callers and
claim calls, with an in-memory store.
"""

import asyncio
import dataclasses
import datetime
import hashlib
import json
import time
import tracemalloc
import typing
import zlib

from benchmarks import fits
from pimentolatch import clock, fleet, settings
from pimentolatch.control import heads, local_document, parts
from pimentolatch.decisions import dispatcher, model_queues
from pimentolatch.document import schema
from pimentolatch.requests import key_claims
from standins import memory_store
from standins import object_table as table

__all__ = ["StateSlopes", "document_of", "measure"]

DOCUMENT_ENTRIES = (1000, 2000, 4000, 8000)
CALLERS = (500, 1500, 4900)
PAGE_CLAIMS = (0, 100, 200, 400)
ADOPTIONS = 3
DOMAINS = 9
MODELS = 7


@dataclasses.dataclass(frozen=True, slots=True)
class StateSlopes:
    """Cost of the state of an instance.

    Attributes:
        adoption_s: Processor seconds to adopt a document, over its entries (backend
            servers and callers).
        change_bytes: Bytes transferred for a change of one entry (head and changed
            parts, compressed), over the entries.
        document_bytes: Memory of the adopted document, over the entries.
        caller_bytes: Memory of the dispatcher's tables, over recently served callers.
        claim_bytes: Bytes read from and written to the store for one claimed call, over
            the claims on its page.
    """

    adoption_s: fits.Fit
    change_bytes: fits.Fit
    document_bytes: fits.Fit
    caller_bytes: fits.Fit
    claim_bytes: fits.Fit


def document_of(entries: int, changed: int = 0) -> schema.FleetDocument:
    """Return a document with servers and callers in the ratio of the full size.

    Args:
        entries: Number of backend servers and callers together.
        changed: Added to the streams of one server; documents with different values
            differ in this one entry.
    """
    servers = entries * 3800 // 8700
    engines: list[dict[str, typing.Any]] = [
        {
            "kind": "engine",
            "name": f"engine-{n}",
            "failure_domain": f"domain-{n % DOMAINS}",
            "address": {"host": f"10.{n >> 8 & 255}.{n & 255}.1", "port": 9100},
            "checks_fencing": True,
            "models": [f"model-{n % MODELS}"],
            "streams": 32 + (changed if n == servers // 2 else 0),
        }
        for n in range(servers)
    ]
    callers = [
        {"name": f"caller-{n}", "key_sha256": _key_hash(n)}
        for n in range(entries - servers)
    ]
    return schema.FleetDocument.model_validate(
        {
            "fleet": "full-size",
            "failure_domains": [
                {"name": f"domain-{n}", "region": f"region-{n % 3}"}
                for n in range(DOMAINS)
            ],
            "models": [{"name": f"model-{n}"} for n in range(MODELS)],
            "backend_servers": engines,
            "callers": callers,
        }
    )


def _key_hash(number: int) -> str:
    return hashlib.sha256(str(number).encode()).hexdigest()


def _head(number: int, document: schema.FleetDocument) -> heads.Head:
    names = tuple(part.content_hash for part in parts.split(document))
    text = parts.document_text(document)
    return heads.Head(
        number=number,
        content_hash=parts.content_hash(text),
        submission_id="benchmark",
        operator="benchmark",
        submitted_at=datetime.datetime.now(datetime.UTC).isoformat(),
        parts=names,
    )


def _adoption(entries: int) -> tuple[float, float, float]:
    """Return the processor seconds, bytes and memory of adopting a document."""
    documents = [document_of(entries, changed) for changed in range(ADOPTIONS)]
    part_texts = [
        {part.content_hash: part.text for part in parts.split(document)}
        for document in documents
    ]
    new_heads = [_head(n + 1, document) for n, document in enumerate(documents)]
    tracemalloc.start()
    held = local_document.LocalDocument(fleet.Fleet(), clock.SystemClock())
    held.set_views_known()
    held.adopt(new_heads[0], part_texts[0])
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    start = time.process_time()
    for head, texts in zip(new_heads[1:], part_texts[1:], strict=True):
        held.adopt(head, texts)
    spent = (time.process_time() - start) / (ADOPTIONS - 1)
    changed = [
        part_texts[1][name] for name in part_texts[1].keys() - part_texts[0].keys()
    ]
    transferred = [json.dumps(new_heads[1].to_json()), *changed]
    size = sum(len(zlib.compress(text.encode())) for text in transferred)
    return spent, float(size), float(memory)


def _callers_memory(count: int) -> float:
    document = document_of(CALLERS[-1] * 2)
    own_fleet = fleet.Fleet()
    own_fleet.adopt(fleet.Configuration(1, "", document))
    tracemalloc.start()
    decisions = dispatcher.Dispatcher("entry-1", "domain-0")
    limit = datetime.timedelta(seconds=60)
    for number in range(count):
        now = datetime.timedelta(milliseconds=number)
        model = f"model-{number % MODELS}"
        request = model_queues.Request(
            f"r{number}", f"caller-{number}", model, f"p{number}", 64, now + limit
        )
        decisions.arrive(own_fleet.view, request, now)
        decisions.start(own_fleet.view, now)
        decisions.leave(request.request_id, now)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(memory)


class _CountingStore(memory_store.MemoryStore):
    """Store that counts the bytes of values read and written."""

    transferred = 0

    async def get(self, kind: str, name: str) -> typing.Any:
        found = await super().get(kind, name)
        value = getattr(found, "value", None)
        self.transferred += len(json.dumps(value)) if value is not None else 0
        return found

    async def put(
        self, kind: str, name: str, value: typing.Any, **more: int
    ) -> typing.Any:
        self.transferred += len(json.dumps(value))
        return await super().put(kind, name, value, **more)


async def _claim_bytes(held: int) -> float:
    objects = _CountingStore(table.ObjectTable(), time=clock.SystemClock())
    address = settings.Address(host="127.0.0.1", port=8080)
    owner = key_claims.Owner("entry-1/1a2387d45d0-d0a9304e", address)
    pages = key_claims.ClaimPages(objects, owner, clock.SystemClock())
    first = _key_hash(0)
    page = [
        key_claims.Claim(
            first[:8] + _key_hash(n + 1)[8:],
            _key_hash(n),
            f"{n:032x}",
            None,
            datetime.datetime.now(datetime.UTC) - 2 * key_claims.ANSWER_RETENTION,
            "answered",
        ).to_json()
        for n in range(held)
    ]
    if page:
        name = key_claims.page_of(first)
        await objects.put(key_claims.KIND, name, {"claims": page}, if_version=0)
    objects.transferred = 0
    outcome = await pages.claim(first, "fingerprint")
    if not isinstance(outcome, key_claims.Claimed):
        raise RuntimeError(f"claim not granted: {outcome}")
    await pages.settle(outcome.claim, "answered", None)
    return float(objects.transferred)


def measure() -> StateSlopes:
    """Measure state at several sizes."""
    adoptions = [(count, *_adoption(count)) for count in DOCUMENT_ENTRIES]
    return StateSlopes(
        fits.line([(row[0], row[1]) for row in adoptions]),
        fits.line([(row[0], row[2]) for row in adoptions]),
        fits.line([(row[0], row[3]) for row in adoptions]),
        fits.line([(count, _callers_memory(count)) for count in CALLERS]),
        fits.line([(n, asyncio.run(_claim_bytes(n))) for n in PAGE_CLAIMS]),
    )


if __name__ == "__main__":
    print(measure())
