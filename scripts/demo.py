"""The demo: two firms' fleets on loopback, desk callers, trainers, faults, and an audit of the books."""

import argparse
import random
import shutil
import signal
import sys
import threading
import time

import audit
from fleet import FIRMS, Fleet, post

BOUNDS = {"notovy-trainer": 2, "leikur-trainer": 1}
TABLE = ("desk_requests", "desk_complete", "desk_failed", "desk_not_run", "desk_unknown",
         "double_runs", "batches", "samples", "duplicate_samples", "missing_samples",
         "stale_samples", "mislabelled_samples", "trainer_idle_pct", "staleness_mean",
         "staleness_max")


def pick(fleet, rng, suffix):
    return fleet.processes[rng.choice(sorted(n for n in fleet.processes if n.endswith(suffix)))]


def kill_for_a_while(process):
    process.kill()
    time.sleep(2)
    process.start()


def pause_for_a_while(process):
    process.signal(signal.SIGSTOP)
    time.sleep(6)
    process.signal(signal.SIGCONT)


FAULTS = {
    "kill-entry": lambda fleet, rng: kill_for_a_while(pick(fleet, rng, "-entry")),
    "kill-rollout": lambda fleet, rng: kill_for_a_while(pick(fleet, rng, "-rollout")),
    "kill-control": lambda fleet, rng: kill_for_a_while(pick(fleet, rng, "-control")),
    "pause-rollout": lambda fleet, rng: pause_for_a_while(pick(fleet, rng, "-rollout")),
    "pause-control": lambda fleet, rng: pause_for_a_while(pick(fleet, rng, "-control")),
    "platform-outage": lambda fleet, rng: post(fleet.platform, "/admin/outage", {"ms": 5000}),
    "silent-connections": lambda fleet, rng: fleet.processes["wire"].signal(signal.SIGUSR1),
    "lost-answers": lambda fleet, rng: post(fleet.platform, "/admin/lose", {"answers": 10}),
    "engine-crash": lambda fleet, rng: kill_for_a_while(
        fleet.processes[f"{rng.choice(['notovy-model', 'leikur-llm'])}-{rng.randint(1, 10)}"]),
}


def inject(fleet, faults, seconds, rng, say):
    """Each fault twice, at drawn moments."""
    moments = sorted((rng.uniform(0.1, 0.8) * seconds, fault) for fault in faults for _ in range(2))
    start = time.monotonic()
    threads = []
    for moment, fault in moments:
        time.sleep(max(0.0, start + moment - time.monotonic()))
        say(f"{time.monotonic() - start:6.1f} s  {fault}")
        threads.append(threading.Thread(target=FAULTS[fault], args=(fleet, rng)))
        threads[-1].start()
    for thread in threads:
        thread.join()


def report_promises(problems, faults):
    for key in (*audit.BROKEN_PROMISES, "samples", *(() if faults else ("desk_complete",))):
        print(f"{key}: {'broken' if key in problems else 'held'}")


def report(counts):
    for key in TABLE:
        print(f"{key:<24}{counts[key]:>12}")
    print("demo: " + " ".join(f"{key}={counts[key]}" for key in TABLE))


def main():
    parser = argparse.ArgumentParser(description=__doc__, prog="demo")
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=6, help="entry VMs of each firm")
    parser.add_argument("--rate", type=int, default=20, help="desk calls a second of each firm")
    parser.add_argument("--fault", default="", help="of " + ",".join(FAULTS))
    parser.add_argument("--promises", action="store_true",
                        help="print only whether each promise was held")
    parser.add_argument("--keep", action="store_true", help="leave everything up")
    arguments = parser.parse_args()
    faults = [fault for fault in arguments.fault.split(",") if fault]
    unknown = [fault for fault in faults if fault not in FAULTS]
    if unknown:
        parser.error(f"unknown fault {unknown[0]}, known are {', '.join(FAULTS)}")

    def say(text):
        if not arguments.promises:
            print(text, flush=True)

    fleet = Fleet(nodes=arguments.nodes, seed=arguments.seed,
                  wires="silent-connections" in faults)
    try:
        fleet.start()
        say(f"{len(fleet.processes)} processes, books and logs in {fleet.folder}")
        for firm in FIRMS:
            fleet.add_trainer(firm)
            fleet.add_callers(firm, arguments.seconds, arguments.rate)
        inject(fleet, faults, arguments.seconds, random.Random(arguments.seed), say)
        for firm in FIRMS:
            fleet.processes[f"{firm.name}-callers"].popen.wait()
        say(fleet.ctl("status").rstrip("\n"))
        if arguments.keep:
            print(f"platform {fleet.platform}")
            for firm, entries in fleet.entries.items():
                print(f"{firm} entries {' '.join(entries)}")
            input("Enter stops everything.\n")
    finally:
        fleet.stop()
    counts = audit.audit(fleet.folder, BOUNDS)
    problems = audit.broken(counts)
    if not faults and counts["desk_complete"] != counts["desk_requests"]:
        problems.append("desk_complete")
    if counts["samples"] == 0:
        problems.append("samples")
    if arguments.promises:
        report_promises(problems, faults)
    else:
        report(counts)
    if problems and not arguments.promises:
        print("broken: " + " ".join(problems), file=sys.stderr)
    if arguments.promises and not problems:
        shutil.rmtree(fleet.folder)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
