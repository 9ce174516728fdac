"""How long until another process holds the leases of one that is killed, paused or drained."""

import argparse
import json
import signal
import time

import audit
from fleet import FIRMS, Fleet, get

FAULTS = ("kill", "pause", "drain")
BOUNDS = {"notovy-trainer": 2}


def lease(fleet, name):
    return json.loads(get(fleet.platform, f"/v1/objects/lease/{name}"))


def wait_for_holder(fleet, name, other_than, seconds=30):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            now = lease(fleet, name)
            if now["holder"] and now["node"] != other_than:
                return now
        except OSError:
            pass
        time.sleep(0.01)
    raise TimeoutError(f"nobody took {name}")


def strike(process, fault):
    if fault == "kill":
        process.kill()
    elif fault == "pause":
        process.signal(signal.SIGSTOP)
    else:
        process.signal(signal.SIGTERM)


def recover(process, fault):
    if fault == "pause":
        process.signal(signal.SIGCONT)
        return
    if fault == "drain":
        process.popen.wait()
    process.start()


def trial(fleet, name, fault):
    """Seconds until another process holds the lease."""
    before = wait_for_holder(fleet, name, "")
    process = fleet.processes[before["node"]]
    start = time.monotonic()
    strike(process, fault)
    after = wait_for_holder(fleet, name, before["node"])
    taken = time.monotonic() - start
    if after["fence"] <= before["fence"]:
        raise ValueError("the fence did not rise")
    time.sleep(1)
    recover(process, fault)
    time.sleep(2)
    return taken


def idle_share(fleet):
    counts = audit.audit(fleet.folder, BOUNDS)
    return counts["trainer_idle_pct"], audit.broken(counts)


def measure(fault, arguments):
    fleet = Fleet(nodes=arguments.nodes, seed=arguments.seed)
    try:
        fleet.start(FIRMS[:1])
        fleet.add_trainer(FIRMS[0])
        time.sleep(8)
        times = {name: [trial(fleet, name, fault) for _ in range(arguments.trials)]
                 for name in ("pool.notovy-model", "attachment.notovy-trainer")}
    finally:
        fleet.stop()
    idle, broken = idle_share(fleet)
    for name, values in times.items():
        print(f"{fault:<6} {name:<26} {min(values):>6.2f} {sum(values) / len(values):>6.2f} "
              f"{max(values):>6.2f} {idle:>7.1f}  {' '.join(broken) or '-'}", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__, prog="measure failover")
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--trials", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", default="none," + ",".join(FAULTS))
    arguments = parser.parse_args()
    print("fault  lease                       min_s mean_s  max_s  idle_%  broken")
    for fault in arguments.faults.split(","):
        if fault == "none":
            baseline(arguments)
        else:
            measure(fault, arguments)


def baseline(arguments):
    fleet = Fleet(nodes=arguments.nodes, seed=arguments.seed)
    try:
        fleet.start(FIRMS[:1])
        fleet.add_trainer(FIRMS[0])
        time.sleep(30)
    finally:
        fleet.stop()
    idle, broken = idle_share(fleet)
    print(f"none   -                               -      -      - {idle:>7.1f}  "
          f"{' '.join(broken) or '-'}", flush=True)


if __name__ == "__main__":
    main()
