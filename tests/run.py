"""Runs all features, several at a time, and counts passed and failed scenarios.

A scenario listed in KNOWN-RED.txt is expected to fail: its failure is printed but not
counted. If it passes, that counts as a failure, so that the list stays accurate.
Entries that name no scenario, such as a simulation that is run by hand, are printed.
"""

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
FEATURES = ROOT / "tests" / "features"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_CONCURRENT_FEATURES = 6
# Features that fill the memory of processes run one at a time, beside nothing else.
ALONE = frozenset({"hostile_clients.feature"})


def known_red() -> set[str]:
    """Return the names of known failures, the first field of each line."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split("|")[0].strip() for line in lines if line.strip()}


def run_feature(path: pathlib.Path) -> list[tuple[str, str]]:
    """Run one feature file, print failures, and return (scenario, status) pairs."""
    with tempfile.NamedTemporaryFile(suffix=".json") as output:
        done = subprocess.run(
            [sys.executable, "-m", "behave", "--no-capture", "--no-summary"]
            + ["--format", "json", "--outfile", output.name]
            + ["--format", "progress3", "--outfile", "-", str(path)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        text = pathlib.Path(output.name).read_text(encoding="utf-8")
    if done.returncode != 0 or not text.strip():
        print(done.stdout, done.stderr, sep="\n")
    if not text.strip():
        return [(path.name, "failed")]
    return [
        (element["name"].strip(), element["status"])
        for feature in json.loads(text)
        for element in feature["elements"]
        if element["type"] == "scenario"
    ]


def main() -> int:
    """Run all or the given features; return non-zero if any failed or none ran."""
    chosen = [pathlib.Path(name) for name in sys.argv[1:]]
    paths = chosen or sorted(FEATURES.glob("*.feature"))
    together = [path for path in paths if path.name not in ALONE]
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_FEATURES) as pool:
        statuses = [pair for pairs in pool.map(run_feature, together) for pair in pairs]
    for path in paths:
        if path.name in ALONE:
            statuses += run_feature(path)
    red = known_red()
    passed = failed = 0
    for name, status in statuses:
        if (status == "passed") == (name not in red):
            passed += status == "passed"
        else:
            failed += 1
            print(f"FAILED: {name} ({status})")
        if name in red:
            print(f"known red: {name}: {status}")
    for name in sorted(red.difference(name for name, _ in statuses)):
        print(f"known red, no scenario here: {name}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
