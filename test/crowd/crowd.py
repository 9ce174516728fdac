"""
Runs one gspan-node before a crowd of clients that misbehave, and checks what doesn't depend on speed: that the process lives,
that its memory and open descriptors stay under a bound, and that one ordinary request is answered beside the open crowd.
"""

import argparse
import asyncio
import json
import os
import random
import socket
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path[:0] = [os.path.join(ROOT, "scripts"), os.path.join(ROOT, "test", "soak")]
from fleet import free_port, free_udp_port  # noqa: E402 pylint: disable=wrong-import-position
from store import Store  # noqa: E402 pylint: disable=wrong-import-position
from wire import Reply, Server, call  # noqa: E402 pylint: disable=wrong-import-position

BUILD = os.environ.get("GSPAN_BUILD", os.path.join(ROOT, "build"))
SANITIZED = "sanitize" in BUILD
ADDRESS = f"127.{80 + os.getpid() // 256 % 100}.{os.getpid() % 256}.1"
MEMORY_MB = 64  # of the machine; the sanitizer takes twice as much more
MEMORY_FACTOR = 3 if SANITIZED else 1
BODY_MAX = 4 << 20
CONNECTIONS = 100  # of callers
DESCRIPTORS = 250
SENDING_S = 15.0  # what the node hasn't read by then it has refused to read
HELD_S = 3.0  # the crowd stays open for so long before the checks
REQUEST_S = 60.0  # within which the ordinary request has to be answered, over some tries
BIG_ANSWER = 2 << 20
CONFIG = {
    "version": 3,
    "routes": [{"name": "desk", "host": "a.example", "pathPrefix": "/desk/", "type": "idempotent", "timeoutMs": 20000,
                "targetLatencyMs": 150, "priority": 2, "service": "desk", "maxAttempts": 2},
               {"name": "batch", "host": "a.example", "pathPrefix": "/batch/", "type": "rollout", "timeoutMs": 10000,
                "targetLatencyMs": 400, "priority": 1, "service": "desk", "maxAttempts": 3, "maxQueueS": 40.0,
                "resultDueMs": 7500, "singleVersion": False}],
    "services": [{"name": "desk"}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": BODY_MAX, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Process:
    """The node under test."""

    def __init__(self, folder, store_port):
        self.ports = {name: free_port(ADDRESS) for name in ("callers", "ready", "metrics", "relay")}
        self.peers = free_udp_port(ADDRESS)
        self.file = os.path.join(folder, "node.toml")
        self.log = os.path.join(folder, "node.log")
        program = os.path.join(BUILD, "gspan-node")
        known = subprocess.run([program, "--help-settings"], capture_output=True, text=True, check=True).stdout
        lines = ["[node]", 'name = "vm-1"', 'zone = "a"', "[listen]"]
        lines += [f'{name} = "{ADDRESS}:{port}"' for name, port in self.ports.items()]
        lines += [f'peers = "{ADDRESS}:{self.peers}"', "[platform]", f'address = "127.0.0.1:{store_port}"', "[limits]",
                  f"body_max = {BODY_MAX}", f"connections = {CONNECTIONS}"]
        lines += [line for line in (f"memory_mb = {MEMORY_MB}", f"descriptors = {DESCRIPTORS}")
                  if f"limits.{line.split()[0]}`" in known]
        with open(self.file, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(  # pylint: disable=consider-using-with
                [program, "--config", self.file], stdout=log, stderr=log,
                env={**os.environ, "ASAN_OPTIONS": "detect_leaks=0:quarantine_size_mb=4:malloc_context_size=2"})

    def lives(self):
        return self.popen.poll() is None

    def peak_mb(self):
        with open(f"/proc/{self.popen.pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) // 1024 for line in file if line.startswith("VmHWM"))

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.popen.pid}/fd"))

    def stop(self):
        if self.lives():
            self.popen.kill()
        self.popen.wait()


class World:
    def __init__(self, folder):
        self.folder = folder
        self.store = Store(random.Random(1))
        self.node = None
        self.writers = []  # of the crowd's connections
        self.tasks = []

    async def start(self):
        replica = Server(self.serve)
        await replica.start()
        await self.store.put("config", "main", CONFIG)
        await self.store.put("servers", "i-1", {
            "service": "desk", "address": f"127.0.0.1:{replica.port}", "zone": "a", "version": "v1", "slots": 500,
            "state": "ready", "coldLeftMs": 0, "seqNo": 1, "born": 1, "models": []})
        self.node = Process(self.folder, await self.store.open_port("vm-1"))
        await self.until_ok("ready", "/api/ready")

    async def serve(self, request, _writer):
        """A replica. What the crowd asks for is long, or comes late."""
        headers = {"X-Server-Stamp": "s", "X-Attempt-Id": request.headers.get("x-attempt-id", "")}
        if "/late" in request.path:
            await asyncio.sleep(8)
        size = BIG_ANSWER if "/big" in request.path else 65536 if "/long" in request.path else 4
        return Reply(200, b"x" * size, headers)

    async def until_ok(self, door, path, method="GET", **headers):
        """Asks until the answer is 200; False where it isn't in time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + REQUEST_S
        while self.node.lives() and loop.time() < end:
            answer = await call(self.node.ports[door], method, path, {"Host": "a.example", **headers}, timeout_s=5.0,
                                host=ADDRESS)
            if answer is not None and answer[0] == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def connect(self, door="callers"):
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # of one who doesn't read
        await asyncio.wait_for(asyncio.get_running_loop().sock_connect(sock, (ADDRESS, self.node.ports[door])), 5)
        self.writers.append(sock)
        return sock

    async def send(self, data, door="callers", pieces=None, pause_s=0.0):
        """A client of the crowd: sends DATA, in PIECES bytes at a time, and keeps its connection open."""
        try:
            sock = await self.connect(door)
            loop = asyncio.get_running_loop()
            for at in range(0, len(data), pieces or max(1, len(data))):
                await loop.sock_sendall(sock, data[at:at + (pieces or len(data))])
                await asyncio.sleep(pause_s)
        except (OSError, asyncio.TimeoutError):
            pass

    def crowd(self, clients):
        self.tasks += [asyncio.create_task(client) for client in clients]

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for sock in self.writers:
            sock.close()
        self.node.stop()


def head(path, *lines, method="POST"):
    return "\r\n".join([f"{method} {path} HTTP/1.1", "Host: a.example", "X-Attempt-Id: c", *lines, "", ""]).encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


PATHS = ["/desk/x", "/nowhere/x", "/api/ready", "/batch/j", "/api/lots/j"]


async def bodies(world):
    """Bodies of legal size that stop a byte short of their end, at any path."""
    size = BODY_MAX - 1000
    world.crowd(world.send(head(PATHS[i % len(PATHS)], f"Content-Length: {size}") + b"x" * (size - 1)) for i in range(60))


async def pieces(world):
    """The same in pieces of 1 KB."""
    size = BODY_MAX // 2
    world.crowd(world.send(head(PATHS[i % len(PATHS)], f"Content-Length: {size}") + b"x" * (size - 1), pieces=1024)
                for i in range(60))


async def small_chunks(world):
    data = chunk(b"x" * 64) * (BODY_MAX // 2 // 64)
    world.crowd(world.send(head(PATHS[i % len(PATHS)], "Transfer-Encoding: chunked") + data) for i in range(60))


async def large_chunks(world):
    data = chunk(b"x" * 32768) * (BODY_MAX // 32768 - 1)
    world.crowd(world.send(head(PATHS[i % len(PATHS)], "Transfer-Encoding: chunked") + data) for i in range(60))


async def too_long(world):
    """Bodies far over the limit, announced or not."""
    data = chunk(b"x" * 32768) * (BODY_MAX // 32768 * 5)
    world.crowd(world.send(head("/desk/x", "Transfer-Encoding: chunked") + data) for _ in range(20))
    world.crowd(world.send(head("/desk/x", f"Content-Length: {BODY_MAX * 50}") + b"x" * BODY_MAX) for _ in range(20))


async def fields(world):
    """Heads of legal size, of very many short fields, whose answers come late."""
    lines = [f"{i % 10}:" for i in range(3000)]
    world.crowd(world.send(head("/desk/late", "Content-Length: 0", *lines)) for _ in range(90))


async def documents(world):
    """Jobs of legal size, of very many short fields."""
    for text in ('{"items":[' + "{}," * (BODY_MAX // 4) + "{}]}", "[" * (BODY_MAX // 2),
                 '{"items":[' + ",".join(f'{{"{i % 10}":1}}' for i in range(BODY_MAX // 12)) + "]}"):
        data = head("/batch/j", f"Content-Length: {len(text)}", "Content-Type: application/json") + text.encode()
        world.crowd(world.send(data) for _ in range(3))


async def ahead(world):
    """Requests sent ahead on one connection, whose answers nobody reads."""
    data = head("/desk/long", method="GET") * 3000
    world.crowd(world.send(data) for _ in range(80))


async def readers(world):
    """Long answers that nobody reads."""
    world.crowd(world.send(head("/desk/big", method="GET")) for _ in range(80))


async def slow(world):
    """More connections than callers may have: idle ones, half heads, bodies of a byte a second."""
    world.crowd(world.send(b"") for _ in range(60))
    world.crowd(world.send(b"GET /desk/x HTTP/1.1\r\nHost: a.exa") for _ in range(60))
    world.crowd(world.send(head("/desk/x", "Content-Length: 1000") + b"x" * 999, pieces=200, pause_s=1) for _ in range(60))


async def doors(world):
    """The balancer's, the operators' and the other nodes' doors."""
    size = BODY_MAX - 1000
    for door in ("ready", "metrics", "relay"):
        world.crowd(world.send(b"GET /api/rea", door) for _ in range(80))
        world.crowd(world.send(head("/x", f"Content-Length: {size}") + b"x" * (size - 1), door) for _ in range(40))


async def datagrams(world):
    """Long and odd messages at the address for other nodes."""
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    kinds = ["alive", "usage", "streams", "crashes", "limits", "permits", "software", "stream-ask", "relay-offer", "feed", "x"]
    for i in range(6000):
        names = {f"n{i}-{j}": j for j in range(400)}
        message = {"kind": kinds[i % len(kinds)], "format": 1, "from": f"vm-{i}", "udp": f"{ADDRESS}:9", "service": f"s{i}",
                   "window": i + 1, "accounts": 1, "start": i, "counts": names, "versions": list(names), "name": f"r{i}",
                   "streams": [{"attempt": name, "service": "desk", "software": "v"} for name in names], "address": "x"}
        sender.sendto(json.dumps(message).encode()[:60000], (ADDRESS, world.node.peers))
        if i % 20 == 0:
            await asyncio.sleep(0.01)


CROWDS = {function.__name__: function for function in (
    bodies, pieces, small_chunks, large_chunks, too_long, fields, documents, ahead, readers, slow, doors, datagrams)}


async def run(crowd):
    found = []
    with tempfile.TemporaryDirectory() as folder:
        world = World(folder)
        await world.start()
        try:
            await CROWDS[crowd](world)
            if world.tasks:
                await asyncio.wait(world.tasks, timeout=SENDING_S)
            await asyncio.sleep(HELD_S)
            if not await world.until_ok("callers", "/desk/ordinary", **{"X-Attempt-Id": "o", "X-Deadline-Ms": "5000"}):
                found.append("the ordinary request isn't answered")
            if not await world.until_ok("ready", "/api/ready"):
                found.append("the balancer's question isn't answered")
            if not world.node.lives():
                found.append("the process has ended")
            else:
                peak, descriptors = world.node.peak_mb(), world.node.descriptors()
                print(f"{crowd}: peak {peak} MB, {descriptors} descriptors", file=sys.stderr)
                if peak > MEMORY_MB * MEMORY_FACTOR:
                    found.append("more memory than the machine has")
                if descriptors > DESCRIPTORS:
                    found.append("more descriptors than the machine has")
        finally:
            world.stop()
    print(f"{crowd}: {', '.join(found) or 'good'}")
    return found


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("crowd", choices=sorted(CROWDS))
    sys.exit(1 if asyncio.run(run(parser.parse_args().crowd)) else 0)


if __name__ == "__main__":
    main()
