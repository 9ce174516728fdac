"""Replicas that leave by the store alone: their answers don't say so, and the store makes it hard to learn."""

import asyncio

import book as books

STAYS_S = (3.0, 8.0)  # beyond the drain notice; at times many seconds


async def leave_quietly(world):
    """Its entry drains or goes; then the history may be forgotten, or its former entry be written once more."""
    service = world.random.choice(["desk", "text", "llm"])
    living = world.living(service)
    if len(living) < 3:
        return
    replica = world.random.choice(living)
    await world.add_replica(service)
    how = world.random.choice(["draining", "draining", "removed"])
    former = dict(replica.spec)
    world.go(replica.leave(0, how, books.DRAIN_S + world.random.uniform(*STAYS_S), in_answers=False))
    await asyncio.sleep(0)
    if world.random.random() < 0.5:
        world.store.forget_history()
    if how == "draining" and world.random.random() < 0.5:
        await asyncio.sleep(world.random.uniform(0.3, 3))
        if replica.alive:
            await world.store.put("servers", replica.name, former)


async def forget_with_watches(world):
    """The history goes, and most watches of it are cut, as at the platform; the others wait on."""
    world.store.forget_history()
    for node in world.nodes:
        if world.random.random() < 0.7:
            world.store.break_connections(node.name)


FAULTS = {"quiet": leave_quietly, "gap": forget_with_watches}
