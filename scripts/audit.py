"""Counts from the stand-ins' own books: what engines and services ran, what callers and trainers got."""

import glob
import json
import os


def read_book(path):
    lines = []
    if not os.path.exists(path):
        return lines
    with open(path, encoding="utf-8") as file:
        for line in file:
            if line.endswith("\n"):
                lines.append(json.loads(line))
    return lines


def merge_runs(folder):
    """Run id to segments of every engine, and order id to its number of runs."""
    segments = {}
    orders = {}
    for path in glob.glob(os.path.join(folder, "*.book")):
        for line in read_book(path):
            if "segments" in line:
                segments[line["run"]] = line["segments"]
            elif "order" in line and "run" in line:
                orders[line["order"]] = orders.get(line["order"], 0) + 1
    return segments, orders


def run_of(text):
    return text.split("run=", 1)[1].split(" ", 1)[0]


def audit_trainer(lines, bound, segments, counts):
    """Every sample once, none over the bound, each label what the engine's book says."""
    seen = set()
    idle_us = 0
    train_us = 0
    for line in (line for line in lines if "batch" in line):
        counts["batches"] += 1
        if counts["batches"] > 1 and seen:
            idle_us += line["idle_us"]
            train_us += line["train_ms"] * 1000
        for sample in line["samples"]:
            counts["samples"] += 1
            counts["duplicate_samples"] += sample["id"] in seen
            seen.add(sample["id"])
            age = line["weight"] - min(s["version"] for s in sample["segments"])
            counts["staleness_sum"] += max(age, 0)
            counts["staleness_max"] = max(counts["staleness_max"], age)
            counts["stale_samples"] += age > bound
            counts["mislabelled_samples"] += segments.get(run_of(sample["text"])) != sample["segments"]
    counts["missing_samples"] += count_missing(lines, seen)
    counts["idle_us"] += idle_us
    counts["train_us"] += train_us


def count_missing(lines, seen):
    """Groups that the last cursor has passed and that are in no batch."""
    cursors = [line["cursor"] for line in lines if "cursor" in line]
    if not cursors:
        return 0
    _, _, next_group, deferred = cursors[-1].split(":")
    passed = set(range(int(next_group))) - {int(g) for g in deferred.split(",") if g}
    return len(passed - {int(name.split("/")[1]) for name in seen})


def audit_callers(lines, orders, counts):
    keys = {"complete": "desk_complete", "failed": "desk_failed", "not-run": "desk_not_run"}
    for line in lines:
        counts["desk_requests"] += 1
        counts[keys.get(line["outcome"], "desk_unknown")] += 1
        if line["outcome"] == "complete" and not line["whole"]:
            counts["desk_not_whole"] += 1
        if line["outcome"] == "not-run" and orders.get(line["id"], 0) > 0:
            counts["false_not_run"] += 1


def count_process_faults(folder):
    """Processes whose log shows a memory error, undefined behaviour or a failed assertion."""
    signs = ("ERROR: AddressSanitizer", "runtime error:", "assertion failed", "-CRITICAL **")
    count = 0
    for path in glob.glob(os.path.join(folder, "*.log")):
        with open(path, encoding="utf-8", errors="replace") as file:
            text = file.read()
        count += any(sign in text for sign in signs)
    return count


KEYS = ("desk_requests", "desk_complete", "desk_failed", "desk_not_run", "desk_unknown",
        "desk_not_whole", "false_not_run", "double_runs", "batches", "samples", "duplicate_samples",
        "missing_samples", "stale_samples", "mislabelled_samples", "staleness_max", "staleness_sum",
        "idle_us", "train_us", "process_faults")

BROKEN_PROMISES = ("desk_not_whole", "false_not_run", "double_runs", "duplicate_samples",
                   "missing_samples", "stale_samples", "mislabelled_samples", "process_faults")


def audit(folder, trainers):
    """TRAINERS maps the name of each trainer to its staleness bound."""
    counts = dict.fromkeys(KEYS, 0)
    segments, orders = merge_runs(folder)
    counts["double_runs"] = sum(1 for runs in orders.values() if runs > 1)
    counts["process_faults"] = count_process_faults(folder)
    for name, bound in trainers.items():
        audit_trainer(read_book(os.path.join(folder, name + ".book")), bound, segments, counts)
    for path in sorted(glob.glob(os.path.join(folder, "*-callers.book"))):
        audit_callers(read_book(path), orders, counts)
    busy = counts["idle_us"] + counts["train_us"]
    counts["trainer_idle_pct"] = round(100 * counts["idle_us"] / busy, 1) if busy else 100.0
    counts["staleness_mean"] = round(counts["staleness_sum"] / max(1, counts["samples"]), 3)
    return counts


def broken(counts):
    return [key for key in BROKEN_PROMISES if counts[key] > 0]
