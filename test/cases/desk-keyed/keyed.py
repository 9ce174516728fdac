"""Keyed orders and a drain against a small fleet; prints what callers and upstreams saw."""

import json
import signal
import tempfile
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor

from fleet import FIRMS, Firm, Fleet, get, wait_for

PREPIS = Firm(FIRMS[0].name, FIRMS[0].net, FIRMS[0].zones, FIRMS[0].model, ("notovy-model", 2),
              FIRMS[0].orders, 2, FIRMS[0].scorer, FIRMS[0].trainer)


def call(address, path, body, key=None):
    """Outcome and body of one call; "gone" where the entry takes no connection."""
    headers = {"Content-Type": "application/json", **({"Idempotency-Key": key} if key else {})}
    request = urllib.request.Request(f"http://{address}{path}", json.dumps(body).encode(), headers)
    try:
        with urllib.request.urlopen(request, timeout=40) as answer:
            return answer.headers["Gspan-Outcome"], answer.read()
    except urllib.error.HTTPError as error:
        return f"{error.code} {error.headers['Gspan-Outcome']}", error.read()
    except urllib.error.URLError:
        return "gone", b""


def order(address, key, number="1"):
    return call(address, f"/call/{PREPIS.orders}/order", {"order": number}, key)


def runs(fleet):
    count = 0
    for i in range(PREPIS.services):
        with open(fleet.path(f"{PREPIS.orders}-{i + 1}.book"), encoding="utf-8") as book:
            count += sum(1 for line in book if "order" in json.loads(line))
    return count


def slot_owner(fleet):
    """Index of the entry that holds the first slot's lease."""
    objects = json.loads(get(fleet.platform, "/v1/objects?kinds=lease"))["objects"]
    holder = next(o["value"]["holder"] for o in objects if o["name"].startswith("slot."))
    for i in range(fleet.nodes):
        with open(fleet.path(f"{PREPIS.name}-{i + 1}-entry.toml"), encoding="utf-8") as file:
            if f'rpc = "{holder}"' in file.read():
                return i
    raise LookupError(holder)


def outcome_is_written(fleet):
    """Raises OSError until a journal holds an outcome."""
    journals = json.loads(get(fleet.platform, "/v1/objects?kinds=journal"))["objects"]
    if not any(entry[3] for journal in journals for entry in journal["value"]["entries"]):
        raise OSError("no outcome yet")


def check_keys(fleet, entries, pool):
    answers = list(pool.map(lambda address: order(address, "key-1"), entries))
    print("one key at three entries:", [outcome for outcome, _ in answers],
          "answers", len({body for _, body in answers}), "runs", runs(fleet))
    print("the key with another order:", order(entries[0], "key-1", "2")[0], "runs", runs(fleet))
    wait_for(lambda: outcome_is_written(fleet))
    owner = slot_owner(fleet)
    fleet.processes[f"{PREPIS.name}-{owner + 1}-entry"].kill()
    outcome, body = order(entries[(owner + 1) % 3], "key-1")
    print("the owner killed, asked again:", outcome, "same answer", body == answers[0][1], "runs",
          runs(fleet))
    return owner


def check_drain(fleet, entries, index, pool):
    body = {"model": PREPIS.model, "prompt": "p", "max_tokens": 1600}
    entry = fleet.processes[f"{PREPIS.name}-{index + 1}-entry"]
    calls = [pool.submit(call, entries[index], "/v1/completions", {**body, "stream": i % 2 == 1})
             for i in range(6)]
    wait_for(lambda: open_requests(entries[index], 6))
    entry.signal(signal.SIGTERM)
    whole = [c.result()[1] for c in calls]
    print("drained with six calls in flight: whole", sum(is_whole(text) for text in whole), "exit",
          entry.popen.wait(30))


def open_requests(address, count):
    """Raises OSError until COUNT calls are at work there."""
    text = get(address, "/-/metrics").decode()
    if f"\ngspan_desk_calls {count}\n" not in text:
        raise OSError(text)


def is_whole(text):
    if text.startswith(b"data:"):
        return b"data: [DONE]" in text and b": Gspan-Outcome: complete" in text
    return b"finish_reason" in text


def main():
    with tempfile.TemporaryDirectory(prefix="gspan-") as folder:
        fleet = Fleet(nodes=3, folder=folder)
        try:
            fleet.start((PREPIS,))
            entries = fleet.entries[PREPIS.name]
            with ThreadPoolExecutor(8) as pool:
                killed = check_keys(fleet, entries, pool)
                check_drain(fleet, entries, (killed + 1) % 3, pool)
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
