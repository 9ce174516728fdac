"""A small HTTP/1.1 server and client on asyncio, whose handlers may also stay silent or break a connection."""

import asyncio
import socket
import struct
import urllib.parse
from dataclasses import dataclass, field

from partition import drop_from


@dataclass
class Request:
    method: str
    path: str
    query: dict
    headers: dict  # names in lower case
    body: bytes


@dataclass
class Reply:
    status: int
    body: bytes = b""
    headers: dict = field(default_factory=dict)  # names as they are sent


def reset(writer):
    """Closes the connection with a reset, as the end of a process with unread bytes does."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Broken(Exception):
    """Raised by a handler to break the connection off without an answer."""


async def read_head(reader):
    """First line and headers; None at the end of the connection."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.decode("latin-1").split(None, 2), headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def format_head(first, headers):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Server:
    """Calls HANDLER (request, writer) for each request; it returns a Reply, or None if it has written all itself."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.writers = set()
        self.refused = []  # addresses whose new connections hang
        self.held_up = []  # addresses whose open connections hang

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.cut_off(self.refused, self.held_up)

    def cut_off(self, refused, held_up):
        """Lets new connections from REFUSED hang, and open ones from HELD_UP."""
        self.refused = refused
        self.held_up = held_up
        if self.server is None or not self.server.is_serving():
            return
        for sock in self.server.sockets:
            drop_from(sock, refused)
        for writer in self.writers:
            if not writer.is_closing():
                drop_from(writer.get_extra_info("socket"), held_up)

    def stop(self):
        """Closes the port and breaks all connections."""
        if self.server is not None:
            self.server.close()
        self.break_connections()

    def break_connections(self, addresses=None):
        """Resets all connections, or those from ADDRESSES."""
        for writer in list(self.writers):
            if addresses is None or writer.get_extra_info("peername")[0] in addresses:
                reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        drop_from(writer.get_extra_info("socket"), self.held_up)
        try:
            while (head := await read_head(reader)) is not None:
                (method, target, _), headers = head
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                request = Request(method, url.path, query, headers, await read_body(reader, headers))
                reply = await self.handler(request, writer)
                if reply is None:
                    break
                sent = {**reply.headers, "Content-Length": len(reply.body)}
                writer.write(format_head(f"HTTP/1.1 {reply.status} X", sent) + reply.body)
                await writer.drain()
                if reply.headers.get("Connection") == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        except Broken:
            reset(writer)
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(port, method, path, headers, body=b"", timeout_s=5.0, kept=None):
    """
    One exchange; (status, headers, body), or None where no answer came. KEPT is a list that holds an open
    connection between calls, (reader, writer).
    """
    async def exchange():
        reader, writer = kept.pop() if kept else await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(format_head(f"{method} {path} HTTP/1.1", {**headers, "Content-Length": len(body)}) + body)
            first, answer_headers = await read_head(reader)
            answer = int(first[1]), answer_headers, await read_body(reader, answer_headers)
        except BaseException:
            writer.transport.abort()
            raise
        if kept is None or answer_headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            kept.append((reader, writer))
        return answer

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, TypeError, ValueError):
        return None


async def stream(port, path, headers, most, timeout_s=5.0):
    """
    Reads a stream of events, MOST of them at most, and closes the connection then. (status, events as (id, data),
    whether it ended as whole); status 0 where no head came.
    """
    events = []
    status = 0
    whole = False
    writer = None

    async def exchange():
        nonlocal status, whole, writer
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(format_head(f"POST {path} HTTP/1.1", {**headers, "Content-Length": 0}))
        first, answer_headers = await read_head(reader)
        status = int(first[1])
        if status != 200 or answer_headers.get("transfer-encoding", "").lower() != "chunked":
            return
        pending = b""
        while len(events) < most:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                whole = True
                return
            pending += await reader.readexactly(size)
            await reader.readline()
            *done, pending = pending.split(b"\n\n")
            for event in done:
                lines = dict(line.split(": ", 1) for line in event.decode().split("\n"))
                events.append((int(lines["id"]), lines["data"]))

    try:
        await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, TypeError, ValueError, KeyError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return status, events[:most], whole
