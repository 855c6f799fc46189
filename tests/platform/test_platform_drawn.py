"""Drawn days keep rules 1 to 3, and the checker finds the faults that are planted."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from drawn_days import DrawnDay

from stairplank import interface as api
from stairplank.platform import attempts, client_requests, links, tables, task_table

SEEDS = range(12)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_on_a_drawn_day(seed: int) -> None:
    day = DrawnDay(seed)
    assert day.play() == []
    assert day.checker is not None
    answers = [task.answer for task in day.checker.asked.values()]
    assert answers.count("stands") + answers.count("over") > 20 and answers.count("refused") > 20


@pytest.mark.parametrize("seed", range(40))
def test_no_rule_is_broken_under_other_customers_settings(seed: int) -> None:
    """Classes, tenants, limits and times drawn as widely as the settings can say them."""
    day = DrawnDay(1000 + seed, strange=True)
    assert day.play(steps=600) == []


Plant = Callable[[pytest.MonkeyPatch], None]


def drains_are_not_looked_at(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(links.Links, "is_ready", lambda self, machine: machine in self.machines)
    patch.setattr(links.Links, "drop_waiting", lambda self, machine: None)
    patch.setattr(attempts.Attempts, "may_send", lambda self, request: True)


def what_waits_leaves_unchecked(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(attempts.Attempts, "may_send", lambda self, request: True)


def a_broken_connection_is_taken_for_proof(patch: pytest.MonkeyPatch) -> None:
    def broken(self: attempts.Attempts, attempt: tables.Attempt) -> None:
        self._finish(attempt, api.Result.NOT_SENT)

    patch.setattr(attempts.Attempts, "broken", broken)


def withdrawn_tasks_are_forgotten(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(task_table, "MAX_UNPROVEN", 0)


def the_same_id_goes_to_a_machine_again(patch: pytest.MonkeyPatch) -> None:
    class Forgets(dict):  # type: ignore[type-arg]
        def __contains__(self, key: object) -> bool:
            return False

    init = attempts.Attempts.__init__

    def made(self: attempts.Attempts, *args: object) -> None:
        init(self, *args)  # type: ignore[arg-type]
        self.table.by_machine_and_id = Forgets()

    patch.setattr(attempts.Attempts, "__init__", made)
    patch.setattr(task_table, "MAX_UNPROVEN", 0)


def refusals_are_not_told(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(client_requests.ClientRequests, "shed", lambda self, action: None)


@pytest.mark.parametrize(
    ("plant", "fault"),
    [
        (drains_are_not_looked_at, "drain"),
        (what_waits_leaves_unchecked, "window"),
        (a_broken_connection_is_taken_for_proof, "again"),
        (withdrawn_tasks_are_forgotten, "again"),
        (the_same_id_goes_to_a_machine_again, "copy"),
        (refusals_are_not_told, "lost"),
    ],
)
def test_the_checker_finds_what_is_planted(plant: Plant, fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    for seed in SEEDS:
        if any(found.startswith(fault) for found in DrawnDay(seed).play()):
            return
    pytest.fail("not found")
