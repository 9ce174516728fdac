"""What a forwarded request and a streamed token cost an entry in processor time, and its memory."""

import argparse
import os
import time

import audit
from fleet import FIRMS, Fleet

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    with open(f"/proc/{process.popen.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(process):
    with open(f"/proc/{process.popen.pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS")) / 1024


def run(fleet, firm, entry, name, seconds, rate, streams, orders, tokens):
    """One load through the single entry; returns its lines and the entry's processor seconds."""
    book = fleet.path(name + ".book")
    before = cpu_seconds(entry)
    load = fleet.add(name, "gspan-load", "--entries", fleet.entries[firm.name][0], "--completions",
                     firm.model, "--orders", firm.orders, "--seconds", str(seconds), "--rate",
                     str(rate), "--name", name, "--stream-percent", str(streams),
                     "--orders-percent", str(orders), "--max-tokens", str(tokens), "--book", book)
    load.popen.wait()
    return audit.read_book(book), cpu_seconds(entry) - before


def main():
    parser = argparse.ArgumentParser(description=__doc__, prog="measure cost")
    parser.add_argument("--seconds", type=int, default=10)
    parser.add_argument("--rate", type=int, default=100)
    arguments = parser.parse_args()
    firm = FIRMS[0]
    fleet = Fleet(nodes=1)
    try:
        fleet.start(firms=(firm,))
        entry = fleet.processes[f"{firm.name}-1-entry"]
        idle = cpu_seconds(entry)
        time.sleep(5)
        idle = (cpu_seconds(entry) - idle) / 5
        print(f"cost: idle cpu_pct={100 * idle:.2f}")
        for name, streams, orders, tokens in (("orders", 0, 100, 8), ("completions", 0, 0, 8),
                                              ("streams", 100, 0, 128)):
            started = time.monotonic()
            lines, cpu = run(fleet, firm, entry, name, arguments.seconds, arguments.rate, streams,
                             orders, tokens)
            cpu -= idle * (time.monotonic() - started)
            complete = sum(line["outcome"] == "complete" for line in lines)
            print(f"cost: {name} requests={len(lines)} complete={complete} "
                  f"cpu_us_per_request={1e6 * cpu / max(1, len(lines)):.0f} "
                  f"memory_mb={memory_mb(entry):.1f}")
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
