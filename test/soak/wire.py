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
    arrived: float = 0.0


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


def source_of(writer):
    """Address that a connection comes from; None where it was reset before it was accepted."""
    peer = writer.get_extra_info("peername")
    return peer[0] if peer is not None else None


class Broken(Exception):
    """Raised by a handler to break the connection off without an answer."""


KEPT = object()  # returned by a handler that has written all itself and keeps the connection


class Garbled(Exception):
    """Bytes that are no answer in the protocol."""


async def read_line(reader):
    """A line with its end; empty at the end of the connection."""
    line = await reader.readline()
    if line and not line.endswith(b"\n"):
        raise asyncio.IncompleteReadError(line, None)
    return line


async def read_head(reader):
    """First line and headers; None at the end of the connection."""
    first = await read_line(reader)
    if not first:
        return None
    headers = {}
    while (line := await read_line(reader)) not in (b"\r\n", b"\n"):
        if not line:
            raise asyncio.IncompleteReadError(first, None)
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.decode("latin-1").split(None, 2), headers


async def read_answer_head(reader):
    """Status and headers of an answer."""
    head = await read_head(reader)
    if head is None:
        raise asyncio.IncompleteReadError(b"", None)
    first, headers = head
    if len(first) < 2 or not first[0].startswith("HTTP/1.") or not (first[1].isdigit() and len(first[1]) == 3):
        raise Garbled(" ".join(first))
    return int(first[1]), headers


async def read_pieces(reader, headers, at_end_of_connection=False):
    """Pieces of a body as they come; raises where it ends early."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := await read_chunk_size(reader):
            yield await reader.readexactly(size)
            if await reader.readexactly(2) != b"\r\n":
                raise Garbled("a chunk that doesn't end where its size says")
        while (line := await read_line(reader)) not in (b"\r\n", b"\n"):
            if not line:
                raise asyncio.IncompleteReadError(b"", None)
    elif "content-length" in headers or not at_end_of_connection:
        left = int(headers.get("content-length", 0))
        while left > 0:
            piece = await reader.read(min(left, 65536))
            if not piece:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(piece)
            yield piece
    else:
        while piece := await reader.read(65536):
            yield piece


async def read_chunk_size(reader):
    line = await read_line(reader)
    if not line:
        raise asyncio.IncompleteReadError(b"", None)
    try:
        return int(line.split(b";")[0], 16)
    except ValueError:
        raise Garbled(f"{line[:60]!r} for the size of a chunk") from None


async def read_body(reader, headers, at_end_of_connection=False):
    return b"".join([piece async for piece in read_pieces(reader, headers, at_end_of_connection)])


def format_head(first, headers):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Server:
    """Calls HANDLER (request, writer) for each request; it returns a Reply, or None or KEPT if it has written all itself."""

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
        changed = set(self.held_up) ^ set(held_up)
        refused_before, self.refused = self.refused, refused
        self.held_up = held_up
        if self.server is None or not self.server.is_serving():
            return
        if refused or refused_before:
            for sock in self.server.sockets:
                drop_from(sock, refused)
        for writer in self.writers:
            if not writer.is_closing() and source_of(writer) in changed:
                self.hold_up(writer)

    def hold_up(self, writer):
        """A connection has one source: only that one's address matters to it."""
        source = source_of(writer)
        drop_from(writer.get_extra_info("socket"), [source] if source in self.held_up else [])

    def stop(self):
        """Closes the port and breaks all connections."""
        if self.server is not None:
            self.server.close()
        self.break_connections()

    def break_connections(self, addresses=None):
        """Resets all connections, or those from ADDRESSES."""
        for writer in list(self.writers):
            if addresses is None or source_of(writer) in addresses:
                reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        if self.held_up:
            self.hold_up(writer)
        try:
            while (head := await read_head(reader)) is not None:
                (method, target, _), headers = head
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                request = Request(method, url.path, query, headers, await read_body(reader, headers))
                reply = await self.handler(request, writer)
                if reply is None:
                    break
                if reply is KEPT:
                    continue
                sent = {**reply.headers, "Content-Length": len(reply.body)}
                writer.write(format_head(f"HTTP/1.1 {reply.status} X", sent) + reply.body)
                await writer.drain()
                if reply.headers.get("Connection") == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError, Garbled):
            pass
        except Broken:
            reset(writer)
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(port, method, path, headers, body=b"", timeout_s=5.0, kept=None, foreign=None, host="127.0.0.1"):
    """
    One exchange; (status, headers, body), or None where no whole answer came. KEPT is a list that holds an open
    connection between calls, (reader, writer). Bytes that belong to no answer are added to the list FOREIGN.
    """
    foreign = foreign if foreign is not None else []

    async def exchange():
        reader, writer = kept.pop() if kept else await asyncio.open_connection(host, port)
        try:
            note_unasked(reader, foreign)
            writer.write(format_head(f"{method} {path} HTTP/1.1", {**headers, "Content-Length": len(body)}) + body)
            status, answer_headers = await read_answer_head(reader)
            answer = status, answer_headers, await read_body(reader, answer_headers, at_end_of_connection=True)
            note_unasked(reader, foreign)
        except BaseException:
            writer.transport.abort()
            raise
        if kept is None or answer_headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            kept.append((reader, writer))
        return answer

    return await guarded(exchange(), timeout_s, foreign)


def note_unasked(reader, foreign):
    """Bytes that have come on a connection on which nothing is asked."""
    unasked = bytes(reader._buffer)  # pylint: disable=protected-access
    if unasked:
        foreign.append(f"unasked {unasked[:200]!r}")


async def guarded(exchange, timeout_s, foreign):
    """What EXCHANGE returns, or None where it failed."""
    try:
        return await asyncio.wait_for(exchange, timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    except (Garbled, ValueError) as error:
        foreign.append(f"no answer: {error}")
    return None


@dataclass
class Stream:
    """What came of a stream: its body where the status isn't 200, else its events."""

    status: int = 0  # 0 where no head came
    headers: dict = field(default_factory=dict)
    body: bytes = None
    events: list = field(default_factory=list)  # (id, data)
    whole: bool = False
    foreign: list = field(default_factory=list)  # what was neither an event nor an answer


async def stream(port, path, headers, most, timeout_s=5.0, host="127.0.0.1"):
    """Reads a stream of events, MOST of them at most, and closes the connection then."""
    got = Stream()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(format_head(f"POST {path} HTTP/1.1", {**headers, "Content-Length": 0}))
        got.status, got.headers = await read_answer_head(reader)
        if got.status != 200:
            got.body = await read_body(reader, got.headers, at_end_of_connection=True)
            return
        pending = b""
        async for piece in read_pieces(reader, got.headers, at_end_of_connection=True):
            *done, pending = (pending + piece).split(b"\n\n")
            for text in done:
                add_event(got, text)
            if len(got.events) >= most:
                return
        got.whole = True
        if pending:
            got.foreign.append(f"ended as whole after {pending[:200]!r}")
        note_unasked(reader, got.foreign)

    await guarded(exchange(), timeout_s, got.foreign)
    if writer is not None:
        writer.transport.abort()
    del got.events[most:]
    return got


def add_event(got, text):
    lines = dict(line.partition(": ")[::2] for line in text.decode("latin-1").split("\n"))
    if lines.get("id", "").isdigit() and "data" in lines:
        got.events.append((int(lines["id"]), lines["data"]))
    else:
        got.foreign.append(f"no event: {text[:200]!r}")
