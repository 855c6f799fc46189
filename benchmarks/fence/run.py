"""What the fence costs and what its proofs gain. Tables, CSV and chart in docs/results/held-bytes.

    python benchmarks/fence/run.py [--seeds 4] [--jobs 6]

Cost: the same messages with and without their stamps, in turns: bytes and microseconds. Gain, in simulated
time (it repeats exactly under one version): rooms in which links hold what is said, again and again, with the
fence and its proofs, with the fence alone, and with neither, which is how it was before.
"""

from __future__ import annotations

import argparse
import csv
import random
import statistics
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

from stairplank.emulator.invariant_monitor import InvariantMonitor
from stairplank.emulator.simulation import Simulation, SimulationConfig
from stairplank.fence import GrantIssuer, MessageStamper
from stairplank.planner import convert
from stairplank.planner.attempts import Attempts
from stairplank.proto import common_pb2, node_pb2
from stairplank.rehearsal.scenario import load_scenario
from stairplank.standin.config import client_models, node_list_model

ROOT = Path(__file__).resolve().parents[2]
OUT = ROOT / "docs" / "results" / "held-bytes"
SECOND = 1_000_000
DAY_S = 60
MODES = {
    "before": {"is_fenced": False, "checks_void_offers": False},
    "fence": {"is_fenced": True, "checks_void_offers": False},
    "fence and proofs": {"is_fenced": True, "checks_void_offers": True},
}
HOLDS_S = (0.5, 1.0, 2.0, 4.0, 8.0)
STILL_S = (4.0, 8.0, 16.0)


# Cost


def offer(sent: common_pb2.Sent | None) -> Any:
    task = common_pb2.Task(
        owner="owner-0", key=1234, task_class="report", service=77, cores=0.5, memory=2, life_us=4_000_000
    )
    id = common_pb2.AttemptId(life=2**62 + 5, placing=4321, attempt=0)
    part = node_pb2.OfferRequest.Offer(id=id, task=task, wait_us=5_900_000, priority=1, sent=sent)
    return node_pb2.OfferRequest(offer=part)


def timed(call: Callable[[], object], rounds: int = 20_000) -> float:
    """Microseconds a call."""
    began = time.perf_counter_ns()
    for _ in range(rounds):
        call()
    return (time.perf_counter_ns() - began) / rounds / 1e3


def cost() -> dict[str, float]:
    grants, stamps = GrantIssuer(1, random.Random(1)), MessageStamper()
    now = [5 * SECOND]
    stamps.receive_grant(now[0], grants.issue(now[0]))
    stamp = stamps.stamp(now[0] + 300_000)

    def said() -> bytes:
        now[0] += 1
        found = stamps.stamp(now[0])
        raw: bytes = offer(convert.stamp_to_proto(found)).SerializeToString()
        return raw

    def heard() -> int | None:
        message = node_pb2.OfferRequest.FromString(with_stamp)
        return grants.earliest_send_time(now[0] + 400_000, convert.stamp_from_proto(message.offer))

    with_stamp = offer(convert.stamp_to_proto(stamp)).SerializeToString()
    without = offer(None).SerializeToString()
    rows: dict[str, list[float]] = {"say": [], "say bare": [], "hear": [], "hear bare": []}
    for _ in range(7):  # in turns, since the machine's speed drifts
        rows["say"].append(timed(said))
        rows["say bare"].append(timed(lambda: offer(None).SerializeToString()))
        rows["hear"].append(timed(heard))
        rows["hear bare"].append(timed(lambda: node_pb2.OfferRequest.FromString(without)))
    middle = {name: statistics.median(values) for name, values in rows.items()}
    return {
        "bytes_offer": len(without),
        "bytes_stamp": len(with_stamp) - len(without),
        "us_sender": middle["say"] - middle["say bare"],
        "us_receiver": middle["hear"] - middle["hear bare"],
        "us_sender_bare": middle["say bare"],
        "us_receiver_bare": middle["hear bare"],
    }


# Gain


