"""A planner, or a node, killed after each message of a group's life, on real processes. Exit 1 with a breach.

python benchmarks/kills.py [--jobs 5] [--most 60]
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
ONE = """
import sys
from pathlib import Path
from stairplank.rehearsal.kills import KillRun
from stairplank.rehearsal.scenario import load_scenario
scenario, work, after, target = sys.argv[1:]
run = KillRun(load_scenario(scenario), Path(work), lambda line: None, int(after), target)
result = run.run()
c = result.checker
print(run.pieces, int(run.killed), len(c.breaches), c.counts.groups_placed, c.counts.groups)
for breach in c.breaches:
    print("   ", breach)
sys.exit(1 if c.breaches or result.problems else 0)
"""


def one(job: tuple[str, int, str]) -> tuple[str, int, int, str]:
    scenario, after, target = job
    with tempfile.TemporaryDirectory() as work:
        command = [sys.executable, "-c", ONE, scenario, work, str(after), target]
        done = subprocess.run(command, capture_output=True, text=True, timeout=120, cwd=ROOT)
    return target, after, done.returncode, (done.stdout or done.stderr).strip()


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument("--most", type=int, default=60, help="points of a life that are tried, evenly drawn")
    given = parser.parse_args()
    scenario = str(ROOT / "stairplank" / "scenarios" / "one-group")
    _, _, code, said = one((scenario, 0, "planner"))
    print("without a kill:", said)
    pieces = int(said.split()[0])
    step = max(1.0, pieces / given.most)
    points = sorted({1 + int(i * step) for i in range(min(pieces, given.most))})
    jobs = [(scenario, after, target) for target in ("planner", "node") for after in points]
    bad = bool(code)
    killed = {"planner": 0, "node": 0}
    with ThreadPoolExecutor(given.jobs) as pool:
        for target, after, code, said in pool.map(one, jobs):
            words = said.split()
            killed[target] += len(words) > 1 and words[1] == "1"
            if code:
                bad = True
                print(f"{target} killed after piece {after}: exit {code}\n{said}", flush=True)
    print(f"{pieces} pieces; killed after {killed['planner']} of them the planner, {killed['node']} a node")
    print("breaches" if bad else "no breach")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
