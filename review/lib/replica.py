"""A model replica, as PROTOCOL.md has it: it registers and beats in the store, runs items, takes orders of versions."""

import asyncio
import json
import time

from http11 import Server, head

HEARTBEAT_S = 1.2
LOAD_S = 0.9  # SYSTEM.md: a change of version takes 0.9 s


class Replica:
    def __init__(self, store, record, name, service, model="m0", slots=16, events=24, event_s=0.04,
                 software="v1"):
        self.store, self.record, self.name, self.service, self.model = store, record, name, service, model
        self.slots, self.events, self.event_s = slots, events, event_s
        self.software = software
        self.version = 1
        self.beats = 0
        self.orders_accepted = 0
        self.loading = False
        self.active = 0
        self.stamps = 0
        self.orders = []  # (time, holder, fence, version) of those that were accepted
        self.framed = True  # its streams come in chunks; else they end with their connection
        self.running = {}  # item to number of runs that are at work on it
        self.finished = {}  # item to the time at which a run of it came to its end
        self.last_run = {}  # item to the last time at which a run was at work on it
        self.born = int(time.time() * 1000)
        self.server = Server(self.serve)
        self.beating = None

    async def start(self):
        await self.server.start()
        self.beating = asyncio.create_task(self.beat())

    def stop(self):
        self.beating.cancel()
        self.server.stop()

    def crash(self):
        """Ends without a word; its entry stays until it lapses after three heartbeats, or until the next start writes it."""
        self.record(f"replica {self.name}: crashes")
        port = self.server.port
        self.stop()
        self.server = Server(self.serve)
        self.server.port = port

    async def start_again(self, software, first_beat_after_s):
        """Starts in place, under the same id and at the same address; its first beat comes FIRST_BEAT_AFTER_S later."""
        self.software = software
        self.born = int(time.time() * 1000)
        self.orders_accepted = 0
        await self.server.start(port=self.server.port)
        self.record(f"replica {self.name}: has started again in place, as version {software} of its software")
        self.beating = asyncio.create_task(self.beat(first_beat_after_s))

    def register(self):
        if self.beats == 0 or self.store.get("servers", self.name)["spec"]["born"] != self.born:
            self.record(f"replica {self.name}: writes its entry, version {self.software} of its software")
        self.beats += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": f"127.0.0.1:{self.server.port}", "zone": "bratislava", "version": self.software,
            "slots": self.slots, "state": "ready", "coldLeftMs": 0, "phase": "both", "born": self.born,
            "models": [{"name": self.model, "version": self.version, "adapters": []}], "seqNo": self.beats})

    async def beat(self, after_s=0.0):
        await asyncio.sleep(after_s)
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, request, writer):
        echo = {}
        if "x-attempt-id" in request.headers:
            echo["X-Attempt-Id"] = request.headers["x-attempt-id"]
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return 421, {**echo, "X-Instance-Id": self.name}, b""
        if request.path == "/api/report":
            report = {"phase": "both", "models": [{"name": self.model, "version": self.version, "adapters": []}],
                      "busy": self.loading, "seqNo": self.orders_accepted, "queuedReqs": 0, "activeReqs": self.active,
                      "kvUsed": 0, "kvTotal": 143191, "handles": 0, "born": self.born}
            return 200, {"Content-Type": "application/json"}, json.dumps(report).encode()
        if request.path == "/api/order":
            return self.take_order(json.loads(request.body))
        if self.active >= self.slots:
            return 503, {**echo, "X-Not-Executed": "1"}, b""
        return await self.run(request, writer, echo)

    def take_order(self, order):
        if self.loading or order.get("expect", self.orders_accepted) != self.orders_accepted:
            return 409, {}, b""
        if order["version"] <= self.version:
            return 200, {}, b""
        self.orders.append((time.monotonic(), order["holder"], order["fenceToken"], order["version"]))
        self.record(f"replica {self.name}: order of version {order['version']} by holder {order['holder']}, "
                    f"fencing token {order['fenceToken']}")
        self.orders_accepted += 1
        self.loading = True
        asyncio.get_running_loop().call_later(LOAD_S, self.loaded, order["version"])
        return 202, {}, b""

    def loaded(self, version):
        self.version = version
        self.loading = False
        self.register()

    async def run(self, request, writer, echo):
        """Streams the events of a request, from the one after Last-Event-Id on."""
        item = request.headers.get("x-attempt-id", "")
        first = int(request.headers.get("last-event-id", 0)) + 1
        software = self.software
        self.stamps += 1
        sent = {**echo, "X-Server-Stamp": f"{self.name}.{self.stamps}", "X-Weight-Versions": self.version,
                "Content-Type": "text/event-stream"}
        sent.update({"Transfer-Encoding": "chunked"} if self.framed else {"Connection": "close"})
        self.record(f"replica {self.name}: runs {item} from event {first} on, version {software} of its software")
        self.active += 1
        self.running[item] = self.running.get(item, 0) + 1
        try:
            writer.write(head(200, sent))
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                self.last_run[item] = time.monotonic()
                self.write(writer, f"id: {number}\ndata: {item}-{number} by {software}\n\n".encode())
                await writer.drain()
            if self.framed:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            self.finished[item] = time.monotonic()
            self.record(f"replica {self.name}: finished {item}")
        finally:
            self.active -= 1
            self.running[item] -= 1
        if not self.framed:
            return None
        return await self.next_on(writer)

    def write(self, writer, data):
        if writer.is_closing():
            raise ConnectionResetError
        writer.write(b"%x\r\n%s\r\n" % (len(data), data) if self.framed else data)

    async def next_on(self, writer):
        """One stream a connection: it is closed after its end."""
        return None
