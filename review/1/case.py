"""The machines of a fleet are replaced one after the other; then the machine that runs a step is removed for good."""

import asyncio
import base64
import json
import signal
import time

from world import HOST, TROUBLE, CantRun, model_service, rollout_route, run_case
from http11 import call

STABLE_S = 3.0  # stableMs
LYING_S = 5.0  # RULES.md: "has been at no replica for 5 s of steady state"
STEP_S = 12.0  # SYSTEM.md: the deadline of a trainer's batch
REMOVE_AFTER_S = 1.0
GROUPS, SIZE, WANTED = 29, 8, 26
MASK = (1 << 64) - 1


def xxh64(data, seed):
    """XXH64 of fewer than 32 bytes; the project orders the machines that take a job over by it."""
    p1, p2, p3 = 0x9E3779B185EBCA87, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9
    p4, p5 = 0x85EBCA77C2B2AE63, 0x27D4EB2F165667C5

    def rotate(value, bits):
        return (value << bits | value >> (64 - bits)) & MASK

    value = (seed + p5 + len(data)) & MASK
    while len(data) >= 8:
        lane = rotate(int.from_bytes(data[:8], "little") * p2 & MASK, 31) * p1 & MASK
        value = (rotate(value ^ lane, 27) * p1 + p4) & MASK
        data = data[8:]
    if len(data) >= 4:
        value = (rotate(value ^ int.from_bytes(data[:4], "little") * p1 & MASK, 23) * p2 + p3) & MASK
        data = data[4:]
    for byte in data:
        value = rotate(value ^ byte * p5 & MASK, 11) * p1 & MASK
    value = (value ^ value >> 33) * p2 & MASK
    value = (value ^ value >> 29) * p3 & MASK
    return value ^ value >> 32


def find_job(owner, names, gone):
    """A job's id for which the two machines that are first to take it over from OWNER have left."""
    number = 0x7C41E09B52D6A300
    while True:
        job = f"{number:016x}"
        seed = xxh64(job.encode(), 0)
        others = sorted((name for name in names if name != owner), key=lambda name: -xxh64(name.encode(), seed))
        if not gone or set(others[:2]) <= set(gone):
            return job
        number += 1


def step(job):
    items = [{"id": f"{job[:8]}{number:08x}", "path": f"/pufi791/3/{number:x}",
              "headers": {"X-Model": "m0", "X-Token-Count": "1016,24", "X-Prompt-Prefix": f"{number // SIZE:x}:1000,ff{number:x}:16"},
              "body": base64.b64encode(b"prompt").decode(), "tokenCount": 1040, "group": f"g{number // SIZE}"}
             for number in range(GROUPS * SIZE)]
    return {"step": 0, "model": "m0", "minVersion": 1, "desiredCount": WANTED, "items": items}


async def replace(world, old, new_name):
    """Planned: the new machine comes first, then the old one gets SIGTERM and is gone for good."""
    new = await world.add_node(new_name)
    await world.until(f"{new_name} is ready", new.is_ready)
    old.signal(signal.SIGTERM)
    await world.until(f"{old.name} has ended", old.has_ended)
    world.record(f"platform: {old.name} is gone for good")
    return new


async def read_results(world, job, nodes, results, until):
    """The trainer reads about twice a second, each time at another node."""
    number = 0
    while time.monotonic() < until:
        alive = [node for node in nodes if not node.has_ended()]
        node = alive[number % len(alive)]
        number += 1
        after = len(results)
        answer = await call(node.ip, node.front, "GET", f"/api/lots/{job}?after={after}",
                            {"Host": HOST, "X-Wait-Ms": "500"}, timeout_s=2.0)
        if answer is not None and answer[0] == 200:
            page = json.loads(answer[2])
            results += page["results"]
            world.record(f"trainer: {len(results)} of {page['total']} results, read at {node.name}")
        else:
            world.record(f"trainer: no results at {node.name}: {answer[0] if answer else 'no answer'}")
        if len(results) == GROUPS * SIZE:
            return
        await asyncio.sleep(0.4)


def complete_groups(results):
    done = [int(result["id"][8:], 16) // SIZE for result in results]
    return sum(1 for group in range(GROUPS) if done.count(group) == SIZE)


async def case(world):
    world.configure([rollout_route("huvo11a")], [model_service("huvo11a")])
    for number in range(3):
        await world.add_replica(f"i-{number}", "huvo11a", event_s=0.045)
    nodes = [await world.add_node(f"edge-bratislava-{number}") for number in range(1, 5)]
    for node in nodes:
        await world.until(f"{node.name} is ready", node.is_ready)
    gone = []
    if TROUBLE:
        for at in range(4):
            gone.append(nodes[at].name)
            nodes[at] = await replace(world, nodes[at], f"edge-bratislava-{at + 5}")
    await asyncio.sleep(STABLE_S)

    owner = nodes[0]
    job = find_job(owner.name, [node.name for node in world.nodes], gone)
    sent = time.monotonic()
    answer = await call(owner.ip, owner.front, "POST", f"/pufi791/{job[:6]}",
                        {"Host": HOST, "X-Attempt-Id": job, "Content-Type": "application/json"},
                        json.dumps(step(job)).encode())
    world.record(f"trainer: step {job} at {owner.name}: {answer[0] if answer else 'no answer'}")
    if answer is None or answer[0] != 202:
        raise CantRun("the step wasn't accepted")
    removed = None
    results = []
    reading = asyncio.create_task(read_results(world, job, nodes, results, sent + STEP_S))
    await asyncio.sleep(REMOVE_AFTER_S)
    if TROUBLE:
        owner.kill()
        removed = time.monotonic()
        world.record(f"platform: {owner.name} is gone for good")
        await asyncio.sleep(1.0)
        nodes.append(await world.add_node("edge-bratislava-9"))
        removed = time.monotonic()  # steady state is counted from the successor's start, the last that was disturbed
    await reading
    timed_out = time.monotonic()
    complete = complete_groups(results)
    world.record(f"trainer: the step ends with {complete} complete groups of the {WANTED} that it waits for")
    if complete >= WANTED:
        return None
    return judge(world, job, timed_out, removed, results)


def judge(world, job, timed_out, removed, results):
    """Items that no replica has finished, and that were at none for LYING_S of steady state until the step's end."""
    replicas = world.replicas
    steady = (removed or 0.0) + STABLE_S
    listed = {result["id"] for result in results}
    lying = []
    for item in (entry["id"] for entry in step(job)["items"]):
        if item in listed or any(item in replica.finished or replica.running.get(item, 0) > 0 for replica in replicas):
            continue
        last = max([replica.last_run.get(item, 0.0) for replica in replicas])
        if timed_out - max(last, steady) >= LYING_S:
            lying.append(item)
    begun = sum(len(replica.last_run) for replica in replicas)
    busy = [f"{replica.active}/{replica.slots}" for replica in replicas]
    world.record(f"items lying at no replica for {LYING_S} s of steady state: {len(lying)}; begun: {begun}; places taken "
                 f"at the replicas: {', '.join(busy)}")
    has_room = all(2 * replica.active < replica.slots for replica in replicas)
    if not lying or begun == 0 or not has_room:  # no version is named in this case
        return None
    return (f"LOST: the step ran out of time while {len(lying)} of its {GROUPS * SIZE} items had been at no replica for "
            f"over {LYING_S:.0f} s of steady state (places taken at the replicas: {', '.join(busy)})")


run_case(__file__, case)
