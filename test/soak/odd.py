"""Odd entries among what the nodes list and watch: another writer's, which name no replica and are no reason to end or stop."""

import asyncio
import json

import book as books
from wire import Reply, Server

OTHER_KINDS = ["versions", "retirements"]  # that nodes watch too
SPEC = {"service": "desk", "address": "", "zone": "a", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seqNo": 1,
        "born": 1796431900000, "models": [{"name": "m0", "version": 1, "adapters": []}]}
DEEP = b"[" * 3000 + b"]" * 3000
DEEP_MAP = b'{"a":' * 3000 + b"1" + b"}" * 3000
FAR = b"123456789012345678901234567890"
# What stands in a field of the spec in place of what belongs there; NAMES are those that make the entry name no replica.
VALUES = {"deep": DEEP, "deep map": DEEP_MAP, "30 digits": FAR, "minus 30 digits": b"-" + FAR, "1e999": b"1e999",
          "half": b"1.5", "zero": b"0",
          "minus": b"-1", "no UTF-8": b'"\xff\xfe\x80"', "surrogate": b'"\\ud800"', "zero byte": b'"\\u0000"',
          "map": b'{"a":{}}', "list": b"[]", "null": b"null", "true": b"true", "long": b'"' + b"x" * 100000 + b'"'}
ADDRESSES = ["127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1", "127.0.0.1:99999999999999999999", ":80", "",
             "[::1", "127.0.0.1:1 x\r\nX-A: b", "a" * 5000 + ":80"]
FOLLOWED_LEAST = 60  # requests of a node to a service after which a replica that was added must have had one
FOLLOWED_AFTER_S = 2.5


async def add(world):
    """One odd entry; returns its kind and name."""
    if not hasattr(world, "odd"):
        world.odd = Odd(world)
        await world.odd.server.start()
    return await world.odd.add()


class Odd:
    def __init__(self, world):
        self.world = world
        self.server = Server(self.serve)
        world.servers.append(self.server)
        self.count = 0
        self.followed = []  # (replica that was added while odd entries were there, time)

    async def serve(self, request, _):
        """The address of entries that name no replica."""
        if not request.path.startswith("/api/"):
            self.world.book.broken.append(f"ROUTE {request.headers.get('x-attempt-id')}: {request.path} reached an odd entry's address")
        return Reply(503, b"", {"X-Not-Executed": "1"})

    async def add(self):
        random = self.world.random
        self.count += 1
        name = f"odd-{self.count}"
        spec = {**SPEC, "service": random.choice(["desk", "calls", "llm", "text"]), "address": f"127.0.0.1:{self.server.port}"}
        how = random.choice(["field", "field", "field", "address", "spec", "unknown field", "twice"])
        field, value = "", b""
        if how == "field":
            field, value = random.choice(["service", "address", "state", "slots"]), random.choice(list(VALUES.values()))
        elif how == "address":
            field, value = "address", json.dumps(random.choice(ADDRESSES)).encode()
        elif how == "unknown field":
            spec["state"] = "draining"  # it would be of use otherwise
            field, value = "unknown", random.choice(list(VALUES.values()))
        raw = json.dumps({key: item for key, item in spec.items() if key != field}).encode()
        if how == "spec":
            raw = random.choice(list(VALUES.values()))
        elif how == "twice":
            raw = raw[:-1] + b', "state": [], "state": 7}'
        elif field:
            raw = raw[:-1] + b', "%s": %s}' % (field.encode(), value)
        self.world.store.raw[f"@{name}@"] = raw
        kind = random.choice(["servers"] * 4 + OTHER_KINDS)
        self.world.note(f"odd {kind}/{name}: {how} {field} ...{raw[-60:]!r}")
        await self.world.store.put(kind, name, f"@{name}@")
        return kind, name


async def come_and_go(world):
    """Some for seconds or for the rest of the run; a replica that is added meanwhile has to be followed."""
    added = [await add(world) for _ in range(world.random.randint(1, 4))]
    await asyncio.sleep(world.random.uniform(0, 1))
    service = world.random.choice(["desk", "calls"])
    await world.add_replica(service)
    world.odd.followed.append((world.replicas[-1], world.now()))
    if world.random.random() < 0.5:
        await asyncio.sleep(world.random.uniform(1, 6))
        for kind, name in added:
            await world.store.remove(kind, name)


def check_followed(world):
    """Each node that asks a service often sends some of it to a replica that was added."""
    if not hasattr(world, "odd"):
        return
    for replica, added in world.odd.followed:
        limited = world.book.times_limited(replica.start_name)
        for node in world.nodes:
            since = max([added, *(end for _, end in world.book.disturbed[node.name])]) + FOLLOWED_AFTER_S
            mine, all_of_it = 0, 0
            for attempt, name, at in world.book.arrivals:
                if at < since or world.book.node_of(attempt) != node.name or not name.startswith(f"i-{replica.service}-"):
                    continue
                if books.is_in(limited, at) and not books.is_in(world.book.times_limited(name), at):
                    continue  # a replica without a limit is taken first
                all_of_it += 1
                mine += name == replica.start_name
            if all_of_it >= FOLLOWED_LEAST and mine == 0 and replica.alive and not replica.leaving:
                world.book.broken.append(f"CONFIG {replica.start_name}: added at {added:.1f} s, never used by {node.name}, "
                                         f"which sent {all_of_it} requests to {replica.service}")


FAULTS = {"odd": come_and_go}
