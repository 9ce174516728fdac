"""The platform's metadata store as its protocol page has it, with faults for all nodes or for single ones."""

import asyncio
import bisect
import collections
import copy
import json

from wire import Broken, Reply, Server
from writes import WriteFaults


class Store:
    """Each node has a port of its own, so that faults can hit single nodes."""

    def __init__(self, random):
        self.objects = {}  # kind to name to object
        self.revision = 8
        self.history = collections.defaultdict(list)  # kind to (revision, object, deleted), in order of the revision
        self.forgotten = 0  # changes up to this revision are no longer known
        self.changed = collections.defaultdict(asyncio.Event)  # of a kind; set, and dropped, at each of its changes
        self.faults = {}  # node to "busy", "silent", "reset", "lost" or "slow"
        self.servers = {}  # node to Server
        self.raw = {}  # string that stands for bytes to those bytes
        self.writes = WriteFaults(random, self.act)

    async def open_port(self, node):
        async def handler(request, _):
            return await self.serve(node, request)

        self.servers[node] = Server(handler)
        await self.servers[node].start()
        return self.servers[node].port

    def break_connections(self, node):
        self.servers[node].break_connections()

    def forget_history(self):
        self.forgotten = self.revision
        self.history.clear()

    async def note(self, kind, item, deleted=False):
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        self.history[kind].append((self.revision, copy.deepcopy(item), deleted))
        self.changed.pop(kind, asyncio.Event()).set()

    async def put(self, kind, name, spec):
        """Writes as the operator or a replica does; the write is acknowledged when this returns."""
        item = self.objects.setdefault(kind, {}).setdefault(name, {"metadata": {"name": name}, "status": None})
        if item.get("spec") != spec:
            item["spec"] = spec
            await self.note(kind, item)

    async def remove(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            await self.note(kind, item, deleted=True)

    async def serve(self, node, request):
        fault = self.faults.get(node)
        if fault == "busy":
            return Reply(503)
        if fault == "reset":
            raise Broken
        if fault == "silent":
            await asyncio.sleep(3600)
        if fault == "slow":
            await asyncio.sleep(0.3)
        faulty = await self.writes.serve(node, request) if request.method != "GET" else None
        if faulty is not None:
            return faulty
        reply = await self.act(request)
        if self.faults.get(node) == "silent":
            await asyncio.sleep(3600)
        if request.method != "GET" and fault == "lost":
            raise Broken
        return Reply(reply[0], self.encode(reply[1]), {"Content-Type": "application/json"})

    def encode(self, answer):
        """Strings that stand for bytes which json doesn't make are replaced by these."""
        body = json.dumps(answer).encode()
        for text, raw in self.raw.items():
            body = body.replace(f'"{text}"'.encode(), raw)
        return body

    async def act(self, request):
        parts = request.path.split("/")[3:]
        items = self.objects.setdefault(parts[0], {})
        if request.method == "GET" and len(parts) == 1:
            return await (self.watch(parts[0], request.query) if "watch" in request.query
                          else self.list(items, request.query))
        if request.method == "POST":
            return await self.create(parts[0], items, json.loads(request.body))
        item = items.get(parts[1])
        if item is None:
            return 404, {}
        if request.method == "GET":
            return 200, item
        return await self.change(parts, items, item, request)

    async def list(self, items, query):
        names = sorted(name for name in items if name > query.get("after", ""))
        return 200, {"items": [items[name] for name in names[:500]], "hasMore": len(names) > 500,
                     "currentRev": self.revision}

    async def watch(self, kind, query):
        since = int(query["watch"])
        end = asyncio.get_running_loop().time() + int(query.get("waitMs", 0)) / 1000
        while True:
            first = bisect.bisect_right(self.history[kind], since, key=lambda change: change[0])
            events = [{"object": item, "deleted": deleted} for _, item, deleted in self.history[kind][first:]]
            left = end - asyncio.get_running_loop().time()
            if events and since < self.forgotten:  # as the platform's: nothing tells of the gap until the next change
                return 410, {}
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed[kind].wait(), left)
            except asyncio.TimeoutError:
                pass

    async def create(self, kind, items, body):
        name = body["metadata"]["name"]
        if name in items:
            return 409, items[name]
        items[name] = {"metadata": {"name": name}, "spec": body.get("spec"), "status": None}
        await self.note(kind, items[name])
        return 201, items[name]

    async def change(self, parts, items, item, request):
        body = json.loads(request.body) if request.body else {}
        expected = body.get("metadata", {}).get("revision", int(request.query.get("revision", 0)))
        if expected and expected != item["metadata"]["revision"]:
            return 409, item
        if request.method == "DELETE":
            del items[parts[1]]
            await self.note(parts[0], item, deleted=True)
            return 200, {}
        field = "status" if len(parts) > 2 else "spec"
        if item.get(field) != body.get(field):
            item[field] = body.get(field)
            await self.note(parts[0], item)
        return 200, item
