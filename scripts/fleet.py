"""Starts and stops the processes of a fleet on loopback, for the demo and the measurements."""

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("GSPAN_BUILD", os.path.join(ROOT, "build"))
DAEMONS = ("entry", "rollout", "control")


class Firm:
    """Sizes and names of one firm's part of the fleet."""

    def __init__(self, name, net, zones, model, engines, orders, services, scorer, trainer):
        self.name = name
        self.net = net
        self.zones = zones
        self.model = model
        self.engines = engines
        self.orders = orders
        self.services = services
        self.scorer = scorer
        self.trainer = trainer


FIRMS = (
    Firm("prepis", "127.0.1", ("bratislava", "trnava", "nitra"), "notovy", ("notovy-model", 10),
         "objednavky", 3, "notovy-scorer", "notovy-trainer"),
    Firm("taxtasmidjan", "127.0.2", ("hafnarfjordur", "keflavik", "selfoss", "reykjavik"), "leikur",
         ("leikur-llm", 10), "taxtabord", 4, "leikur-scorer", "leikur-trainer"),
)


# Below those that the system gives to outgoing connections, which could take a port before its process listens there.
PORTS = range(12000, 32000)
PORTS_GIVEN = set()  # (ip, kind, port): a free port may be drawn twice before anybody listens there


def free_port(ip, kind=socket.SOCK_STREAM):
    while True:
        with socket.socket(socket.AF_INET, kind) as probe:
            port = random.SystemRandom().choice(PORTS)
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        given = (ip, kind, port)
        if given not in PORTS_GIVEN:
            PORTS_GIVEN.add(given)
            return given[2]


def free_udp_port(ip):
    return free_port(ip, socket.SOCK_DGRAM)


def post(address, path, value):
    request = urllib.request.Request(f"http://{address}{path}", json.dumps(value).encode(),
                                     {"Content-Type": "application/json"})
    with urllib.request.urlopen(request, timeout=5) as answer:
        return answer.read()


class Process:
    """One process that can be killed and started again at the same address."""

    def __init__(self, name, command, log):
        self.name = name
        self.command = command
        self.log = log
        self.popen = None

    def start(self):
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(self.command, stdin=subprocess.DEVNULL, stdout=log,
                                          stderr=log,
                                          env={**os.environ, "ASAN_OPTIONS": "detect_leaks=0"})

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, timeout=10):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()