def room(mode: str, hold_s: float, seed: int, still: bool) -> dict[str, Any]:
    """A day on which links hold what is said; ``still``: unnoticed, since pings are answered."""
    scenario = load_scenario(ROOT / "stairplank" / "scenarios" / "drawn-room")
    owners = client_models(scenario.section, scenario.cluster, ["owner-0", "owner-1"], scenario.planners)
    owners = [replace(o, demand_ends_us=DAY_S * SECOND) for o in owners]
    nodes = tuple(n.model for n in scenario.nodes if not n.absent)
    config = SimulationConfig(
        scenario.cluster, nodes, tuple(owners), scenario.planners, seed,
        node_list=node_list_model(scenario.section), **MODES[mode],
    )  # fmt: skip
    world = Simulation(config)
    watch = InvariantMonitor(world)
    rng = random.Random(seed * 31 + int(hold_s * 10))
    first: dict[tuple[str, int], int] = {}
    touched: dict[tuple[str, int], int] = {}
    runs: dict[tuple[str, int], int] = {}
    held: set[tuple[int, int]] = set()

    freed: list[int] = []  # how long a given-up attempt of a once task kept its task's name
    given_up: dict[Any, int] = {}
    real_give_up, real_over = Attempts.abandon, Attempts.end

    def give_up(room: Attempts, attempt: Any, result: Any) -> None:
        if attempt.placement.task.task_class == "report":
            given_up[attempt.id] = world.now_us
        real_give_up(room, attempt, result)

    def over(room: Attempts, attempt: Any, *args: Any) -> None:
        if attempt.id in room.attempts and attempt.id in given_up:
            freed.append(world.now_us - given_up.pop(attempt.id))
        real_over(room, attempt, *args)

    Attempts.abandon, Attempts.end = give_up, over  # type: ignore[method-assign]
    inner_offer, inner_word = world.on_offer, world.on_node_report

    def offered(sent: Any) -> None:
        assert inner_offer is not None
        inner_offer(sent)
        name = (sent.task.client, sent.task.key)
        first.setdefault(name, world.now_us)
        planner = next((p for p, core in world.cores.items() if core.incarnation == sent.id.incarnation), -1)
        if sent.task.task_class == "report" and (planner, sent.node) in held:
            touched.setdefault(name, world.now_us)

    def said(node: int, word: Any) -> None:
        assert inner_word is not None
        task = watch.task_of(word.id)
        if word.kind == "running" and task is not None:
            runs.setdefault((task.client, task.key), world.now_us)
        inner_word(node, word)

    world.on_offer, world.on_node_report = offered, said
    at = 3.0
    while at < DAY_S:
        world.run(int(at * SECOND) + 1_000_000)
        planner = rng.randrange(scenario.planners)
        nodes_held = rng.sample([n.id for n in nodes], 4)
        directions = ("there",) if still else rng.choice([("there",), ("back",), ("there", "back")])
        paths = {(planner, node) for node in nodes_held}
        held.update(paths)
        world.hold_links([planner], nodes_held, directions, int(hold_s * SECOND), still)
        world.schedule(int(hold_s * SECOND), held.difference_update, paths)
        at += hold_s + 1.5
    world.run((DAY_S + 60) * SECOND)
    Attempts.abandon, Attempts.end = real_give_up, real_over  # type: ignore[method-assign]
    took = [runs[name] - touched[name] for name in touched if name in runs]
    seen = watch.observed
    return {
        "still": still, "mode": mode, "hold_s": hold_s, "seed": seed, "offers": seen.offers,
        "stale_taken": len(seen.stale_accepted), "own_copies": len(seen.duplicate_runs),
        "asked_copies": len(seen.duplicate_runs_of_retries), "stale_refused": seen.stale_rejected,
        "fresh_refused": seen.fresh_rejected, "touched": len(touched), "ran": len(took),
        "took_us": took, "freed_us": freed,
    }  # fmt: skip


def share(values: list[int], of: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(of * len(ordered)))] / 1e6 if ordered else float("nan")


def gain(seeds: int, jobs: int) -> list[dict[str, Any]]:
    cells = [
        (mode, hold, seed, still)
        for still, holds in ((False, HOLDS_S), (True, STILL_S))
        for hold in holds
        for mode in MODES
        for seed in range(1, seeds + 1)
    ]
    rows: list[dict[str, Any]] = []
    with ProcessPoolExecutor(jobs) as pool:
        for row in pool.map(room, *zip(*cells, strict=True)):
            rows.append(row)
            if len(rows) % 10 == 0:
                print(f"{len(rows)} of {len(cells)}", flush=True)
    return rows


