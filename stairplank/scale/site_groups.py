"""Which samples of a scale run are taken at one site, and in which order. No I/O.

A site is started anew for each rate of starts, as tasks that were placed to stand do not end by themselves.
An empty site can take up any load, so its sample comes first at the next site of the same size.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .event_names import SETTINGS_EVENTS
from .plan import SampleSpec


@dataclass(frozen=True, slots=True)
class SiteKey:
    """Samples that agree in these are taken at one site."""

    form: str
    workers: int
    planners: int
    starts_per_s: float
    event: str
    repeat: int

    def is_size_of(self, other: SiteKey) -> bool:
        """Whether both sites are built alike."""
        return (self.form, self.workers, self.planners, self.event, self.repeat) == (
            other.form,
            other.workers,
            other.planners,
            other.event,
            other.repeat,
        )


def by_site(samples: Iterable[SampleSpec]) -> dict[SiteKey, list[SampleSpec]]:
    """The samples of each site in the order in which they are taken."""
    groups: dict[SiteKey, list[SampleSpec]] = {}
    for spec in samples:
        groups.setdefault(_key_of(spec), []).append(spec)
    for key in [key for key, specs in groups.items() if not key.event and all(map(_is_empty, specs))]:
        other = next((each for each in groups if each != key and each.is_size_of(key)), None)
        if other is not None:
            groups[other] += groups.pop(key)
    for specs in groups.values():
        specs.sort(key=_order)
    return groups


def _key_of(spec: SampleSpec) -> SiteKey:
    size, event = spec.size, spec.load if spec.is_event else ""
    if event in SETTINGS_EVENTS:
        event = SETTINGS_EVENTS[0]  # all at one site
    return SiteKey(spec.form, size.workers, size.planners, size.starts_per_s, event, spec.repeat)


def _is_empty(spec: SampleSpec) -> bool:
    return not spec.size.running and not spec.size.starts_per_s


def _order(spec: SampleSpec) -> tuple[int, float, int]:
    """The sample with fewest running tasks first; a restart of planners last."""
    event = SETTINGS_EVENTS.index(spec.load) if spec.load in SETTINGS_EVENTS else 0
    return spec.size.running, spec.list_changes_per_s, event
