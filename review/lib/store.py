"""The platform's metadata store, as PROTOCOL.md has it: linearizable objects, lists, watches, conditional writes."""

import asyncio
import copy
import json

from http11 import LoseAnswer, Server


class Store:
    """Each node gets a port of its own, so that a test can tell the nodes apart and hold one of them off."""

    def __init__(self):
        self.objects = {}  # kind to name to object
        self.revision = 10
        self.changes = []  # (revision, kind, object, deleted)
        self.changed = asyncio.Event()
        self.servers = {}
        self.loses_answer = None  # (node, request) -> True: the call is done and not answered
        self.slow_s = 0.0  # by which answers come later
        self.cut_off = set()  # nodes whose calls don't arrive, and whose answers don't leave

    async def open_port(self, node):
        async def handler(request, _writer):
            return await self.serve(node, request)

        self.servers[node] = Server(handler)
        await self.servers[node].start()
        return self.servers[node].port

    def stop(self):
        for server in self.servers.values():
            server.stop()

    def note(self, kind, item, deleted=False):
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        self.changes.append((self.revision, kind, copy.deepcopy(item), deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Writes as the operator, a trainer or a replica does."""
        items = self.objects.setdefault(kind, {})
        if name not in items:
            items[name] = self.new_object(name, None)
        if items[name]["spec"] != spec:
            items[name]["spec"] = spec
            self.note(kind, items[name])

    def remove(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.note(kind, item, deleted=True)

    def get(self, kind, name):
        return self.objects.get(kind, {}).get(name)

    def new_object(self, name, spec):
        return {"metadata": {"name": name, "revision": 0, "createRevision": self.revision + 1, "finalizers": [],
                             "deleting": False}, "spec": spec, "status": None}

    async def reach(self, node):
        while node in self.cut_off:
            await asyncio.sleep(0.02)

    async def serve(self, node, request):
        if node in self.cut_off:  # what was sent into a partition is lost
            await self.reach(node)
            raise LoseAnswer
        loses = self.loses_answer is not None and self.loses_answer(node, request)
        status, answer = await self.act(request)
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if loses:
            raise LoseAnswer
        if node in self.cut_off:
            await self.reach(node)
            raise LoseAnswer
        return status, {"Content-Type": "application/json"}, json.dumps(answer).encode()

    async def act(self, request):
        parts = request.path.split("/")[3:]  # /api/objects/KIND[/NAME[/status]]
        kind = parts[0]
        items = self.objects.setdefault(kind, {})
        body = json.loads(request.body) if request.body else {}
        if request.method == "GET" and len(parts) == 1:
            if "watch" in request.query:
                return await self.watch(kind, request.query)
            return self.list(items, request.query)
        if request.method == "POST":
            name = body["metadata"]["name"]
            if name in items:
                return 409, items[name]
            items[name] = self.new_object(name, body.get("spec"))
            self.note(kind, items[name])
            return 201, items[name]
        item = items.get(parts[1])
        if item is None:
            return 404, {}
        if request.method == "GET":
            return 200, item
        expected = body.get("metadata", {}).get("revision", int(request.query.get("revision", 0)))
        if expected and expected != item["metadata"]["revision"]:
            return 409, item
        if request.method == "DELETE":
            del items[parts[1]]
            self.note(kind, item, deleted=True)
            return 200, {}
        field = "status" if len(parts) > 2 else "spec"
        if item.get(field) != body.get(field):
            item[field] = body.get(field)
            self.note(kind, item)
        return 200, item

    def list(self, items, query):
        names = sorted(name for name in items if name > query.get("after", ""))
        return 200, {"items": [items[name] for name in names[:500]], "hasMore": len(names) > 500,
                     "currentRev": self.revision}

    async def watch(self, kind, query):
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get("waitMs", 0)) / 1000
        while True:
            changed = self.changed
            events = [{"object": item, "deleted": deleted} for revision, of_kind, item, deleted in self.changes
                      if of_kind == kind and revision > since]
            if events or loop.time() >= end:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), end - loop.time())
            except asyncio.TimeoutError:
                pass
