"""A platform of a few objects whose answers to the next calls are scripted, for gspanctl's cases."""

import json
import os
import re
import subprocess
import sys
import threading
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

BUILD = os.environ["BUILD"]


class Platform:
    """Objects by path. WRITES and READS hold what to do with the next calls, each a function or None."""

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.writes = []
        self.reads = []
        self.watches = []
        handler = type("Handler", (Handler,), {"platform": self})
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, path, value):
        self.revision += 1
        self.objects[path] = (self.revision, value)

    def ctl(self, *words, **environment):
        """Runs gspanctl on this platform and prints its line, output and exit code."""
        print("$ gspanctl", *words, flush=True)
        done = subprocess.run([os.path.join(BUILD, "gspanctl"), "--platform", self.address, "--editor",
                               "marta", *words],
                              stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
                              env={**os.environ, **environment}, check=False, timeout=60)
        output = done.stdout.replace(self.address, "PLATFORM")
        print(re.sub("gspanctl-[0-9a-f]{16}", "TOKEN", output), end="")
        print("exit", done.returncode, flush=True)


def lose(call):
    """Drops the connection; the call has no effect."""
    call.drop()
    return True


def lose_after(call):
    """Does the call and drops the connection in place of the answer."""
    call.do_write(answer=False)
    call.drop()
    return True


def refuse(call):
    """503: the call has no effect."""
    call.reply(503, {})
    return True


def edit(path, **fields):
    """Somebody else's edit lands just before the call."""
    def act(call):
        call.platform.put(path, {**call.platform.objects[path][1], **fields})
        return False
    return act


def lose_after_then(path, **fields):
    """As lose_after, and somebody else edits the object before anybody reads it back."""
    def act(call):
        lose_after(call)
        edit(path, **fields)(call)
        return True
    return act


class Handler(BaseHTTPRequestHandler):
    """Serves the part of the object API that gspanctl uses."""

    platform = None

    def log_message(self, *_):
        pass

    def drop(self):
        self.close_connection = True
        self.connection.shutdown(2)

    def reply(self, status, value, revision=0):
        body = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.send_header("X-Revision", str(revision))
        self.end_headers()
        self.wfile.write(body)

    def parts(self):
        url = urllib.parse.urlsplit(self.path)
        return url.path, dict(urllib.parse.parse_qsl(url.query))

    def describe(self, path):
        version, value = self.platform.objects[path]
        kind, name = path.split("/")
        return {"kind": kind, "name": name, "version": version, "value": value}

    def do_GET(self):
        path, query = self.parts()
        script = self.platform.watches if path == "/v1/watch" else self.platform.reads
        act = script.pop(0) if script else None
        if act is not None and act(self):
            return
        kinds = query.get("kinds", "").split(",")
        listed = [p for p in self.platform.objects if p.split("/")[0] in kinds]
        if path.startswith("/v1/objects/"):
            version, value = self.platform.objects.get(path[len("/v1/objects/"):], (0, None))
            self.reply(404 if value is None else 200, value, version)
        elif path == "/v1/watch":
            since = int(query["since"])
            changed = [self.describe(p) for p in listed if self.platform.objects[p][0] > since]
            self.reply(200, {"objects": changed}, self.platform.revision)
        else:
            there = [self.describe(p) for p in listed if self.platform.objects[p][1] is not None]
            self.reply(200, {"objects": there}, self.platform.revision)

    def do_write(self, answer=True):
        url, query = self.parts()
        path = url[len("/v1/objects/"):]
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        version, value = self.platform.objects.get(path, (0, None))
        if int(query["expect"]) != (version if value is not None else 0):
            self.reply(409, {"version": version}, version)
            return
        self.platform.put(path, json.loads(body) if self.command == "PUT" else None)
        if answer:
            self.reply(200, {}, self.platform.revision)

    def do_PUT(self):
        act = self.platform.writes.pop(0) if self.platform.writes else None
        if act is None or not act(self):
            self.do_write()

    do_DELETE = do_PUT


def note(text):
    print("#", text, flush=True)
    sys.stdout.flush()
