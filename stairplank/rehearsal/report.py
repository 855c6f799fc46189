"""Reports the results of a rehearsal as text, JSON and a chart."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from typing import Any

from ..settings.parsers import round_durations
from .checker import Breach, Checker
from .run import Result

RULES = {
    0: "the record does not add up",
    1: "no task lost",
    2: "no effect twice",
    3: "drains kept",
    4: "no cold node pushed over",
    5: "spread kept",
    6: "groups whole or not at all",
}


def breach_text(breach: Breach, begin_us: int) -> str:
    """Return a breach as text, with its rule, task, node, time and the messages that show it."""
    head = (
        f"rule {breach.rule} ({RULES[breach.rule]}; {breach.clause}) at {(breach.at - begin_us) / 1e6:.3f} s"
    )
    subjects = [f"task {breach.task}"] if breach.task else []
    subjects += [f"node {breach.node}"] if breach.node is not None else []
    lines = [f"{head}: {breach.text}" + (f" [{', '.join(subjects)}]" if subjects else "")]
    lines += [f"    {line}" for line in breach.evidence]
    return "\n".join(lines)


def begin_of(script: list[tuple[int, str]], first_at: int) -> int:
    """Return the scenario's start time from the capture, or the time of the first message."""
    for _, what in script:
        if what.startswith("begin "):
            return int(what.split()[1])
    return first_at


def percentile(values: list[int], share: float) -> float:
    """Return the value below which that share of the values lies, or 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return float(ordered[min(len(ordered) - 1, int(share * len(ordered)))])


def class_rows(owners: dict[str, Any]) -> list[tuple[str, ...]]:
    rows: list[tuple[str, ...]] = [
        ("class", "wanted", "started", "in time", "finished", "refused", "failed", "lost", "p50 ms", "p99 ms")
    ]
    for name, counts in sorted(owners.get("classes", {}).items()):
        latencies = owners.get("latencies_us", {}).get(name, [])
        wanted = counts.get("wanted", 0)
        in_time = counts.get("in_time", 0)
        rows.append(
            (
                name,
                str(wanted),
                str(counts.get("started", 0)),
                f"{100 * in_time / wanted:.1f}%" if wanted else "-",
                *(str(counts.get(what, 0)) for what in ("finished", "refused", "failed", "lost")),
                f"{percentile(latencies, 0.5) / 1e3:.0f}",
                f"{percentile(latencies, 0.99) / 1e3:.0f}",
            )
        )
    return rows


def table(rows: list[tuple[str, ...]]) -> str:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return "\n".join(
        "  ".join(
            cell.ljust(w) if i == 0 else cell.rjust(w)
            for i, (cell, w) in enumerate(zip(row, widths, strict=True))
        )
        for row in rows
    )


def counts_text(checker: Checker) -> str:
    c = checker.counts
    return (
        f"{c.asks} asks: {c.taken} taken, {c.rejected} rejected, {c.placed} placed, {c.refused} refused,"
        f" {c.failed} failed, {c.withdrawn} withdrawn, {c.found} found\n"
        f"{c.offers} offers: {c.offers_refused} refused, {c.offers_errors} failed to start,"
        f" {c.offers_silent} without any word\n"
        + (
            f"{c.groups} groups asked: {c.groups_placed} placed, {c.groups_refused} refused,"
            f" {c.groups_failed} failed, {c.groups_tried} tries given up\n"
            if c.groups
            else ""
        )
        + f"{c.finished} tasks finished, {c.lost} lost; copies side by side: {c.side_by_side};"
        f" {c.messages} messages judged"
    )


def verdict(checker: Checker, problems: list[str]) -> str:
    if not checker.breaches and not problems:
        return "no breach of the five rules"
    by_rule = Counter(b.rule for b in checker.breaches)
    parts = [f"{n} of rule {rule}" if rule else f"{n} in the record" for rule, n in sorted(by_rule.items())]
    if problems:
        parts.append(f"{len(problems)} unreadable links")
    return "breaches: " + ", ".join(parts)


def text(result: Result, title: str) -> str:
    """Return the whole report as text."""
    checker = result.checker
    parts = [title, "", verdict(checker, result.problems), "", counts_text(checker)]
    if result.owners:
        parts += ["", table(class_rows(result.owners))]
    if result.unclean:
        parts += ["", f"ended uncleanly: {', '.join(result.unclean)}"]
    for breach in checker.breaches:
        parts += ["", breach_text(breach, result.begin_us)]
    parts += [f"\n{problem}" for problem in result.problems]
    return "\n".join(parts) + "\n"


def as_json(result: Result, title: str) -> dict[str, Any]:
    return {
        "title": title,
        "verdict": verdict(result.checker, result.problems),
        "counts": asdict(result.checker.counts),
        "classes": result.owners.get("classes", {}),
        "breaches": [asdict(b) for b in result.checker.breaches],
        "problems": result.problems,
        "unclean": result.unclean,
        "script": [((at - result.begin_us) / 1e6, round_durations(what)) for at, what in result.script],
    }


def chart(result: Result, path: Path, title: str) -> None:
    """Plot the outcomes per second over the scenario's time, with its faults and breaches."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(11, 5), layout="constrained")
    colours = {"placed": "tab:green", "refused": "tab:orange", "failed": "tab:red", "lost": "tab:purple"}
    begin = result.begin_us
    last = max((at for at, _, _ in result.checker.timeline), default=begin)
    seconds = range(int((last - begin) / 1e6) + 2)
    for what, colour in colours.items():
        per = Counter(int((at - begin) / 1e6) for at, kind, _ in result.checker.timeline if kind == what)
        axes.plot(seconds, [per[s] for s in seconds], color=colour, label=what, drawstyle="steps-post")
    top = axes.get_ylim()[1]
    for i, (at, what) in enumerate(w for w in result.script if not w[1].startswith(("over:", "begin "))):
        x = (at - begin) / 1e6
        axes.axvline(x, color="grey", linewidth=0.7, linestyle=":")
        what = round_durations(what)
        label = what if len(what) <= 44 else what[:43] + "…"
        axes.text(x, top * (0.98 - 0.055 * (i % 7)), label, fontsize=7, va="top")
    for breach in result.checker.breaches:
        axes.axvline((breach.at - begin) / 1e6, color="red", linewidth=1.2)
    axes.set(
        xlabel="seconds",
        ylabel="tasks a second",
        title=f"{title}: {verdict(result.checker, result.problems)}",
    )
    axes.legend(loc="lower right")
    axes.set_xlim(left=0)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def write(result: Result, folder: Path, title: str) -> None:
    """Write report.txt, report.json and chart.png into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "report.txt").write_text(text(result, title))
    (folder / "report.json").write_text(json.dumps(as_json(result, title), indent=1))
    chart(result, folder / "chart.png", title)
