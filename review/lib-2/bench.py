"""
Runs nodes of the deploy file as separate processes on loopback addresses, before a store, replicas and clients that follow the
users' pages. The store and the small HTTP server and client are the project's own stand-ins (test/soak).
"""

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path[:0] = [os.path.join(ROOT, "scripts"), os.path.join(ROOT, "test", "soak")]
from fleet import free_port, free_udp_port  # noqa: E402 pylint: disable=wrong-import-position
from store import Store  # noqa: E402 pylint: disable=wrong-import-position
import wire  # noqa: E402 pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PROGRAM = os.path.join(ROOT, "target", "gspan-node")
HOST = "ficu95.example"
MODEL = "daka510000"
LLM = "huvo11a"
DESK = "wuno96b"
HEARTBEAT_MS = 1200
PAGE_OBJECTS = 500
PAGE_BYTES = 1 << 20
STORE_ANSWER_S = 0.004
RESTART_S = 0.5  # a process that ended is started again after this
BOUNDS = {"leaseMs": 3000, "statusS": 120, "graceS": 8, "drainMs": 2000}


def default_config(**changes):
    """The configuration of sites/snk-prepis.toml, as `fleetbench wire` shows it."""
    config = {
        "version": 7,
        "routes": [
            {"name": "r-rollout", "host": HOST, "pathPrefix": "/pufi791/", "type": "rollout", "timeoutMs": 10000,
             "targetLatencyMs": 400, "priority": 1, "service": LLM, "maxAttempts": 3, "maxQueueS": 40.0, "resultDueMs": 7500,
             "singleVersion": False, "sessionAffinity": True, "resumable": True},
            {"name": "r-desk", "host": HOST, "pathPrefix": "/lohu930/", "type": "idempotent", "timeoutMs": 800,
             "targetLatencyMs": 150, "priority": 2, "service": DESK, "maxAttempts": 2}],
        "services": [
            {"name": LLM, "healthPath": "/health", "maxConns": 180,
             "engine": {"slots": 16, "kvCapacity": 143191, "models": [{"name": MODEL}]}},
            {"name": DESK, "healthPath": "/health", "maxConns": 110}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
    config.update(changes)
    return config


class PagedStore(Store):
    """The project's stand-in, with pages of about 500 objects or 1 MB at most."""

    async def list(self, items, query):
        names = sorted(name for name in items if name > query.get("after", ""))
        page = []
        size = 0
        for name in names[:PAGE_OBJECTS]:
            size += len(json.dumps(items[name]))
            if page and size > PAGE_BYTES:
                break
            page.append(items[name])
        await asyncio.sleep(STORE_ANSWER_S)
        return 200, {"items": page, "hasMore": len(names) > len(page), "currentRev": self.revision}


class Node:
    """A machine with one process of gspan-node, started anew when it ends, as the platform does."""

    def __init__(self, world, name, role, memory_mb, zone="a"):
        self.world = world
        self.name = name
        self.role = role
        self.zone = zone
        self.memory_mb = memory_mb
        self.address = f"127.{60 + os.getpid() // 250 % 100}.{os.getpid() % 250 + 1}.{len(world.nodes) + 1}"
        self.ports = {key: free_port(self.address) for key in ("front", "ready", "metrics", "relay")}
        self.peers = free_udp_port(self.address)
        self.popen = None
        self.down = True
        self.peak_mb = 0.0
        self.ends = []  # times at which the process ended by itself or was ended for its memory
        self.watcher = None

    def write_settings(self, store_port):
        lines = ["[node]", f'name = "{self.name}"', f'zone = "{self.zone}"',
                 f"cpu_share = {0.25 if self.role == 'edge' else 0.5}"]
        if self.role != "edge":
            lines.append("keeps_disk = true")
        lines.append("[listen]")
        if self.role == "edge":
            lines += [f'callers = "{self.address}:{self.ports["front"]}"', f'ready = "{self.address}:{self.ports["ready"]}"']
        lines += [f'peers = "{self.address}:{self.peers}"', f'metrics = "{self.address}:{self.ports["metrics"]}"',
                  f'relay = "{self.address}:{self.ports["relay"]}"', "[platform]", f'address = "127.0.0.1:{store_port}"',
                  "value_max = 1048576", "[lease]", f"duration_ms = {BOUNDS['leaseMs']}", "[jobs]",
                  f"kept_s = {BOUNDS['statusS']}", "[limits]", f"grace_s = {BOUNDS['graceS']}",
                  f"drain_notice_ms = {BOUNDS['drainMs']}", f"memory_mb = {self.memory_mb}", "descriptors = 4100",
                  f"heartbeat_ms = {HEARTBEAT_MS}"]
        with open(os.path.join(self.world.folder, self.name + ".toml"), "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    def start(self):
        self.down = False
        with open(os.path.join(self.world.folder, self.name + ".log"), "ab") as log:
            self.popen = subprocess.Popen(  # pylint: disable=consider-using-with
                [PROGRAM, "--config", os.path.join(self.world.folder, self.name + ".toml")], stdout=log, stderr=log)
        if self.watcher is None:
            self.watcher = asyncio.create_task(self.watch())

    def memory(self):
        """Memory that the process has of its own, in megabytes."""
        try:
            with open(f"/proc/{self.popen.pid}/status", encoding="utf-8") as file:
                fields = dict(line.split(":", 1) for line in file)
            return int(fields["RssAnon"].split()[0]) / 1024
        except (OSError, KeyError, ValueError):
            return 0.0

    async def watch(self):
        """The platform: ends a process that uses more than its memory, and starts one anew that has ended."""
        while True:
            await asyncio.sleep(0.01)
            if self.down:
                continue
            if self.popen.poll() is not None:
                self.world.note(f"{self.name}: process ended by itself, code {self.popen.returncode}")
                self.ends.append(self.world.now())
                await asyncio.sleep(RESTART_S)
                if not self.down:
                    self.start()
                continue
            used = self.memory()
            self.peak_mb = max(self.peak_mb, used)
            if used > self.memory_mb:
                self.world.note(f"{self.name}: uses {used:.0f} MB of {self.memory_mb} MB, ended by the platform")
                self.popen.kill()
                self.popen.wait()
                self.ends.append(self.world.now())
                await asyncio.sleep(RESTART_S)
                if not self.down:
                    self.start()

    def signal(self, number):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self, stay_down=True):
        self.world.note(f"{self.name}: SIGKILL")
        self.down = stay_down
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait()
        if not stay_down:
            self.start()

    def stop(self):
        self.down = True
        if self.watcher is not None:
            self.watcher.cancel()
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()

    async def is_ready(self):
        answer = await wire.call(self.ports["ready"], "GET", "/api/ready", {"Host": "x"}, timeout_s=0.5, host=self.address)
        return answer is not None and answer[0] == 200


class World:
    """The store, the nodes and the replicas of one run, and its record."""

    def __init__(self, folder, config=None, seed=1):
        self.folder = folder
        self.random = random.Random(seed)
        self.store = PagedStore(random.Random(seed))
        self.config = config or default_config()
        self.nodes = []
        self.replicas = []
        self.started = time.monotonic()
        self.record = []
        self.broken = []

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.record.append(f"{self.now():8.3f} {text}")

    def breaks(self, rule, text):
        self.broken.append(f"{rule}: {text}")
        self.note(f"BROKEN {rule}: {text}")

    async def add_node(self, name, role="edge", memory_mb=260, zone="a"):
        node = Node(self, name, role, memory_mb, zone)
        self.nodes.append(node)
        node.write_settings(await self.store.open_port(name))
        return node

    async def start_nodes(self):
        await self.store.put("config", "main", self.config)
        for node in self.nodes:
            node.start()
        for node in self.edges():
            while not await node.is_ready():
                if self.now() > 20:
                    raise RuntimeError(f"{node.name} isn't ready")
                await asyncio.sleep(0.1)
        self.note("all nodes are ready")

    def edges(self):
        return [node for node in self.nodes if node.role == "edge"]

    def stop(self):
        for replica in self.replicas:
            replica.stop()
        for node in self.nodes:
            node.stop()

    async def call(self, node, method, path, headers=None, body=b"", timeout_s=5.0):
        answer = await wire.call(node.ports["front"], method, path, {"Host": HOST, **(headers or {})}, body,
                                 timeout_s=timeout_s, host=node.address)
        return answer


def run(play, seconds=110):
    """Plays PLAY (world) and exits as the issue says."""
    folder = tempfile.mkdtemp(prefix="gspan-review-")
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    code = 2

    async def main():
        nonlocal code
        world = World(folder)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            if not os.path.exists(PROGRAM):
                raise RuntimeError("target/gspan-node isn't built")
            await asyncio.wait_for(play(world), seconds)
            code = 1 if world.broken else 0
        except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
            world.note(f"could not run: {type(error).__name__} {error}")
            code = 2
        finally:
            world.stop()
            world.note(f"trouble: {'on' if TROUBLE else 'off'}; exit code {code}")
            with open(os.path.join(here, "record.txt"), "w", encoding="utf-8") as file:
                file.write("\n".join(world.record) + "\n")
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)

    asyncio.run(main())
    shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)


def encode_job(step, items, wanted, version=0):
    return json.dumps({"step": step, "model": MODEL, "minVersion": version, "desiredCount": wanted, "items": items}).encode()
