"""A node is killed while it passes streams on that have no length: their callers must not take them for whole."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from bench import DESK, HOST, TROUBLE, default_config, run, wire  # noqa: E402 pylint: disable=wrong-import-position
from upstreams import Replica  # noqa: E402 pylint: disable=wrong-import-position

PIECES = 20
PIECE_S = 0.1
KILL_AT_S = 1.05  # after the clients' requests
CLIENTS = 6
ROUTE = {"name": "r-stream", "host": HOST, "pathPrefix": "/hilo77/", "type": "streaming", "timeoutMs": 8000,
         "targetLatencyMs": 400, "priority": 1, "service": DESK, "maxAttempts": 2}


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n".encode()


class Streamer(Replica):
    """Sends events; those of every other request in an answer without a length, that ends with its connection."""

    async def answer(self, request, writer):
        framed = request.path.endswith("framed")
        headers = {**self.headers(request), "Content-Type": "text/event-stream"}
        headers["Transfer-Encoding" if framed else "Connection"] = "chunked" if framed else "close"
        writer.write(wire.format_head("HTTP/1.1 200 OK", headers))
        for number in range(1, PIECES + 1):
            await asyncio.sleep(PIECE_S)
            piece = event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if framed else piece)
            await writer.drain()
        if framed:
            writer.write(b"0\r\n\r\n")
        self.world.note(f"{self.name}: whole answer to {request.headers['x-attempt-id']}")


async def read_answer(reader):
    """Status, signature, body, and whether the answer is complete by HTTP."""
    status, headers = await wire.read_answer_head(reader)
    body = b""
    try:
        async for piece in wire.read_pieces(reader, headers, at_end_of_connection=True):
            body += piece
    except (OSError, asyncio.IncompleteReadError, wire.Garbled) as error:
        return status, headers, body, f"incomplete ({type(error).__name__})"
    return status, headers, body, "complete"


async def ask(world, node, number):
    attempt = f"a{number}"
    path = f"/hilo77/{number}-{'framed' if number % 2 else 'plain'}"
    reader, writer = await asyncio.open_connection(node.address, node.ports["front"])
    writer.write(wire.format_head(f"POST {path} HTTP/1.1", {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": 8000,
                                                            "Content-Length": 0}))
    try:
        status, headers, body, end = await asyncio.wait_for(read_answer(reader), 10)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        world.note(f"{attempt} {path}: no answer, {type(error).__name__}")
        return
    finally:
        writer.transport.abort()
    whole = b"".join(event(n) for n in range(1, PIECES + 1))
    world.note(f"{attempt} {path}: {status}, stamp {headers.get('x-server-stamp')}, {len(body)} of {len(whole)} bytes, {end}")
    if 200 <= status < 300 and "x-server-stamp" in headers and end == "complete" and body != whole:
        world.breaks("MIXED", f"{attempt} got a complete {status} with {len(body)} of {len(whole)} bytes")


async def play(world):
    world.config = default_config()
    world.config["routes"].append(ROUTE)
    for number in range(3):
        await Streamer(world, f"i-{number}", DESK).start()
    node = await world.add_node("edge-1")
    await world.add_node("edge-2")
    await world.start_nodes()
    clients = [asyncio.create_task(ask(world, node, number)) for number in range(CLIENTS)]
    await asyncio.sleep(KILL_AT_S)
    if TROUBLE:
        node.kill(stay_down=False)
    await asyncio.gather(*clients)


run(play, 40)
