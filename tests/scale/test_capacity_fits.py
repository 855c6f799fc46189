"""Tests the fit of a line through measured points and the prediction for a size between or beyond them."""

from __future__ import annotations

import pytest
from synthetic_results import CPU_PER_START, CPU_PER_TASK, CPU_PER_WORKER, IDLE_CPU, NOISE, results

from stairplank.scale import figures as fig
from stairplank.scale.fits import LEAST_SIZES, Point, Shape, between, fit, series
from stairplank.scale.predict import Slopes
from stairplank.scale.results import PlannerCost, Sample, Size


def idle(workers: int, cpu: float | None, planners: int = 7) -> Sample:
    return Sample(
        "platform", "idle", Size(workers, planners, 0.0, 0), 1.0, planner=PlannerCost(cpu_share=cpu)
    )


def test_a_fit_recovers_the_line_of_its_points() -> None:
    line = fit([Point(x, 3.0 + 0.5 * x) for x in (50, 200, 410, 820)])
    assert line is not None
    assert line.constant == pytest.approx(3.0) and line.slope == pytest.approx(0.5)
    assert line.rms == pytest.approx(0.0) and line.worst == pytest.approx(0.0)


def test_residuals_are_shares_of_the_mean_figure() -> None:
    line = fit([Point(1, 11.0), Point(2, 9.0), Point(3, 9.0), Point(4, 11.0)])
    assert line is not None
    assert line.slope == pytest.approx(0.0) and line.constant == pytest.approx(10.0)
    assert line.rms == pytest.approx(0.1) and line.worst == pytest.approx(0.1)


def test_fewer_than_four_sizes_give_no_slope() -> None:
    samples = [idle(workers, 0.01 * workers) for workers in (50, 200, 410)]
    fitted = series([*samples, idle(410, 4.2)], fig.WORKERS, fig.CPU)
    assert len(fitted.points) == LEAST_SIZES - 1
    assert fitted.line is None and fitted.shape is Shape.NOT_MEASURED and fitted.at(100) is None


def test_repeats_of_one_size_count_as_their_mean() -> None:
    samples = [idle(workers, share) for workers in (50, 200, 410, 820) for share in (0.01, 0.03)]
    fitted = series(samples, fig.WORKERS, fig.CPU)
    assert [point.value for point in fitted.points] == pytest.approx([0.02] * 4)


def test_a_nonlinear_series_is_marked_bent_and_keeps_its_points() -> None:
    samples = [idle(workers, 1.0 / workers) for workers in (50, 200, 410, 820)]
    fitted = series(samples, fig.WORKERS, fig.CPU)
    assert fitted.shape is Shape.BENT
    assert [point.size for point in fitted.points] == [50, 200, 410, 820]
    assert fitted.at(125) == pytest.approx((1 / 50 + 1 / 200) / 2)  # interpolated between two points
    assert fitted.at(10) is None and fitted.at(1000) is None


def test_a_missing_figure_gives_no_point() -> None:
    samples = [idle(workers, None if workers == 200 else 0.01) for workers in (50, 200, 410, 820)]
    assert len(series(samples, fig.WORKERS, fig.CPU).points) == 3


def test_samples_that_differ_on_another_axis_are_not_one_series() -> None:
    samples = [idle(workers, 0.01) for workers in (50, 200, 410)] + [idle(820, 0.01, planners=14)]
    assert len(series(samples, fig.WORKERS, fig.CPU).points) == 3


def test_interpolation_between_points() -> None:
    points = (Point(0, 0.0), Point(10, 5.0), Point(20, 5.0))
    assert between(points, 5) == pytest.approx(2.5)
    assert between(points, 20) == pytest.approx(5.0)
    assert between(points, 21) is None


def test_fitted_slopes_predict_the_cost_of_a_site() -> None:
    slopes = Slopes(s for s in results().samples if s.form == "platform")
    for axis, slope in ((fig.WORKERS, CPU_PER_WORKER), (fig.RUNNING, CPU_PER_TASK)):
        line = slopes.of(axis, fig.CPU).line
        assert line is not None and line.slope == pytest.approx(slope, rel=0.1)
    predicted = slopes.predict(fig.CPU, Size(820, 14, 52.0, 6200)).value
    expected = IDLE_CPU + 820 * CPU_PER_WORKER + 6200 / 14 * CPU_PER_TASK + 52 / 14 * CPU_PER_START
    assert predicted == pytest.approx(expected, rel=4 * NOISE)


def test_a_prediction_names_the_slopes_that_it_lacks() -> None:
    samples = [idle(workers, 0.01) for workers in (50, 200, 410, 820)]
    slopes = Slopes(samples)
    assert slopes.predict(fig.CPU, Size(820, 7, 0.0, 0)).value == pytest.approx(0.01)
    lacking = slopes.predict(fig.CPU, Size(820, 7, 52.0, 6200))
    assert lacking.value is None and lacking.missing == (fig.RUNNING, fig.STARTS)


def test_a_site_scaled_on_every_axis_is_one_series() -> None:
    sizes = [Size(n, 7, 52.0 * n / 820, round(6200 * n / 820)) for n in (50, 200, 410, 820)]
    samples = [Sample("platform", "peak", size, 1.0, planner=PlannerCost(cpu_share=0.01)) for size in sizes]
    assert len(series(samples, fig.WHOLE_SITE, fig.CPU).points) == 4
    assert series(samples, fig.STARTS, fig.CPU).points[0].value == 0.01


def test_list_changes_are_read_from_the_load() -> None:
    fitted = series((s for s in results().samples if s.form == "platform"), fig.LIST_CHANGES, fig.CPU)
    assert [point.size for point in fitted.points] == [0, 1, 4, 16]
