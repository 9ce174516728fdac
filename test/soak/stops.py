"""Planned stops of single nodes in calm, while requests come that take replicas longer than what is left of the grace."""

import asyncio
import collections
import signal

import restarts
import wire

ONCE = "/slow/"  # "/slow/NUMBER-MS": may not be repeated; the replica works on it for so long
REPEATABLE = "/slow-again/"  # as above, and may be
PATHS = (ONCE, REPEATABLE)
GRACE_S = 8.0
EXCUSED_S = 3.0  # requests sent so soon after the signal may be cut where their replica is at work in the last sixth
DEADLINE_S = 12.0
UNREAD_S = 0.25  # a request that crosses the end of the process by less may go unread
CLIENTS = 12


class Stops:
    """What was sent around planned stops."""

    def __init__(self):
        self.ended = []  # (node, time of the signal, time of the process's end)
        self.sent = []  # (attempt, node, sent, work in seconds, answer)

    def outcomes(self, arrived):
        """What became of requests that were sent between a signal and the end of its process: number by outcome."""
        counts = collections.Counter()
        for attempt, node, sent, _, answer in self.sent:
            if any(stopped == node and since <= sent < until for stopped, since, until in self.ended):
                status = answer[0] if answer is not None else "cut" if attempt in arrived else "closed unread"
                counts[status] += 1
        return dict(counts)

    def cut(self, arrived):
        """Requests that got no answer since their node was stopped, as lines, but for what may happen."""
        for attempt, node, sent, work_s, answer in self.sent:
            for stopped, since, until in self.ended:
                if stopped != node or not since - DEADLINE_S < sent < until:
                    continue
                if sent < since and sent + work_s < since:
                    continue
                excused = sent <= since + EXCUSED_S and sent + work_s >= since + GRACE_S * 5 / 6
                if answer is None and attempt in arrived and not excused:
                    yield f"LOST {attempt}: {node} cut it {sent - since:+.2f} s after SIGTERM, work {work_s:.2f} s"
                if answer is None and attempt not in arrived and since <= sent < until - UNREAD_S:
                    yield f"LOST {attempt}: {node} closed without reading it {until - sent:.2f} s before its process ended"
                if answer is not None and answer[0] in (429, 503) and attempt in arrived:
                    yield f"REFUSED {attempt}: {node} answered {answer[0]}, and it ran"


def work_of(path):
    return int(path.rpartition("-")[2]) / 1000


async def ask(world, node, number, kept):
    world.attempts += 1
    attempt = f"w{world.attempts}"
    work_s = world.random.choice([0.05, 0.5, 1.5, 3.0, 5.0])
    method = world.random.choice(["GET", "POST"])
    path = f"{world.random.choice(PATHS)}{number}-{work_s * 1000:.0f}"
    sent = world.now()
    answer = await wire.call(node.front, method, path, {"Host": "a.example", "X-Attempt-Id": attempt,
                                                        "X-Deadline-Ms": int(DEADLINE_S * 1000)},
                             b"hello" if method == "POST" else b"", timeout_s=DEADLINE_S + 3, kept=kept, host=node.address)
    world.stops.sent.append((attempt, node.name, sent, work_s, answer))


async def ask_slowly(world, number):
    """Half of the clients keep their connection until it is closed; they go on with their node until its process ends."""
    kept = [] if number % 2 else None
    node = world.nodes[number % len(world.nodes)]
    while world.now() < world.options.seconds:
        await ask(world, node, number, kept)
        await asyncio.sleep(world.random.uniform(0.02, 0.15))


async def stop(world):
    """One after the other: a stop waits for the one before."""
    async with world.stopping:
        node = world.random.choice(world.nodes)
        since = world.now()
        ended = asyncio.create_task(restarts.restart(world, node, signal.SIGTERM))
        while node.popen.poll() is None:
            await asyncio.sleep(0.02)
        world.stops.ended.append((node.name, since, world.now()))
        await ended


FAULTS = {"stop": stop}
