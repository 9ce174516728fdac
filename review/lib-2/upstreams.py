"""Replicas of the two services as the users' pages have them."""

import asyncio
import json
import time

from bench import DESK, LLM, MODEL, wire


class Replica:
    """One replica. RUNS holds (time, kind, request id, detail) of all that reached it."""

    def __init__(self, world, name, service, events=6, event_s=0.03, work_s=0.025, slots=16):
        self.world = world
        self.name = name
        self.service = service
        self.events = events
        self.event_s = event_s
        self.work_s = work_s
        self.slots = slots
        self.version = 1
        self.orders = 0
        self.runs = []
        self.server = wire.Server(self.serve)
        self.born = int(time.time() * 1000)
        world.replicas.append(self)

    async def start(self, state="ready"):
        await self.server.start()
        await self.register(state)

    async def register(self, state="ready"):
        spec = {"service": self.service, "address": f"127.0.0.1:{self.server.port}", "zone": "a", "version": "v1",
                "slots": self.slots, "state": state, "coldLeftMs": 0, "seqNo": 0, "born": self.born}
        if self.service == LLM:
            spec["phase"] = "both"
            spec["models"] = [{"name": MODEL, "version": self.version, "adapters": []}]
        await self.world.store.put("servers", self.name, spec)

    def stop(self):
        self.server.stop()

    def headers(self, request):
        headers = {"X-Server-Stamp": f"{self.name}.{len(self.runs)}"}
        if "x-attempt-id" in request.headers:
            headers["X-Attempt-Id"] = request.headers["x-attempt-id"]
        return headers

    async def serve(self, request, writer):
        if request.path == "/health":
            return wire.Reply(200, b"", {"X-Instance-Id": self.name})
        if request.path == "/api/report":
            return wire.Reply(200, json.dumps({
                "phase": "both", "models": [{"name": MODEL, "version": self.version, "adapters": []}], "busy": False,
                "seqNo": self.orders, "queuedReqs": 0, "activeReqs": 0, "kvUsed": 0, "kvTotal": 143191,
                "handles": 0}).encode(), {"Content-Type": "application/json"})
        if request.path == "/api/order":
            return await self.order(json.loads(request.body))
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return wire.Reply(421, b"", {"X-Not-Executed": "1", **self.headers(request)})
        self.runs.append((self.world.now(), request.headers.get("x-attempt-id"), request.path, request.body))
        if self.service == LLM:
            return await self.stream(request, writer)
        return await self.answer(request, writer)

    async def answer(self, request, writer):
        await asyncio.sleep(self.work_s)
        return wire.Reply(200, b"answer to " + request.path.encode(), self.headers(request))

    async def order(self, order):
        if order.get("expect") not in (None, self.orders):
            return wire.Reply(409)
        if order["version"] == self.version:
            return wire.Reply(200)
        self.orders += 1
        await asyncio.sleep(0)
        self.world.note(f"{self.name}: order {order}")
        self.version = order["version"]
        await self.register()
        return wire.Reply(202)

    async def stream(self, request, writer):
        after = int(request.headers.get("last-event-id", 0))
        headers = {**self.headers(request), "Content-Type": "text/event-stream", "X-Weight-Versions": str(self.version),
                   "Transfer-Encoding": "chunked"}
        writer.write(wire.format_head("HTTP/1.1 200 OK", headers))
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {self.text(request, number)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return wire.KEPT

    def text(self, request, number):
        return f"{request.headers.get('x-attempt-id')}-{number}"
