"""Random event sequences break none of rules 1 to 3, and the checker finds faults that a test injects."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from random_days import RandomDay

from stairplank import interface as api
from stairplank.platform import attempts, client_requests, links, tables, task_table

SEEDS = range(12)
# Some faults need a rare order of events, which about one sequence in thirty has.
INJECTION_SEEDS = range(160)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_in_a_random_sequence(seed: int) -> None:
    day = RandomDay(seed)
    assert day.play() == []
    assert day.checker is not None
    answers = [task.answer for task in day.checker.requests.values()]
    assert answers.count("running") + answers.count("ended") > 20 and answers.count("rejected") > 20


@pytest.mark.parametrize("seed", range(40))
def test_no_rule_is_broken_with_random_settings(seed: int) -> None:
    """Classes, tenants, limits and times are random, over a wide range of what the settings allow."""
    day = RandomDay(1000 + seed, uses_random_settings=True)
    assert day.play(steps=600) == []


InjectFault = Callable[[pytest.MonkeyPatch], None]


def ignore_drains(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(links.Links, "is_ready", lambda self, machine: machine in self.machines)
    patch.setattr(links.Links, "drop_waiting", lambda self, machine: None)
    patch.setattr(attempts.Attempts, "may_send", lambda self, request: True)


def send_waiting_requests_unchecked(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(attempts.Attempts, "may_send", lambda self, request: True)


def treat_broken_connection_as_not_sent(patch: pytest.MonkeyPatch) -> None:
    def broken(self: attempts.Attempts, attempt: tables.Attempt) -> None:
        self._finish(attempt, api.Result.NOT_SENT)

    patch.setattr(attempts.Attempts, "broken", broken)


def forget_withdrawn_tasks(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(task_table, "MAX_UNPROVEN", 0)


def send_same_id_to_a_machine_again(patch: pytest.MonkeyPatch) -> None:
    class AlwaysMissing(dict):  # type: ignore[type-arg]
        def __contains__(self, key: object) -> bool:
            return False

    original_init = attempts.Attempts.__init__

    def init_with_empty_table(self: attempts.Attempts, *args: object) -> None:
        original_init(self, *args)  # type: ignore[arg-type]
        self.table.by_machine_and_id = AlwaysMissing()

    patch.setattr(attempts.Attempts, "__init__", init_with_empty_table)
    patch.setattr(task_table, "MAX_UNPROVEN", 0)


def drop_rejections(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(client_requests.ClientRequests, "shed", lambda self, action: None)


@pytest.mark.parametrize(
    ("inject_fault", "fault"),
    [
        (ignore_drains, "drain"),
        (send_waiting_requests_unchecked, "window"),
        (treat_broken_connection_as_not_sent, "again"),
        (forget_withdrawn_tasks, "again"),
        (send_same_id_to_a_machine_again, "copy"),
        (drop_rejections, "lost"),
    ],
)
def test_the_checker_finds_injected_faults(
    inject_fault: InjectFault, fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    inject_fault(monkeypatch)
    for seed in INJECTION_SEEDS:
        if any(found.startswith(fault) for found in RandomDay(seed).play()):
            return
    pytest.fail("the checker found no such fault with any seed")
