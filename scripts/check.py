"""Runs the unit tests and the scripted runs, and counts them; known red ones are passed over and shown."""

import concurrent.futures
import glob
import json
import os
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("GSPAN_BUILD", os.path.join(ROOT, "build"))
TIMEOUT_S = 300
SEED = "seed=5 max_success=100"


def known_red():
    """Names in KNOWN-RED.txt, the first word of each line that is no comment."""
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return set()
    with open(path, encoding="utf-8") as file:
        return {line.split()[0] for line in file if line.strip() and not line.startswith("#")}


def run_unit(binary):
    """Results of one GoogleTest binary as pairs of name and output of a failure (None: passed)."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        environment = {**os.environ, "RC_PARAMS": SEED, "ASAN_OPTIONS": "detect_leaks=1"}
        done = subprocess.run([binary, f"--gtest_output=json:{report.name}"], env=environment,
                              stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
                              timeout=TIMEOUT_S, check=False)
        try:
            suites = json.load(report)["testsuites"]
        except ValueError:
            return [(os.path.basename(binary), done.stdout)]
    results = []
    for suite in suites:
        for test in suite["testsuite"]:
            failures = "\n".join(f["failure"] for f in test.get("failures", []))
            results.append((f"{suite['name']}.{test['name']}", failures or None))
    if done.returncode != 0 and all(text is None for _, text in results):
        results.append((os.path.basename(binary), done.stdout[-4000:]))
    return results


def run_case(folder):
    """A scripted run: the output of ./run has to be what the file expected says."""
    name = "cases/" + os.path.basename(folder)
    with open(os.path.join(folder, "expected"), encoding="utf-8") as file:
        expected = file.read()
    environment = {**os.environ, "BUILD": BUILD, "ROOT": ROOT}
    done = subprocess.run(["./run"], cwd=folder, env=environment, stdout=subprocess.PIPE,
                          stderr=subprocess.STDOUT, text=True, timeout=TIMEOUT_S, check=False)
    if done.stdout == expected:
        return (name, None)
    return (name, f"--- expected\n{expected}--- got\n{done.stdout}")


def main():
    only = sys.argv[1] if len(sys.argv) > 1 else ""
    results = []
    binaries = [path for path in sorted(glob.glob(os.path.join(BUILD, "*-test")))
                if only in os.path.basename(path)]
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for unit in pool.map(run_unit, binaries):
            results += unit
    for folder in sorted(glob.glob(os.path.join(ROOT, "test", "cases", "*"))):
        if only in "cases/" + os.path.basename(folder):
            results.append(run_case(folder))
    red = known_red()
    failed = [(name, text) for name, text in results if text is not None and name not in red]
    for name, text in failed:
        print(f"FAILED {name}\n{text}")
    for name, text in results:
        if name in red:
            print(f"known red, {'failed' if text is not None else 'passed'}: {name}")
            print(text or "", end="")
    passed = sum(1 for _, text in results if text is None)
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
