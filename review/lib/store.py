"""Stand-in for the platform's store (PROTOCOL.md), in the process of a test."""

import asyncio
import json
import urllib.parse

import http11


class Store:
    """Objects by kind and name, with one revision counter and a history."""

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.history = []
        self._changed = asyncio.Event()
        self._server = None
        self.calls = []

    async def start(self, host, port=0):
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def close(self):
        """Stop listening."""
        self._server.close()

    def write(self, kind, name, spec):
        """Create or replace an object, as the operator and the servers do."""
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known["metadata"]["created"] if known else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = item
        self._record(kind, item, deleted=False)
        return item

    def remove(self, kind, name):
        """Remove an object."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._record(kind, item, deleted=True)

    def _record(self, kind, item, *, deleted):
        self.history.append((self.revision, kind, {"deleted": deleted, "object": item}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (request := await http11.read_message(reader)) is not None:
                status, body = await self._answer(request)
                data = json.dumps(body).encode()
                fields = [
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(data))),
                ]
                writer.write(http11.head_bytes(f"HTTP/1.1 {status} X", fields) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        method, target, _ = request.start
        split = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(split.query))
        parts = [urllib.parse.unquote(part) for part in split.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        self.calls.append((method, target))
        body = json.loads(request.body) if request.body else {}
        if method == "GET" and "watch" in query:
            return 200, await self._watch(
                kind, int(query["watch"]), int(query.get("wait_ms", "0")) / 1000
            )
        if method == "GET" and not name:
            after = query.get("after", "")
            items = [
                item
                for (of, key), item in sorted(self.objects.items())
                if of == kind and key > after
            ]
            return 200, {"items": items, "has_more": False, "as_of": self.revision}
        if method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 201, self.write(kind, name, body["spec"])
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        expected = body.get("metadata", {}).get("revision", query.get("revision"))
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if method == "PUT":
            if known["spec"] == body["spec"]:
                return 200, known
            return 200, self.write(kind, name, body["spec"])
        self.remove(kind, name)
        return 200, {}

    async def _watch(self, kind, after, wait_s):
        end = asyncio.get_running_loop().time() + wait_s
        while True:
            events = [e for rev, of, e in self.history if of == kind and rev > after]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass
