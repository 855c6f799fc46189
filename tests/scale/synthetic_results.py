"""Builds synthetic results for the capacity page tests: figures grow linearly, with small random noise."""

from __future__ import annotations

import random

from stairplank.scale import event_names as events
from stairplank.scale.results import EventTimes, PeerCost, PlannerCost, Results, Sample, Size

FORMS = ("platform", "grpc")
WORKERS, PLANNERS, RUNNING, STARTS = 820, 7, 6200, 52.0
IDLE_CPU, CPU_PER_WORKER, CPU_PER_START = 0.002, 0.00001, 0.0005
CPU_PER_TASK = 0.00001
NOISE = 0.01


def cost(size: Size, noise: float) -> PlannerCost:
    """Returns the cost of one planner at a site of the given size, scaled by `noise`."""
    running, starts = size.running / size.planners, size.starts_per_s / size.planners
    cpu = IDLE_CPU + CPU_PER_WORKER * size.workers + CPU_PER_TASK * running + CPU_PER_START * starts
    control = 100 + size.workers + 2 * running
    return PlannerCost(
        cpu_share=cpu * noise,
        memory_mb=(30 + 0.02 * size.workers + 0.01 * running) * noise,
        connections=min(running, 400),
        dials_per_s=running / 5,
        bytes_per_s=(control + 3000 * starts) * noise,
        control_bytes_per_s=control * noise,
        messages_per_s=running / 10 + 6 * starts,
        control_messages_per_s=running / 10,
        control_bytes_with_headers_per_s=2 * control * noise,
        task_machines=min(running, 500),
    )


def sample(form: str, load: str, size: Size, rng: random.Random, **more: object) -> Sample:
    noise = 1 + NOISE * (2 * rng.random() - 1)
    peers = PeerCost(2.0 * size.planners, 0.2 * size.planners, 100.0, 1.0, 0.01, 900.0, float(size.planners))
    return Sample(form, load, size, 10.0, planner=cost(size, noise), peers=peers, **more)  # type: ignore[arg-type]


def results(seed: int = 1) -> Results:
    """Returns a synthetic run with every series and some events."""
    rng = random.Random(seed)
    samples: list[Sample] = []

    def add(load: str, workers: int, planners: int, starts: float, running: int, **more: object) -> None:
        size = Size(workers, planners, starts, running)
        samples.extend(sample(form, load, size, rng, **more) for form in FORMS)

    for workers in (50, 200, 410, WORKERS):
        add("idle", workers, PLANNERS, 0.0, 0)
    for running in (1550, 3100, RUNNING):
        add("idle", WORKERS, PLANNERS, 0.0, running)
    for starts in (7.4, 26.0):
        add("steady", WORKERS, PLANNERS, starts, RUNNING)
    add("peak", WORKERS, PLANNERS, STARTS, RUNNING)
    for planners in (14, 28, 56):
        add("idle", WORKERS, planners, 0.0, RUNNING)
        add("steady", WORKERS, planners, 7.4, RUNNING)
    for changes in (1, 4, 16):
        add(f"{events.LIST_CHANGES}{changes}", WORKERS, PLANNERS, 7.4, RUNNING)
    known = EventTimes(known_s=6.5 + rng.random(), caught_up_s=20.0)
    add(events.RACK_FAILS, WORKERS, PLANNERS, 7.4, RUNNING, event=known, note="invented")
    return Results("invented", "8 cores, 16 GB", tuple(samples), seconds=300.0)
