"""The store falls silent, streams begin at the newer software version, all processes are killed: who goes on with them?"""

import asyncio
import os
import re
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from bench import DESK, HOST, TROUBLE, default_config, run, wire  # noqa: E402 pylint: disable=wrong-import-position
from upstreams import Replica  # noqa: E402 pylint: disable=wrong-import-position

EVENTS = 120
EVENT_S = 0.05
STREAMS = 16
BEGIN_AFTER_S = 0.05  # the first stream, after the store has fallen silent; the others follow
KILL_AFTER_S = 1.4  # all processes, after the store has fallen silent
SILENT_S = 2.0  # platform_down, silent; 4.5 s in the site file
DOWN_S = 0.8  # until the processes start again
GIVE_UP_S = 6.0  # after the last event: four times the objective
MIXED_MOST = 2  # streams that the rule lets pass
ROUTE = {"name": "r-stream", "host": HOST, "pathPrefix": "/hilo77/", "type": "streaming", "resumable": True, "timeoutMs": 20000,
         "targetLatencyMs": 1500, "priority": 1, "service": DESK, "maxAttempts": 3}


class Versioned(Replica):
    """Its events say which version of its software made them."""

    def __init__(self, world, name, software):
        super().__init__(world, name, DESK, slots=32)
        self.software = software

    async def register(self, state="ready"):
        await self.world.store.put("servers", self.name, {
            "service": DESK, "address": f"127.0.0.1:{self.server.port}", "zone": "a", "version": self.software,
            "slots": self.slots, "state": state, "coldLeftMs": 0, "seqNo": 1, "born": self.born})

    async def answer(self, request, writer):
        after = int(request.headers.get("last-event-id", 0))
        attempt = request.headers["x-attempt-id"]
        self.world.note(f"{self.name}, {self.software}: runs {attempt} from event {after + 1} on")
        headers = {**self.headers(request), "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(wire.format_head("HTTP/1.1 200 OK", headers))
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: by {self.software}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return wire.KEPT


class Caller:
    """One stream, over its tries."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.first = f"s{number}t0"  # the try that brought the first event
        self.last_event = 0
        self.last_at = 0.0
        self.versions = []

    async def read(self, node, attempt):
        """True where the answer came to its end; the status where it wasn't 200."""
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": 15000, "Content-Length": 0}
        if self.last_event > 0:
            headers.update({"Resumes": self.first, "Last-Event-Id": self.last_event})
        try:
            reader, writer = await asyncio.open_connection(node.address, node.ports["front"])
        except OSError:
            return False
        try:
            writer.write(wire.format_head(f"POST /hilo77/{self.number} HTTP/1.1", headers))
            status, answer = await wire.read_answer_head(reader)
            if status != 200:
                self.world.note(f"{attempt} at {node.name}: {status}, Retry-After {answer.get('retry-after')}")
                return False
            async for piece in wire.read_pieces(reader, answer):
                for number, software in re.findall(rb"id: (\d+)\ndata: by (\w+)", piece):
                    self.last_event = int(number)
                    self.last_at = self.world.now()
                    if software.decode() not in self.versions:
                        self.versions.append(software.decode())
            return True
        except (OSError, asyncio.IncompleteReadError, wire.Garbled):
            return False
        finally:
            writer.transport.abort()

    async def run(self, nodes):
        number = 0
        began = self.world.now()
        while True:
            done = await self.read(nodes[(self.number + number) % len(nodes)], f"s{self.number}t{number}")
            if done or self.world.now() > max(self.last_at, began) + GIVE_UP_S:
                break
            if self.last_event == 0:
                self.first = f"s{self.number}t{number + 1}"
            number += 1
            await asyncio.sleep(0.5)
        self.world.note(f"stream {self.number}: {self.last_event} of {EVENTS} events by {' then '.join(self.versions)}, "
                        f"{number + 1} tries")


async def play(world):
    world.config = default_config()
    world.config["routes"].append(ROUTE)
    for number in range(2):
        await Versioned(world, f"i-{number}", "v1").start()
    nodes = [await world.add_node(f"edge-{number}") for number in range(1, 4)]
    await world.start_nodes()
    await asyncio.sleep(3)
    for number in range(2, 4):
        await Versioned(world, f"i-{number}", "v2").start()
    world.note("replicas of v2 are there too")
    await asyncio.sleep(4)
    if TROUBLE:
        world.note("the store is silent from now on")
        for node in nodes:
            world.store.faults[node.name] = "silent"
    await asyncio.sleep(BEGIN_AFTER_S)
    callers = [Caller(world, number) for number in range(STREAMS)]
    tasks = []
    for caller in callers:
        tasks.append(asyncio.create_task(caller.run(nodes)))
        await asyncio.sleep(0.02)
    if TROUBLE:
        await asyncio.sleep(KILL_AFTER_S - BEGIN_AFTER_S - STREAMS * 0.02)
        for node in nodes:
            node.kill()
        await asyncio.sleep(SILENT_S - KILL_AFTER_S)
        world.store.faults.clear()
        world.note("the store answers again")
        await asyncio.sleep(max(0.0, KILL_AFTER_S + DOWN_S - SILENT_S))
        for node in nodes:
            node.start()
    await asyncio.gather(*tasks)
    mixed = [caller.number for caller in callers if len(caller.versions) > 1]
    world.note(f"{len(mixed)} of {STREAMS} streams hold events of two versions: {mixed}")
    if len(mixed) > MIXED_MOST:
        world.breaks("ORDER", f"{len(mixed)} streams hold events from replicas of two software versions")


run(play, 80)
