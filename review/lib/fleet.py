"""Processes of gspan-node, started with the command and the settings template of the deploy file."""

import os
import re
import signal
import socket
import subprocess
import time

from http11 import call

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def deploy_value(role, key):
    """A text value of ROLE in deploy/system.toml."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        section = file.read().split(f"[roles.{role}]")[1].split("\n[")[0]
    return re.search(rf'^{key} = "(.*)"$', section, re.M).group(1)


def lookup(values, path):
    for part in path.split("."):
        values = values[int(part)] if isinstance(values, list) else values.get(part)
        if values is None:
            return None
    return values


def fill(template, values):
    """What the platform makes of a template, for the placeholders and sections that node.toml has."""
    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                      lambda match: match.group(2) if lookup(values, match.group(1)) else "", template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(values, match.group(1))), template)


def free_ports(host, count):
    sockets = []
    for _ in range(count):
        for kind in (socket.SOCK_STREAM,):
            sock = socket.socket(socket.AF_INET, kind)
            sock.bind((host, 0))
            sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Node:
    """One edge machine. Its name and loopback address are its own."""

    def __init__(self, folder, name, ip, store_port, record):
        self.name, self.ip, self.record = name, ip, record
        self.front, self.ready, peers, metrics = free_ports(ip, 4)
        values = {"nodeName": name, "zone": "bratislava", "ip": ip, "portRange": [peers, metrics],
                  "listen": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}"},
                  "platform": {"address": f"127.0.0.1:{store_port}", "valueBytes": 1048576}, "heartbeatMs": 1200,
                  "bounds": {"leaseMs": 3000, "statusS": 120, "graceS": 8, "drainMs": 2000}}
        with open(os.path.join(ROOT, deploy_value("entry", "template")), encoding="utf-8") as file:
            settings = fill(file.read(), values)
        self.file = os.path.join(folder, name + ".toml")
        self.log = os.path.join(folder, name + ".log")
        with open(self.file, "w", encoding="utf-8") as file:
            file.write(settings)
        self.process = None

    def start(self):
        words = deploy_value("entry", "run").replace("/etc/gentianspan/boot.toml", self.file).split()
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([os.path.join(ROOT, words[0])] + words[1:], cwd=ROOT, stdout=log, stderr=log,
                                            env={**kept, "GENTIANSPAN_NODE_FILE": self.file})
        self.record(f"platform: starts {self.name}")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.record(f"platform: sends {signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def has_ended(self):
        return self.process is None or self.process.poll() is not None

    async def is_ready(self):
        answer = await call(self.ip, self.ready, "GET", "/api/ready", {"Host": "x"}, timeout_s=0.5)
        return answer is not None and answer[0] == 200


class Record:
    """record.txt of a case: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", buffering=1)  # pylint: disable=consider-using-with
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
