"""Tests how the planner count is chosen from measured costs and fitted slopes, within their allowances."""

from __future__ import annotations

from dataclasses import replace

from synthetic_results import results

from stairplank.scale.planner_counts import best_measured, counts_to_show, fewest_within, planner_count
from stairplank.scale.predict import Slopes
from stairplank.scale.results import Results, Sample
from stairplank.scale.target import load_target
from stairplank.scale.target_site import Site
from stairplank.scale.verdicts import Form

TARGET = load_target()


def site_of(run: Results, **changes: float) -> tuple[Site, Slopes]:
    site = Site(replace(TARGET, **changes), [run], Form.PLATFORM)  # type: ignore[arg-type]
    return site, Slopes(site.samples)


def without_planner_count(run: Results, planners: int) -> Results:
    kept = tuple(s for s in run.samples if s.size.planners != planners)
    return replace(run, samples=kept)


def with_cpu_scaled(run: Results, planners: int, factor: float) -> Results:
    """Returns `run` with processor time multiplied by `factor` in samples with `planners` planners."""

    def changed(sample: Sample) -> Sample:
        cpu = sample.planner.cpu_share
        if sample.size.planners != planners or cpu is None:
            return sample
        return replace(sample, planner=replace(sample.planner, cpu_share=cpu * factor))

    return replace(run, samples=tuple(map(changed, run.samples)))


def test_measured_and_predicted_costs_are_shown_together() -> None:
    site, slopes = site_of(results())
    counts = counts_to_show(site, slopes)
    assert [count.planners for count in counts[:4]] == [7, 14, 28, 56]
    assert {count.starts_per_s for count in counts} == {0.0, 7.4, 52.0}
    for count in counts[:8]:
        for cost in count.costs:
            assert cost.measured is not None and cost.predicted.value is not None
            assert abs(cost.measured / cost.predicted.value - 1) < 0.05


def test_an_unmeasured_planner_count_is_predicted_from_the_slopes() -> None:
    site, slopes = site_of(without_planner_count(results(), 28))
    count = planner_count(site, slopes, 28, 0.0)
    assert not count.is_measured and count.ratio is not None


def test_the_fewest_planners_within_the_allowances() -> None:
    site, slopes = site_of(results())
    assert fewest_within(site, slopes, 0.0) == 7
    site, slopes = site_of(results(), control_cpu_share=0.0148)
    fewest = fewest_within(site, slopes, 0.0)
    assert fewest is not None and 7 < fewest <= 28
    site, slopes = site_of(results(), control_cpu_share=0.001)
    assert fewest_within(site, slopes, 0.0) is None


def test_a_measured_cost_overrides_the_slopes() -> None:
    site, slopes = site_of(with_cpu_scaled(results(), 28, 3.0))
    fewest = fewest_within(site, slopes, 0.0)
    assert fewest is not None and fewest > 28


def test_the_best_count_is_the_fewest_within_allowance_or_else_the_nearest_to_it() -> None:
    best = best_measured(*site_of(results()))
    assert best is not None and best.planners == 7
    best = best_measured(*site_of(with_cpu_scaled(results(), 7, 2.0)))
    assert best is not None and best.planners == 14
    best = best_measured(*site_of(results(), control_cpu_share=0.001))
    assert best is not None and best.planners == 28  # the gain from more planners is below the noise
