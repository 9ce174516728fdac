"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import urllib.parse


class Request:
    def __init__(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        self.method = method
        self.path = url.path
        self.query = dict(urllib.parse.parse_qsl(url.query))
        self.headers = headers  # names in lower case
        self.body = body


class LoseAnswer(Exception):
    """Raised by a handler: the connection ends without an answer."""


async def read_head(reader):
    """First line and headers; None at the end of the connection."""
    first = (await reader.readline()).decode("latin-1").rstrip("\r\n")
    if not first:
        return None
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1")
        if line in ("\r\n", "\n", ""):
            return first, headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_chunks(reader):
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def head(status, headers):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Server:
    """HANDLER (request, writer) returns (status, headers, body), or None where it has written all itself."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                got = await read_head(reader)
                if got is None:
                    break
                first, headers = got
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers, await read_body(reader, headers))
                answer = await self.handler(request, writer)
                if answer is None:
                    break
                status, more, body = answer
                writer.write(head(status, {**more, "Content-Length": len(body)}) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError, LoseAnswer):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(host, port, method, target, headers, body=b"", timeout_s=3.0):
    """Status, headers and body of the answer on a connection of its own; None where there is no whole answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            got = await read_head(reader)
            if got is None:
                return None
            first, answer_headers = got
            return int(first.split()[1]), answer_headers, await read_body(reader, answer_headers)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
