"""Clients that submit batch jobs: one reads each to its end, the other gives up jobs that aren't accepted soon."""

import asyncio
import json

import book as books
import wire
from replica import EVENTS, FAILING_SCORE, SCORE

HASTY_ITEMS = 4


def make_items(job, count):
    return [{"id": f"{job}-{i}", "path": f"/batch/{job}-{i}", "headers": {"X-Model": "m0"}, "body": "aGk=",
             "tokenCount": 10, "group": f"g{i // 4}"} for i in range(count)]


def make_body(step, items):
    return json.dumps({"step": step, "model": "m0", "minVersion": 0, "desiredCount": 4, "items": items}).encode()


async def submit(world, job, body):
    """One try at any node; the status, 0 where none came."""
    node = world.random.choice(world.nodes)
    answer = await wire.call(node.front, "POST", f"/batch/{job}", {"Host": "a.example", "X-Attempt-Id": job}, body,
                             host=node.address)
    status = answer[0] if answer is not None else 0
    world.book.job_answered(job, status)
    return status


async def train(world):
    """A batch job every few seconds, read to its end."""
    step = 0
    while world.now() < world.options.seconds - 8:
        step += 1
        job = f"j{world.options.seed}-{step}"
        items = make_items(job, 16)
        if step % 2 == 0:
            for item in items:
                fails = world.random.random() < 0.1
                item["scorer"] = {"id": f"{item['id']}-score", "host": "a.example", "body": "aGk=",
                                  "path": f"{FAILING_SCORE if fails else SCORE}{item['id']}"}
                world.book.scorers[item["id"]] = fails
        while world.now() < world.options.seconds and await submit(world, job, make_body(step, items)) != 202:
            await asyncio.sleep(0.3)
        world.go(read_job(world, job, {item["id"] for item in items}))
        await asyncio.sleep(3)


async def train_hastily(world, number):
    """Small jobs while the store has faults, each given up after two to four tries."""
    step = 0
    while world.now() < world.options.seconds - 8:
        await asyncio.sleep(0.2)
        if not world.store.faults and not world.store.writes.nodes:
            continue
        step += 1
        job = f"h{world.options.seed}-{number * 10000 + step}"
        body = make_body(step, make_items(job, HASTY_ITEMS))
        for _ in range(world.random.randint(2, 4)):
            if await submit(world, job, body) == 202:
                break
            await asyncio.sleep(world.random.uniform(0, 0.3))


async def read_job(world, job, wanted):
    seen = []
    while len(seen) < len(wanted) and world.now() < world.options.seconds + 20:
        node = world.random.choice(world.nodes)
        answer = await wire.call(node.front, "GET", f"/api/lots/{job}?after={len(seen)}", {"Host": "a.example"},
                                 host=node.address)
        if answer is not None and answer[0] == 200:
            results = json.loads(answer[2])["results"]
            seen += [r["id"] for r in results]
            for result in results:
                check_result(world.book, result)
        await asyncio.sleep(0.4)
    if sorted(seen) != sorted(wanted):
        world.book.broken.append(f"LOST {job}: {len(seen)} of {len(wanted)} results, {len(set(seen))} different")


def check_result(book, result):
    """Its text is exactly the events that replicas make of its path."""
    lines = [line.rpartition("@") for line in result["output"].split("\n")]
    text = [f"/batch/{result['id']}-{n}" for n in range(1, EVENTS + 1)]
    if len({software for _, _, software in lines}) > 1:
        book.mixed.append(f"{result['id']}: {result['output']!r}")
    book.check_score(result)
    if book.scorers.get(result["id"]) and result["state"] == "abandoned":
        return
    if book.item_errors[result["id"]] >= books.ERRORS_UNTIL_ABANDONED and result["state"] == "abandoned":
        return
    if result["state"] != "completed" or [line for line, _, _ in lines] != text:
        book.broken.append(f"MIXED {result['id']}: {result['state']} {result['output']!r}")