class Fleet:
    """Both firms' processes around one stand-in platform. Books and logs go to one folder."""

    def __init__(self, nodes=6, seed=1, folder=None, train_ms=1500, policy="affinity",
                 wires=False):
        self.folder = folder or tempfile.mkdtemp(prefix="gspan-")
        self.nodes = nodes
        self.seed = seed
        self.train_ms = train_ms
        self.policy = policy
        self.wires = wires
        self.pairs = []
        self.processes = {}
        self.vms = []
        self.entries = {}
        self.seeds = []
        self.platform = f"127.0.0.1:{free_port('127.0.0.1')}"

    def path(self, name):
        return os.path.join(self.folder, name)

    def add(self, name, program, *arguments):
        command = [os.path.join(BUILD, program), *arguments]
        process = Process(name, command, self.path(name + ".log"))
        self.processes[name] = process
        process.start()
        return process

    def add_standin(self, name, role, *arguments):
        return self.add(name, "gspan-standin", "--role", role, "--name", name, "--book",
                        self.path(name + ".book"), "--seed", str(self.seed + len(self.processes)),
                        *arguments)

    def add_upstream(self, name, role, service, ip, zone, *arguments):
        address = f"{ip}:{free_port(ip)}"
        listed = address
        if self.wires:
            listed = f"{ip}:{free_port(ip)}"
            self.pairs.append(f"{listed}={address}")
        self.vms.append({"name": name, "service": service, "zone": zone, "address": listed,
                         "state": "live"})
        return self.add_standin(name, role, "--listen", address, *arguments)

    def settings(self, name, vm, firm, zone, http, rpc, member):
        text = (f'[node]\nname = "{vm}"\nfirm = "{firm}"\nzone = "{zone}"\n'
                f'[listen]\nhttp = "{http}"\nrpc = "{rpc}"\n{member}'
                f'[platform]\naddress = "{self.platform}"\n[route]\npolicy = "{self.policy}"\n'
                f'[lease]\nduration_ms = 3000\n')
        path = self.path(name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def add_node(self, firm, index):
        """The entry process is the VM's member; the other two follow it."""
        ip = f"{firm.net}.{index + 1}"
        zone = firm.zones[index % len(firm.zones)]
        udp = f"{ip}:{free_udp_port(ip)}"
        vm = f"{firm.name}-{index + 1}"
        member = f'udp = "{udp}"\n'
        if self.seeds:
            member += f'[member]\nseeds = "{",".join(self.seeds[:3])}"\n'
        for daemon in DAEMONS:
            name = f"{vm}-{daemon}"
            http = f"{ip}:{free_port(ip)}"
            rpc = f"{ip}:{free_port(ip)}"
            config = self.settings(name, vm, firm.name, zone, http, rpc, member)
            self.add(name, f"gspan-{daemon}", "--config", config)
            if daemon == "entry":
                self.entries.setdefault(firm.name, []).append(http)
                self.vms.append({"name": vm, "service": "gspan", "zone": zone, "address": udp,
                                 "rpc": rpc, "state": "live"})
                member = f'[member]\nrelay = "{rpc}"\n'
        self.seeds.append(udp)

    def start(self, firms=FIRMS):
        self.add_standin("platform", "platform", "--listen", self.platform)
        wait_for(lambda: post(self.platform, "/admin/vms", {"vms": []}))
        for firm in firms:
            service, count = firm.engines
            for i in range(count):
                self.add_upstream(f"{service}-{i + 1}", "engine", service, f"{firm.net}.{100 + i}",
                                  firm.zones[i % len(firm.zones)],
                                  *(["--ignores-fence"] if firm.name != "prepis" else []))
            for i in range(firm.services):
                self.add_upstream(f"{firm.orders}-{i + 1}", "service", firm.orders,
                                  f"{firm.net}.{150 + i}", firm.zones[i % len(firm.zones)])
            for i in range(2):
                self.add_upstream(f"{firm.scorer}-{i + 1}", "service", firm.scorer,
                                  f"{firm.net}.{170 + i}", firm.zones[i % len(firm.zones)])
        if self.wires:
            self.add_standin("wire", "wire", "--pairs", ",".join(self.pairs))
        post(self.platform, "/admin/vms", {"vms": self.vms})
        for firm in firms:
            self.ctl("apply", os.path.join(ROOT, "etc", firm.name + ".records.toml"))
            for i in range(self.nodes):
                self.add_node(firm, i)
        post(self.platform, "/admin/vms", {"vms": self.vms})
        for addresses in self.entries.values():
            for address in addresses:
                wait_for(lambda address=address: get(address, "/-/readyz"))

    def ctl(self, *words):
        return subprocess.run([os.path.join(BUILD, "gspanctl"), "--platform", self.platform, *words],
                              check=True, stdout=subprocess.PIPE, text=True).stdout

    def add_trainer(self, firm):
        return self.add_standin(firm.trainer, "trainer", "--platform", self.platform, "--entries",
                                ",".join(self.entries[firm.name]), "--attachment", firm.trainer,
                                "--model", firm.model, "--train-ms", str(self.train_ms))

    def add_callers(self, firm, seconds, rate):
        name = f"{firm.name}-callers"
        return self.add(name, "gspan-load", "--entries", ",".join(self.entries[firm.name]),
                        "--completions", firm.model, "--orders", firm.orders, "--seconds",
                        str(seconds), "--rate", str(rate), "--name", firm.name, "--seed",
                        str(self.seed), "--book", self.path(name + ".book"))

    def stop(self):
        """Trainers first, then the daemons, then what they lean on."""
        order = sorted(self.processes.values(), key=lambda p: stop_rank(p.name))
        for process in order:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
            if stop_rank(process.name) == 0:
                process.stop()
        for process in order:
            process.stop()


def stop_rank(name):
    if name.endswith("trainer") or name.endswith("callers"):
        return 0
    return 1 if name.rsplit("-", 1)[-1] in DAEMONS else 2


def get(address, path):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=2) as answer:
        return answer.read()


def wait_for(call, seconds=20):
    """Calls until it raises nothing; the last exception goes on after SECONDS."""
    end = time.monotonic() + seconds
    while True:
        try:
            return call()
        except OSError:
            if time.monotonic() > end:
                raise
            time.sleep(0.05)