def summed(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    out = []
    for still, hold in [(False, h) for h in HOLDS_S] + [(True, h) for h in STILL_S]:
        for mode in MODES:
            here = [r for r in rows if (r["mode"], r["hold_s"], r["still"]) == (mode, hold, still)]
            took = [t for r in here for t in r["took_us"]]
            freed = [t for r in here for t in r["freed_us"]]
            total = {
                k: sum(r[k] for r in here)
                for k in (
                    "offers", "stale_taken", "own_copies", "asked_copies", "stale_refused", "fresh_refused",
                    "touched", "ran",
                )
            }  # fmt: skip
            spans = {"p50": share(took, 0.5), "p90": share(took, 0.9), "given_up": len(freed)}
            spans |= {"freed_p50": share(freed, 0.5), "freed_p90": share(freed, 0.9)}
            out.append({"still": still, "hold_s": hold, "mode": mode, **total, **spans})
    return out


def chart(table: list[dict[str, Any]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4.2), layout="constrained")
    width = 0.26
    for i, mode in enumerate(MODES):
        rows = [r for r in table if r["mode"] == mode and not r["still"]]
        stood = [r for r in table if r["mode"] == mode and r["still"]]
        at = [k + (i - 1) * width for k in range(len(rows))]
        left.bar(at, [1000 * r["stale_taken"] / r["offers"] for r in rows], width, label=mode)
        right.bar(at[: len(stood)], [r["freed_p90"] for r in stood], width, label=mode)
    left.set_xticks(range(len(HOLDS_S)), [f"{h:g} s" for h in HOLDS_S])
    left.set_xlabel("how long links held what was said")
    right.set_xticks(range(len(STILL_S)), [f"{h:g} s" for h in STILL_S])
    right.set_xlabel("how long nodes stood still, answering pings")
    left.set_ylabel("stale offers taken, of 1,000 offers")
    right.set_ylabel("s that a given-up once task's name is kept (p90)")
    left.legend()
    figure.savefig(path, dpi=110)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=6)
    given = parser.parse_args()
    OUT.mkdir(parents=True, exist_ok=True)
    costs = cost()
    rows = gain(given.seeds, given.jobs)
    table = summed(rows)
    with (OUT / "results.csv").open("w", newline="") as file:
        writer = csv.DictWriter(file, [k for k in rows[0] if not k.endswith("_us")], extrasaction="ignore")
        writer.writeheader()
        writer.writerows(rows)
    lines = [
        "| what a stamp adds | |", "| --- | --- |",
        f"| bytes to an offer of {costs['bytes_offer']:.0f} | {costs['bytes_stamp']:.0f} |",
        f"| us to saying one ({costs['us_sender_bare']:.2f} us without) | {costs['us_sender']:.2f} |",
        f"| us to hearing one ({costs['us_receiver_bare']:.2f} us without) | {costs['us_receiver']:.2f} |",
        "",
        "| held | mode | offers | stale taken | own copies | copies by owners' asking | refused as too late |"
        " of these fresh | once tasks touched | ran | p50 s | p90 s | given up | name kept p50 s | p90 s |",
        "| --- " * 15 + "|",
    ]  # fmt: skip
    shown = (
        "offers", "stale_taken", "own_copies", "asked_copies",
        "stale_refused", "fresh_refused", "touched", "ran",
    )  # fmt: skip
    for r in table:
        held = f"{r['hold_s']:g} s" + (", node still" if r["still"] else "")
        cells = [held, r["mode"], *(str(r[k]) for k in shown), f"{r['p50']:.2f}", f"{r['p90']:.2f}"]
        kept = [f"{r[k]:.2f}" if r["given_up"] else "-" for k in ("freed_p50", "freed_p90")]
        lines.append("| " + " | ".join([*cells, str(r["given_up"]), *kept]) + " |")
    (OUT / "table.md").write_text("\n".join(lines) + "\n")
    chart(table, OUT / "chart.png")
    print("\n".join(lines))


if __name__ == "__main__":
    main()
