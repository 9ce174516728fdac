"""What control costs: time until a record is in force everywhere, platform calls, bytes, processor, memory."""

import argparse
import os
import re
import sys
import time

from fleet import DAEMONS, FIRMS, Fleet, get

IN_FORCE = re.compile(r"record-in-force kind=route name=probe version=(\d+) at_us=(\d+)")
METRIC = re.compile(r"^(gspan_\w+) (\d+)$", re.M)
HEADER = 28  # bytes of IP and UDP on each datagram
CLOCK = os.sysconf("SC_CLK_TCK")


def boot_us():
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1e6)


def write_record(fleet, path, number):
    """One write of the record; the time just before it."""
    with open(path, "w", encoding="utf-8") as file:
        file.write('[route.probe]\nschema = 2\nfirm = "prepis"\nservice = "objednavky"\n'
                   f"timeout_us = {1000000 + number}\n")
    before = boot_us()
    written = fleet.ctl("apply", path)
    return int(re.search(r"version (\d+)", written).group(1)), before


def daemons(fleet):
    return [p for name, p in fleet.processes.items() if name.rsplit("-", 1)[-1] in DAEMONS]


def arrivals(fleet):
    """Version to the times at which it came into force, one for each process."""
    times = {}
    for process in daemons(fleet):
        with open(process.log, encoding="utf-8") as file:
            for version, at_us in IN_FORCE.findall(file.read()):
                times.setdefault(int(version), []).append(int(at_us))
    return times


def usage(process):
    """Processor seconds and resident bytes."""
    with open(f"/proc/{process.popen.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK, int(fields[21]) * os.sysconf("SC_PAGE_SIZE")


def cost(fleet):
    busy = {}
    resident = 0
    for process in daemons(fleet):
        seconds, size = usage(process)
        kind = process.name.rsplit("-", 1)[-1]
        busy[kind] = busy.get(kind, 0) + seconds
        resident += size
    return busy, resident


def metrics(fleet):
    """Sums over all processes: platform calls of each kind of daemon, and bytes of datagrams."""
    sums = {"gossip": 0, "writes": 0, **{kind: 0 for kind in DAEMONS}}
    for process in daemons(fleet):
        with open(fleet.path(process.name + ".toml"), encoding="utf-8") as file:
            address = re.search(r'http = "(\S+)"', file.read()).group(1)
        values = {k: int(v) for k, v in METRIC.findall(get(address, "/-/metrics").decode())}
        sums["gossip"] += values["gspan_gossip_sent_bytes_total"]
        sums["gossip"] += HEADER * values["gspan_gossip_sent_total"]
        sums["writes"] += values["gspan_platform_writes_total"]
        sums[process.name.rsplit("-", 1)[-1]] += values["gspan_platform_reads_total"]
    return sums


def measure_idle(fleet, seconds):
    nodes = sum(len(addresses) for addresses in fleet.entries.values())
    sums = metrics(fleet)
    busy, _ = cost(fleet)
    start = time.monotonic()
    time.sleep(seconds)
    passed = time.monotonic() - start
    busy_after, resident = cost(fleet)
    sums_after = metrics(fleet)
    rate = {key: (sums_after[key] - sums[key]) / passed for key in sums}
    cpu = {kind: (busy_after[kind] - busy[kind]) / passed / nodes * 100 for kind in busy}
    return {**{f"reads_per_s_{kind}": rate[kind] for kind in DAEMONS},
            "writes_per_s": rate["writes"],
            "gossip_bytes_per_s_node": rate["gossip"] / nodes,
            **{f"cpu_pct_node_{kind}": value for kind, value in cpu.items()},
            "cpu_pct_node": sum(cpu.values()),
            "memory_mb_node": resident / nodes / 1e6}


def measure_spread(fleet, writes):
    """Milliseconds from the start of a write to in force on the last process."""
    path = fleet.path("probe.toml")
    sent = dict(write_record(fleet, path, number) for number in pause(writes))
    time.sleep(3)
    times = arrivals(fleet)
    expected = len(daemons(fleet))
    last = sorted((max(times.get(version, [0])) - before) / 1000
                  for version, before in sent.items()
                  if len(times.get(version, [])) == expected)
    return {"writes": len(sent), "reached_all": len(last),
            "in_force_ms_median": last[len(last) // 2] if last else float("nan"),
            "in_force_ms_max": last[-1] if last else float("nan")}


def pause(count):
    for number in range(count):
        yield number
        time.sleep(0.3)


def main():
    parser = argparse.ArgumentParser(description=__doc__, prog="measure control")
    parser.add_argument("--nodes", default="6", help="VMs in all, several sizes separated by commas")
    parser.add_argument("--seconds", type=int, default=20, help="idle time that is measured")
    parser.add_argument("--settle", type=int, default=8, help="seconds after the start")
    parser.add_argument("--writes", type=int, default=20, help="records written")
    arguments = parser.parse_args()
    for size in (int(text) for text in arguments.nodes.split(",")):
        fleet = Fleet(nodes=size // 2)
        try:
            fleet.start(FIRMS)
            time.sleep(arguments.settle)
            row = {"nodes": size // 2 * 2, **measure_idle(fleet, arguments.seconds),
                   **measure_spread(fleet, arguments.writes)}
        finally:
            fleet.stop()
        print("control: " + " ".join(f"{k}={v:.2f}" if isinstance(v, float) else f"{k}={v}"
                                     for k, v in row.items()), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
