"""Runs a case: prepares its folder and record, ends what it started, and turns its finding into the exit status."""

import asyncio
import os
import signal
import sys
import tempfile

from fleet import Node, Record
from replica import Replica
from store import Store

HOST = "ficu95.example"
BROKEN, HELD, CANT_RUN = 11, 0, 2  # run.sh turns 11 into 1: Python itself exits with 1 after an error
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CantRun(Exception):
    """The case couldn't be set up."""


class World:
    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        self.store = Store()
        self.nodes = []
        self.replicas = []

    async def add_node(self, name):
        """Starts a machine with a name and an address of its own."""
        ip = f"127.0.1.{len(self.nodes) + 1}"
        node = Node(self.folder, name, ip, await self.store.open_port(name), self.record)
        self.nodes.append(node)
        node.start()
        return node

    async def add_replica(self, name, service, **more):
        replica = Replica(self.store, self.record, name, service, **more)
        self.replicas.append(replica)
        await replica.start()
        return replica

    def configure(self, routes, services):
        self.store.put("config", "main", {
            "version": 1, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})
        self.record("operator: writes configuration 1")

    async def until(self, what, condition, timeout_s=15.0):
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while True:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            if loop.time() > end:
                raise CantRun(f"in vain waited for: {what}")
            await asyncio.sleep(0.02)

    def stop(self):
        for node in self.nodes:
            node.kill()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()


def model_service(name, slots=16):
    return {"name": name, "healthPath": "/health", "maxConns": 180, "protocol": "h1", "tls": False,
            "engine": {"slots": slots, "kvCapacity": 143191, "kvBytes": 327680, "linkMbps": 4400000.0, "moves": True,
                       "backups": True, "stride": 47, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
                       "models": [{"name": "m0"}]}}


def rollout_route(service):
    return {"name": "r-rollout", "host": HOST, "pathPrefix": "/pufi791/", "type": "rollout", "timeoutMs": 10000,
            "targetLatencyMs": 400, "priority": 1, "service": service, "maxAttempts": 3, "maxQueueS": 40.0,
            "resultDueMs": 7500, "singleVersion": False, "sessionAffinity": True, "resumable": True}


def run_case(case_file, case, timeout_s=115.0):
    """CASE (world) returns what was found, or None where the rule held."""
    folder = os.path.dirname(os.path.abspath(case_file))
    record = Record(os.path.join(folder, "record.txt"))

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):  # what was started ends then, too
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as scratch:
            world = World(scratch, record)
            try:
                return await asyncio.wait_for(case(world), timeout_s)
            finally:
                world.stop()
                if "KEEP_LOGS" in os.environ:
                    os.system(f"cp {scratch}/*.log {os.environ['KEEP_LOGS']}")

    try:
        found = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        record(f"the case couldn't run: {error!r}")
        print(f"the case couldn't run: {error!r}")
        sys.exit(CANT_RUN)
    record(f"verdict: {found if found else 'the rule held'}")
    print(found if found else "the rule held")
    sys.exit(BROKEN if found else HELD)
