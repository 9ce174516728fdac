"""The store is slow, a replica of a second software version registers, all processes are killed; streams are taken up."""

import asyncio
import re
import signal
import time

from http11 import read_head
from world import HOST, TROUBLE, run_case

EVENTS = 220
EVENT_S = 0.05
STREAMS = 16  # that are taken up; the rule wants 12 or more
NEW_STREAMS = 12
KILL_AFTER_S = 0.2  # after the store has acknowledged the entry of the replica of the second version
SLOW_S = 0.37  # SYSTEM.md: 4 ms an answer; platform_slow of up to x = 93 in the site file
SLOW_BEFORE_S = 1.0
DOWN_S = 0.4
STABLE_S = 3.0  # stableMs: a machine is in touch that long after its start
TRIES = 2  # the second one at the time that Retry-After says: within four times the objective (6 s) of the last event
WENT_ON_S = 0.6  # a take-up goes on if its first event comes by then


def stream_route(service):
    return {"name": "r-stream", "host": HOST, "pathPrefix": "/sona44/", "type": "streaming", "timeoutMs": 20000,
            "targetLatencyMs": 1500, "priority": 1, "service": service, "maxAttempts": 3, "resumable": True}


class Caller:
    """One stream of a caller, over its tries."""

    def __init__(self, world, number):
        self.world = world
        self.path = f"/sona44/{number}"
        self.attempt = f"d5{number:02x}07be2a35f680"
        self.first_attempt = self.attempt
        self.last_event = 0
        self.broke_off = asyncio.Event()
        self.answered = None

    async def read(self, node):
        """Reads events until the answer ends or breaks off."""
        resumes = f"Resumes: {self.first_attempt}\r\nLast-Event-Id: {self.last_event}\r\n" if self.last_event else ""
        try:
            reader, writer = await asyncio.open_connection(node.ip, node.front)
            writer.write((f"POST {self.path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {self.attempt}\r\n"
                          f"X-Deadline-Ms: 20000\r\n{resumes}Content-Length: 2\r\n\r\nab").encode())
            first, headers = await read_head(reader)
            self.answered = (int(first.split()[1]), headers)
            if self.answered[0] == 200:
                while line := await reader.readline():
                    if found := re.match(rb"id: (\d+)", line):
                        self.last_event = int(found.group(1))
        except (OSError, TypeError, IndexError):
            pass
        self.broke_off.set()

    async def take_up(self, nodes):
        """True if the stream goes on at one of some tries, each at another machine."""
        for number in range(TRIES):
            self.attempt = f"{self.first_attempt[:-1]}{number + 1}"
            before = self.last_event
            self.answered = None
            task = asyncio.create_task(self.read(nodes[(int(self.path[8:]) + number) % len(nodes)]))
            await asyncio.sleep(WENT_ON_S)
            status, headers = self.answered or (None, {})
            if self.last_event > before:
                self.world.record(f"caller: {self.first_attempt} goes on after event {before}, as {self.attempt}")
                return True
            self.world.record(f"caller: {self.attempt}, which takes {self.first_attempt} up after event {before}: {status}, "
                              f"Retry-After {headers.get('retry-after')}")
            task.cancel()
            await asyncio.sleep(max(0.0, float(headers.get("retry-after", 0)) - WENT_ON_S))
        return False


async def case(world):
    world.configure([stream_route("sona1")],
                    [{"name": "sona1", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}])
    for number in range(2):
        await world.add_replica(f"i-{number}", "sona1", slots=64, events=EVENTS, event_s=EVENT_S)
    nodes = [await world.add_node(f"edge-bratislava-{number}") for number in range(1, 4)]
    for node in nodes:
        await world.until(f"{node.name} is ready", node.is_ready)
    await asyncio.sleep(3.0)
    callers = [Caller(world, number) for number in range(STREAMS)]
    readers = []
    for number, caller in enumerate(callers):
        readers.append(asyncio.create_task(caller.read(nodes[number % len(nodes)])))
        await asyncio.sleep(0.05)
    await world.until("the streams are under way", lambda: all(caller.last_event >= 10 for caller in callers))
    if TROUBLE:
        world.record(f"store: its answers come {SLOW_S} s later from now on")
        world.store.slow_s = SLOW_S
        await asyncio.sleep(SLOW_BEFORE_S)
    await world.add_replica("i-2", "sona1", slots=64, events=EVENTS, event_s=EVENT_S, software="v2")
    await asyncio.sleep(KILL_AFTER_S)
    if not TROUBLE:
        await asyncio.sleep(STABLE_S)
        for reader in readers:
            reader.cancel()
    else:
        for node in nodes:
            node.signal(signal.SIGKILL)
        world.store.slow_s = 0.0
        world.record("store: its answers come as usual again")
        await asyncio.gather(*readers)
        await asyncio.sleep(DOWN_S)
        for node in nodes:
            node.start()
        started = time.monotonic()
        for node in nodes:
            await world.until(f"{node.name} is ready", node.is_ready)
        await asyncio.sleep(max(0.0, STABLE_S + 0.05 - (time.monotonic() - started)))
    world.record(f"callers: take up {STREAMS} streams, and begin {NEW_STREAMS} new ones")
    new = [Caller(world, STREAMS + number) for number in range(NEW_STREAMS)]
    begun = [asyncio.create_task(caller.read(nodes[number % len(nodes)])) for number, caller in enumerate(new)]
    went_on = sum(await asyncio.gather(*[caller.take_up(nodes) for caller in callers]))
    began = sum(1 for caller in new if caller.last_event > 0)
    for task in begun:
        task.cancel()
    serving = sum(1 for replica in world.replicas if replica.software == "v1")
    world.record(f"{went_on} of {STREAMS} streams went on, {began} of {NEW_STREAMS} new ones began; replicas of v1: {serving}")
    if went_on / STREAMS >= began / NEW_STREAMS / 2:
        return None
    return (f"LOST: {went_on} of {STREAMS} streams that callers took up went on, while {began} of {NEW_STREAMS} new streams "
            f"began and {serving} replicas of their version served")


run_case(__file__, case)
