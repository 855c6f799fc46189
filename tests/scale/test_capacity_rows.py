"""Tests the capacity table: a row for every line of the target, its verdict and the code behind it."""

from __future__ import annotations

import importlib.util
import inspect
import math
import pkgutil
from dataclasses import fields, replace
from types import ModuleType

import pytest
from synthetic_results import results

import stairplank.decisions
import stairplank.interface
import stairplank.planner.daemon
from stairplank.scale.capacity import by_need, capacity
from stairplank.scale.carriers import CARRIERS
from stairplank.scale.figures import Unit
from stairplank.scale.predict import Slopes
from stairplank.scale.results import EventTimes, Results
from stairplank.scale.target import TargetLine, load_target
from stairplank.scale.target_site import Site
from stairplank.scale.verdicts import Form, Mechanism, Row, Sense, Verdict

MECHANISM = Mechanism("stairplank.decisions", "Planner")
ROW = Row(TargetLine.CONTROL, Form.PLATFORM, "a figure", Unit.COUNT, 10.0, Sense.AT_MOST, MECHANISM)


def sources_of(package: ModuleType) -> dict[str, str]:
    """Returns the source text of a package and of each of its modules, by name."""
    names = [info.name for info in pkgutil.iter_modules(package.__path__)]
    modules = {name: importlib.import_module(f"{package.__name__}.{name}") for name in names}
    return {name: inspect.getsource(module) for name, module in {"__init__": package, **modules}.items()}


def rows_of(form: Form, *runs: Results) -> list[Row]:
    site = Site(load_target(), runs, form)
    return capacity(site, Slopes(site.samples))


@pytest.mark.parametrize("form", Form)
@pytest.mark.parametrize("runs", [(), (results(),), (results(1), results(2))])
def test_every_line_of_the_target_has_a_row(form: Form, runs: tuple[Results, ...]) -> None:
    assert {row.line for row in rows_of(form, *runs)} == set(TargetLine)


@pytest.mark.parametrize("form", Form)
def test_without_a_run_no_row_holds(form: Form) -> None:
    rows = rows_of(form)
    assert {row.verdict for row in rows} == {Verdict.NOTHING_CARRIES_IT, Verdict.NOT_MEASURED}
    assert all(row.wanted for row in rows if row.verdict is Verdict.NOT_MEASURED)
    assert all(row.gap for row in rows if row.verdict is Verdict.NOTHING_CARRIES_IT)


def test_verdicts() -> None:
    assert ROW.verdict is Verdict.NOT_MEASURED and ROW.ratio is None
    assert replace(ROW, measured=10.0).verdict is Verdict.HOLDS
    short = replace(ROW, measured=25.0)
    assert short.verdict is Verdict.SHORT and short.ratio == 2.5
    assert replace(ROW, measured=9.5).is_close and not replace(ROW, measured=8.9).is_close
    assert not short.is_close and not replace(ROW, sense=Sense.AT_LEAST, measured=10.0).is_close
    assert replace(ROW, mechanism=None).verdict is Verdict.NOTHING_CARRIES_IT
    reached = replace(ROW, sense=Sense.AT_LEAST, measured=4.0)
    assert reached.verdict is Verdict.SHORT and reached.ratio == 2.5
    assert replace(reached, measured=0.0).ratio == math.inf


def test_unmet_rows_are_ranked_by_need() -> None:
    rows = [
        replace(ROW, figure="holds", measured=1.0),
        replace(ROW, figure="twice", measured=20.0),
        replace(ROW, figure="not measured"),
        replace(ROW, figure="thrice", measured=30.0),
        replace(ROW, figure="nothing", mechanism=None),
    ]
    assert [row.figure for row in by_need(rows)] == ["nothing", "thrice", "twice"]


@pytest.mark.parametrize("form", Form)
def test_the_worse_of_two_runs_counts(form: Form) -> None:
    first, second = results(1), results(2)
    both = {row.figure: row.measured for row in rows_of(form, first, second)}
    each = [{row.figure: row.measured for row in rows_of(form, run)} for run in (first, second)]
    figure = "processor time, tasks standing, one of 7 planners"
    assert both[figure] == max(values[figure] or 0.0 for values in each)


@pytest.mark.parametrize("form", Form)
def test_a_run_below_the_target_size_is_short(form: Form) -> None:
    run = results()
    samples = tuple(s for s in run.samples if s.size.workers <= 410)
    workers = next(r for r in rows_of(form, replace(run, samples=samples)) if r.figure == "workers")
    assert workers.verdict is Verdict.SHORT and workers.ratio == 2.0


@pytest.mark.parametrize("form", Form)
def test_an_event_counts_only_at_the_target_size(form: Form) -> None:
    figure = "a failed rack is known"
    run = results()
    full = next(r for r in rows_of(form, run) if r.figure == figure)
    assert full.verdict is Verdict.HOLDS
    small = tuple(replace(s, size=replace(s.size, workers=24)) for s in run.samples)
    small_row = next(r for r in rows_of(form, replace(run, samples=small)) if r.figure == figure)
    assert small_row.verdict is Verdict.NOT_MEASURED and "samples of the event" in small_row.wanted
    unreached = tuple(replace(s, event=EventTimes()) for s in run.samples)
    unreached_row = next(r for r in rows_of(form, replace(run, samples=unreached)) if r.figure == figure)
    assert unreached_row.verdict is Verdict.NOT_MEASURED and "not reached" in unreached_row.wanted


@pytest.mark.parametrize("form", Form)
def test_the_code_named_for_each_line_exists(form: Form) -> None:
    carriers = CARRIERS[form]
    for field in fields(carriers):
        mechanism = getattr(carriers, field.name)
        if mechanism is not None:
            assert hasattr(importlib.import_module(mechanism.module), mechanism.name), mechanism


def test_target_lines_without_an_implementation_are_still_unimplemented() -> None:
    """Fails once the code implements such a line; the capacity row must then name the implementing class."""
    decisions = sources_of(stairplank.decisions)
    assert set(decisions) >= {"planner", "selection", "retry", "threshold"} and len(decisions) > 10
    for module, source in decisions.items():
        for name in ("tenant_quota_cores", "tenant_share", ".priority", "preempts", "api.Evict("):
            assert name not in source.replace(".priority_weight", ""), (module, name)
    interface = inspect.getsource(stairplank.interface).lower()
    for name in ("accelerator", "gpu", "region"):
        assert name not in interface, name
    kind = {field.name for field in fields(stairplank.interface.NodeType)}
    assert kind == {"name", "cores", "memory"}


def test_a_settings_mechanism_is_named_only_where_a_running_planner_applies_changes() -> None:
    """The page names a mechanism for live settings changes exactly in the forms that have one."""
    reloads = importlib.util.find_spec("stairplank.platform.reload") is not None
    follows = "from ..configuration" in inspect.getsource(stairplank.planner.daemon)
    assert (CARRIERS[Form.PLATFORM].settings is not None) == reloads
    assert (CARRIERS[Form.GRPC].settings is not None) == follows
