"""Runs a scale plan: starts one site after the other, samples each and writes the results each time."""

from __future__ import annotations

import platform
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import psutil

from . import bounds, events, results
from .children import ChildError
from .event_names import SETTINGS_EVENTS
from .forms import FORMS
from .interrupts import Interrupted, deferred, signals_raise
from .measure import peer_cost, planner_cost
from .plan import Plan, SampleSpec
from .results import Results, Sample
from .settings_change import SettingsSite
from .site import Site
from .site_groups import SiteKey, by_site

EXTRA_CHANGES_S = 2.0  # the node list keeps changing for this time after the end of a span
Progress = Callable[[str], None]


class Run:
    """A run of one plan. ``target`` is the results file; ``progress`` receives each progress message."""

    def __init__(self, plan: Plan, target: Path, label: str, progress: Progress) -> None:
        self._plan = plan
        self._target = target
        self._progress = progress
        self._started_at = time.monotonic()
        self._samples: list[Sample] = []
        self._label = label
        self._is_complete = True

    def run(self) -> Results:
        """Take the samples of the plan and return the results.

        The results are partial where the time limit or a signal ended the run early, or a process failed.
        """
        with signals_raise(), tempfile.TemporaryDirectory(prefix="stairplank-scale-") as work:
            try:
                for number, (key, specs) in enumerate(by_site(self._plan.samples).items()):
                    if self._elapsed_s() > self._plan.time_most_s:
                        self._progress(f"ended by time-most, {self._plan.time_most_s:g} s")
                        self._is_complete = False
                        break
                    self._sample_site(key, specs, Path(work) / f"site-{number}")
            except Interrupted as reason:
                self._progress(f"interrupted by {reason}")
                self._is_complete = False
        self._write_results(partial=not self._is_complete)
        return results.read(self._target)

    # Samples

    def _sample_site(self, key: SiteKey, specs: list[SampleSpec], folder: Path) -> None:
        try:
            if key.event in SETTINGS_EVENTS:
                self._sample_settings_site(key, specs, folder)
                return
            site = self._start(key, specs, folder)
            try:
                for spec in specs:
                    self._take_sample(site, spec)
            finally:
                with deferred():
                    site.end()
        except ChildError as error:
            self._progress(f"not measured: {error}")
            self._is_complete = False

    def _sample_settings_site(self, key: SiteKey, specs: list[SampleSpec], folder: Path) -> None:
        self._progress(f"{key.form}: {key.planners} planners that follow a configuration")
        site = SettingsSite(key.planners, folder)
        try:
            for spec in specs:
                self._add(spec, site.sample(spec))
        finally:
            site.end()

    def _start(self, key: SiteKey, specs: list[SampleSpec], folder: Path) -> Site:
        self._progress(f"{key.form}: {key.workers} workers, {key.planners} planners")
        real = bounds.real_planners_of(self._plan, specs[0])
        return Site(FORMS[key.form], key.workers, key.planners, real, self._plan.layout, folder)

    def _take_sample(self, site: Site, spec: SampleSpec) -> None:
        size = spec.size
        site.generate(0.0, 0.0)
        site.place(size.running, spec.life_s)
        site.generate(size.starts_per_s, spec.life_s)
        time.sleep(self._plan.settle_s)
        self._add(spec, self._event_sample(site, spec) if spec.is_event else self._span_sample(site, spec))

    def _add(self, spec: SampleSpec, sample: Sample) -> None:
        self._samples.append(sample)
        self._write_results(partial=True)
        self._progress(f"  {len(self._samples)} of {len(self._plan.samples)}: {describe(spec)}")

    def _span_sample(self, site: Site, spec: SampleSpec) -> Sample:
        if spec.list_changes_per_s:
            site.change_list(spec.list_changes_per_s, spec.span_s + EXTRA_CHANGES_S)
        before = site.snapshot()
        time.sleep(spec.span_s)
        after = site.snapshot()
        planner = planner_cost(before, after, site.real_planners)
        peers = peer_cost(before, after, spec.size.workers)
        notes = _hollow_planners_note(site) + _load_note(spec, before.running, after.running, after.waiting)
        span_s = round(after.at - before.at, 3)
        return Sample(spec.form, spec.load, spec.size, span_s, spec.repeat, planner, peers, note=notes)

    def _event_sample(self, site: Site, spec: SampleSpec) -> Sample:
        began = time.monotonic()
        observed = events.run(spec.load, site)
        span_s = round(time.monotonic() - began, 3)
        note = observed.note
        return Sample(spec.form, spec.load, spec.size, span_s, spec.repeat, event=observed.times, note=note)

    # Results

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_at

    def _write_results(self, partial: bool) -> None:
        samples = tuple(self._samples)
        current = Results(self._label, machine(), samples, partial, round(self._elapsed_s(), 1))
        results.write(current, self._target)


def _hollow_planners_note(site: Site) -> str:
    if site.real_planners == site.planners:
        return ""
    return f"{site.real_planners} of {site.planners} planners real, the others hollow"


def _load_note(spec: SampleSpec, before: int, after: int, waiting: int) -> str:
    """Describe the load of a sample where it differed from the planned load, else return an empty string."""
    drift = max(abs(before - spec.size.running), abs(after - spec.size.running))
    if drift <= max(5, 0.05 * spec.size.running) and waiting <= max(5, spec.size.starts_per_s):
        return ""
    return f"; {before} tasks ran at its begin, {after} at its end, {waiting} waited"


def describe(spec: SampleSpec) -> str:
    size = spec.size
    return (
        f"{spec.form} {spec.load}, {size.workers} workers, {size.planners} planners, "
        f"{size.starts_per_s:g} starts/s, {size.running} running"
    )


def machine() -> str:
    """Cores and memory of this machine."""
    memory = psutil.virtual_memory().total / 2**30
    return f"{psutil.cpu_count()} cores, {memory:.1f} GB, {platform.system()} {platform.release()}"
