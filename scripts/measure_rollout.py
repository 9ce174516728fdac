"""Idle time, staleness, wasted tokens and fail-over of one trainer, against two baselines that share the code."""

import argparse
import os
import statistics
import sys
import time

import audit
from fleet import FIRMS, Fleet

FIRM = FIRMS[0]
BOUND = 2
SLOW_TOKENS_PER_S = 130
CRASH_AT_S = 15
WARM_UP_BATCHES = 2
FIELDS = ("batches", "step_s", "idle_pct", "idle_max_s", "stale_mean", "stale_p99", "stale_max",
          "wasted_pct", "broken")

CASES = {
    "synchronous": {"ahead_batches": 0, "idle_weight": 50, "staleness_weight": 50},
    "fixed-ahead": {"ahead_batches": 2, "fixed_ahead": True, "idle_weight": 50,
                    "staleness_weight": 50},
    "ours-idle": {"idle_weight": 70, "staleness_weight": 30},
    "ours-stale": {"idle_weight": 30, "staleness_weight": 70},
    "failover": {"idle_weight": 70, "staleness_weight": 30},
}


def write_attachment(fleet, values):
    fields = {"schema": 2, "firm": FIRM.name, "pool": FIRM.engines[0], "scorer": FIRM.scorer,
              "prompt": "transcribe part", "batch_groups": 16, "group_samples": 4,
              "staleness_bound": BOUND, "max_tokens": 256, **values}
    path = fleet.path("attachment.toml")
    with open(path, "w", encoding="utf-8") as file:
        file.write(f"[attachment.{FIRM.trainer}]\n")
        for key, value in fields.items():
            text = str(value).lower() if isinstance(value, bool) else value
            file.write(f"{key} = {text!r}\n".replace("'", '"') if isinstance(value, str)
                       else f"{key} = {text}\n")
    fleet.ctl("apply", path)


def crash_engine(fleet):
    process = fleet.processes[f"{FIRM.engines[0]}-2"]
    process.kill()
    time.sleep(2)
    process.start()


def kill_owner(fleet):
    """Kills the process that placed samples last, by its log."""
    logs = {name: os.path.getsize(fleet.path(name + ".log")) for name in fleet.processes
            if name.endswith("-rollout")}
    fleet.processes[max(logs, key=logs.get)].kill()


def run_case(name, seconds, seed):
    fleet = Fleet(nodes=3, seed=seed, train_ms=3000)
    try:
        fleet.start((FIRM,))
        slow = fleet.processes[f"{FIRM.engines[0]}-1"]
        slow.kill()
        slow.command += ["--tokens-per-s", str(SLOW_TOKENS_PER_S)]
        slow.start()
        write_attachment(fleet, CASES[name])
        fleet.add_trainer(FIRM)
        time.sleep(CRASH_AT_S)
        if name == "failover":
            kill_owner(fleet)
        else:
            crash_engine(fleet)
        time.sleep(max(0, seconds - CRASH_AT_S))
    finally:
        fleet.stop()
    return summarise(fleet.folder)


def engine_tokens(folder):
    """Tokens of every run, and those of cancelled runs; what a crash took isn't booked."""
    tokens = {}
    cancelled = 0
    for name in os.listdir(folder):
        if not name.endswith(".book"):
            continue
        for line in audit.read_book(os.path.join(folder, name)):
            if "segments" in line:
                tokens[line["run"]] = sum(s["tokens"] for s in line["segments"])
            elif "cancelled" in line:
                cancelled += line["tokens"]
    return tokens, cancelled


def summarise(folder):
    book = audit.read_book(os.path.join(folder, FIRM.trainer + ".book"))
    batches = [line for line in book if "batch" in line]
    steady = batches[WARM_UP_BATCHES:]
    idle = [line["idle_us"] / 1e6 for line in steady]
    busy = sum(line["train_ms"] / 1e3 for line in steady)
    ages = sorted(max(0, line["weight"] - min(s["version"] for s in sample["segments"]))
                  for line in steady for sample in line["samples"])
    tokens, cancelled = engine_tokens(folder)
    used = sum(tokens.get(audit.run_of(sample["text"]), 0)
               for line in batches for sample in line["samples"])
    # What is still on its way when the trainer stops is no waste: the last step's worth is left out.
    in_flight = used / max(1, len(batches))
    made = sum(tokens.values()) + cancelled
    counts = audit.audit(folder, {FIRM.trainer: BOUND})
    return {
        "batches": len(batches),
        "step_s": round((sum(idle) + busy) / max(1, len(steady)), 2),
        "idle_pct": round(100 * sum(idle) / max(1e-9, sum(idle) + busy), 1),
        "idle_max_s": round(max(idle, default=0), 2),
        "stale_mean": round(statistics.fmean(ages), 3) if ages else -1,
        "stale_p99": ages[int(len(ages) * 0.99)] if ages else -1,
        "stale_max": ages[-1] if ages else -1,
        "wasted_pct": round(max(0.0, 100 * (made - used - in_flight) / max(1, made)), 1),
        "broken": "+".join(audit.broken(counts)) or "none",
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__, prog="measure rollout")
    parser.add_argument("--seconds", type=int, default=45)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default=",".join(CASES), help="of " + ",".join(CASES))
    arguments = parser.parse_args()
    print(f"{'case':<13}" + "".join(f"{field:>12}" for field in FIELDS), flush=True)
    broken = False
    for name in arguments.only.split(","):
        result = run_case(name, arguments.seconds, arguments.seed)
        broken |= result["broken"] != "none"
        print(f"{name:<13}" + "".join(f"{result[field]:>12}" for field in FIELDS), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
