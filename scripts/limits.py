"""
Counts from the nodes' log lines, on standard input, what each upstream with a limit got: the most requests in any 4 s
from 3 s after it first named its limit, against what it allows (1.5 times the limit, and 5 more), over all nodes.
"""

import re
import sys
from collections import defaultdict

WINDOW_S = 4.0
STABLE_S = 3.0
SENDS = {"call-attempt", "run-started", "reward-call-started", "order-sent", "report-asked"}
PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


def read(lines):
    """Times of sends and of limits named, by upstream. The time is the line's own, or the bench's in front."""
    sends = defaultdict(list)
    named = defaultdict(list)  # (time, requests a second; 0 is none)
    for line in lines:
        pairs = dict(PAIR.findall(line))
        event = pairs.get("event")
        if event not in SENDS and event not in ("upstream-limited", "upstream-unlimited"):
            continue
        clock = pairs["time"].split("T")[1].rstrip("Z").split(":")
        at = int(clock[0]) * 3600 + int(clock[1]) * 60 + float(clock[2])
        upstream = pairs["upstream"]
        if event in SENDS:
            sends[upstream].append(at)
        else:
            named[upstream].append((at, int(pairs["limit_mrps"]) / 1000))
    return sends, named


def worst(times, named):
    """Most requests in a window beyond what it allowed: (count, allowed)."""
    first = min(at for at, limit in named if limit > 0)
    last = max(at for at, _ in named)
    limit = max(limit for _, limit in named)
    allowed = 1.5 * limit * WINDOW_S + 5
    times = sorted(times)
    most = 0
    for index, start in enumerate(times):
        if start < first + STABLE_S or start + WINDOW_S > last:
            continue
        most = max(most, sum(1 for at in times[index:] if at < start + WINDOW_S))
    return most, allowed


def main():
    sends, named = read(sys.stdin)
    over = 0
    limited = 0
    for upstream, limits in sorted(named.items()):
        if not any(limit > 0 for _, limit in limits):
            continue
        most, allowed = worst(sends[upstream], limits)
        limited += 1
        over += most > allowed
        print(f"{upstream}: {most} in {WINDOW_S:.0f} s, {allowed:.0f} allowed{' BROKEN' if most > allowed else ''}")
    print(f"{over} of {limited} limited upstreams got more than allowed")
    return 1 if over else 0


if __name__ == "__main__":
    sys.exit(main())
