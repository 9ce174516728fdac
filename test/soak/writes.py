"""Writes to the store that are done though no answer says so, with faults on single calls and not on whole nodes."""

import asyncio

from wire import Broken, Reply

REPEATED_WITHIN_S = 2.0
LATE_S = (1.0, 6.0)


class WriteFaults:
    """Nodes in NODES have them: "repeat" or "late" by name of the node."""

    def __init__(self, random, act):
        self.random = random
        self.act = act
        self.nodes = {}
        self.done = {}  # (node, method, path) to (time, refusals that its next sendings get)
        self.tasks = set()
        self.count = 0

    async def serve(self, node, request):
        """The reply to a write, or None where it has no fault."""
        kind = self.nodes.get(node)
        if kind == "repeat":
            return await self.repeat(node, request)
        if kind == "late" and self.random.random() < 0.5:
            await self.do_late(request)
        return None

    async def repeat(self, node, request):
        """Does it and resets the connection; the same call is refused then, once or some times."""
        key = (node, request.method, request.path)
        now = asyncio.get_running_loop().time()
        since, refusals = self.done.get(key, (0, 0))
        if refusals > 0 and now < since + REPEATED_WITHIN_S:
            self.done[key] = (since, refusals - 1)
            return Reply(self.random.choice([503, 503, 429]))
        if self.random.random() < 0.4:
            return None
        self.count += 1
        self.done[key] = (now, self.random.randint(1, 3))
        await self.act(request)
        raise Broken

    async def do_late(self, request):
        """Does it seconds later where its condition still holds; the caller never hears of it."""
        async def act():
            await asyncio.sleep(self.random.uniform(*LATE_S))
            await self.act(request)

        self.count += 1
        task = asyncio.create_task(act())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if self.random.random() < 0.5:
            raise Broken
        await asyncio.sleep(3600)
