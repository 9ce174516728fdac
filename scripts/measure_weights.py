"""How long new weights take to reach all replicas of a pool, and what that costs the pool's owner."""

import argparse
import json
import os
import time

from fleet import Fleet, free_port, get, post, wait_for

SERVICE = "measured"
MODEL = "measured"
PER_PROCESS = 105
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(process):
    with open(f"/proc/{process.popen.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(process):
    with open(f"/proc/{process.popen.pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def metrics(address):
    lines = get(address, "/-/metrics").decode().splitlines()
    pairs = (line.split() for line in lines if line and not line.startswith("#"))
    return {key: float(value) for key, value in (pair[:2] for pair in pairs)}


def add_engines(fleet, count, arguments):
    """COUNT replicas in few processes, each at an address of its own."""
    for first in range(0, count, PER_PROCESS):
        addresses = []
        for i in range(first, min(first + PER_PROCESS, count)):
            ip = f"127.1.{i // 200}.{i % 200 + 1}"
            addresses.append(f"{ip}:{free_port(ip)}")
            fleet.vms.append({"name": f"e{i}", "service": SERVICE, "zone": "bratislava",
                              "address": addresses[-1], "state": "live"})
        fleet.add_standin(f"engines-{first}", "engine", "--listen", ",".join(addresses),
                          "--swap-ms", str(arguments.swap_ms), "--swap-fail",
                          str(arguments.swap_fail))


def add_control(fleet, index):
    ip = f"127.0.3.{index + 1}"
    http = f"{ip}:{free_port(ip)}"
    config = fleet.settings(f"vm-{index + 1}", f"vm-{index + 1}", "prepis", "bratislava", http,
                            f"{ip}:{free_port(ip)}", "")
    return http, fleet.add(f"vm-{index + 1}", "gspan-control", "--config", config)


def status(fleet):
    return json.loads(get(fleet.platform, f"/v1/objects/status/pool.{SERVICE}"))


def replicas_at(fleet, version):
    """Replicas that say themselves that they are at VERSION."""
    return sum(json.loads(get(vm["address"], "/v1/state"))["weight"] == version
               for vm in fleet.vms)


def owner_of(fleet, controls):
    return next(c for c in controls if c[1].name == status(fleet)["owner"])


def wait_until(call, seconds, pause=0.05):
    end = time.monotonic() + seconds
    while not call():
        if time.monotonic() > end:
            raise TimeoutError("not reached in time")
        time.sleep(pause)


def roll_out(fleet, version, seconds):
    """Seconds from publishing VERSION until the status, then until the replicas themselves say all."""
    post(fleet.platform, f"/v1/weights/{MODEL}", {"version": version})
    start = time.monotonic()
    wait_until(lambda: status(fleet)["target"] == version
               and status(fleet)["at_target"] == len(fleet.vms), seconds)
    taken = time.monotonic() - start
    if replicas_at(fleet, version) != len(fleet.vms):
        raise ValueError("the status says more than the replicas do")
    return taken


def measure(count, arguments):
    fleet = Fleet(nodes=0)
    max_out = arguments.max_out or max(1, count // 9)
    try:
        fleet.add_standin("platform", "platform", "--listen", fleet.platform)
        wait_for(lambda: post(fleet.platform, "/admin/vms", {"vms": []}))
        add_engines(fleet, count, arguments)
        for vm in fleet.vms:
            wait_for(lambda vm=vm: get(vm["address"], "/v1/state"))
        post(fleet.platform, "/admin/vms", {"vms": fleet.vms})
        records = fleet.path("records.toml")
        with open(records, "w", encoding="utf-8") as file:
            file.write(f'[pool.{SERVICE}]\nschema = 2\nfirm = "prepis"\nservice = "{SERVICE}"\n'
                       f'model = "{MODEL}"\nmax_out = {max_out}\n'
                       f'[upstream.{SERVICE}]\nschema = 2\nfirm = "prepis"\nchecks_fence = true\n')
        fleet.ctl("apply", records)
        controls = [add_control(fleet, i) for i in range(3)]
        post(fleet.platform, f"/v1/weights/{MODEL}", {"version": 1})

        def settled():
            try:
                return status(fleet)["at_target"] == count
            except OSError:
                return False
        wait_until(settled, 60)
        http, process = owner_of(fleet, controls)
        idle_cpu, idle_reads = cpu_s(process), metrics(http)
        time.sleep(arguments.idle_s)
        idle_cpu = (cpu_s(process) - idle_cpu) / arguments.idle_s * 100
        platform = sum(metrics(http)[key] - idle_reads[key]
                       for key in ("gspan_platform_reads_total", "gspan_platform_writes_total"))
        before, orders = cpu_s(process), metrics(http)["gspan_orders_total"]
        times = [roll_out(fleet, version, 120) for version in range(2, 2 + arguments.rounds)]
        busy = cpu_s(process) - before
        ordered = metrics(http)["gspan_orders_total"] - orders
        print(f"{count:>8} {max_out:>7} {min(times):>8.1f} {max(times):>8.1f} "
              f"{ordered / count / arguments.rounds:>13.2f} "
              f"{1000 * busy / count / arguments.rounds:>14.2f} {idle_cpu:>10.2f} "
              f"{platform / arguments.idle_s:>12.1f} {memory_mb(process):>8.1f}", flush=True)
    finally:
        fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__, prog="measure weights")
    parser.add_argument("--replicas", default="10,100,840")
    parser.add_argument("--max-out", type=int, default=0, help="0 is a ninth of the replicas")
    parser.add_argument("--swap-ms", type=int, default=2000)
    parser.add_argument("--swap-fail", type=int, default=0)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--idle-s", type=int, default=5)
    arguments = parser.parse_args()
    print("replicas max_out  min_s    max_s  orders/replica cpu_ms/replica idle_cpu_% "
          "platform/s   rss_MB")
    for count in arguments.replicas.split(","):
        measure(int(count), arguments)


if __name__ == "__main__":
    main()
