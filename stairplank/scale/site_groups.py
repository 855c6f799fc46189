"""Groups the samples of a scale run by site and orders them. No I/O.

Each rate of starts needs a new site, because the running tasks of an earlier sample do not end by themselves.
An empty site can take any load, so its sample is taken first at another site of the same size.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .event_names import SETTINGS_EVENTS
from .plan import SampleSpec


@dataclass(frozen=True, slots=True)
class SiteKey:
    """The properties of a site: samples with equal keys are taken at the same site."""

    form: str
    workers: int
    planners: int
    starts_per_s: float
    event: str
    repeat: int

    def has_same_size(self, other: SiteKey) -> bool:
        """Whether both sites differ at most in their rate of starts."""
        return (self.form, self.workers, self.planners, self.event, self.repeat) == (
            other.form,
            other.workers,
            other.planners,
            other.event,
            other.repeat,
        )


def by_site(samples: Iterable[SampleSpec]) -> dict[SiteKey, list[SampleSpec]]:
    """Return the samples of each site in the order in which they are taken."""
    groups: dict[SiteKey, list[SampleSpec]] = {}
    for spec in samples:
        groups.setdefault(_key_of(spec), []).append(spec)
    for key in [key for key, specs in groups.items() if not key.event and all(map(_is_empty, specs))]:
        other = next((site for site in groups if site != key and site.has_same_size(key)), None)
        if other is not None:
            groups[other] += groups.pop(key)
    for specs in groups.values():
        specs.sort(key=_order)
    return groups


def _key_of(spec: SampleSpec) -> SiteKey:
    size, event = spec.size, spec.load if spec.is_event else ""
    if event in SETTINGS_EVENTS:
        event = SETTINGS_EVENTS[0]  # all settings events share one site
    return SiteKey(spec.form, size.workers, size.planners, size.starts_per_s, event, spec.repeat)


def _is_empty(spec: SampleSpec) -> bool:
    return not spec.size.running and not spec.size.starts_per_s


def _order(spec: SampleSpec) -> tuple[int, float, int]:
    """Sort key: fewer running tasks first, then fewer list changes; a restart of planners comes last."""
    event = SETTINGS_EVENTS.index(spec.load) if spec.load in SETTINGS_EVENTS else 0
    return spec.size.running, spec.list_changes_per_s, event
