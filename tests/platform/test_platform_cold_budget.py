"""Rule 4 for a whole cluster: all planners together respect the cold budget of a machine that starts.

The budget is N requests in the window of the settings; up to 2 x root of N + 2 more are accepted as random
variation. All requests that reach the machine are counted, also rejected, repeated and unanswered ones, and
also those of planners that did not know of the start yet. Health checks are not counted. Clients always send
far more tasks than the budget allows.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest
from cold_fleet import MS, SECOND, Fleet, MachineRun


@dataclass(frozen=True)
class Budget:
    planners: int
    offers: float  # N
    window_us: int
    cold_us: int
    tasks: int = 1  # new tasks for each planner in a step; larger budgets need more

    @property
    def allowed(self) -> float:
        return self.offers + 2 * self.offers**0.5 + 2

    def fleet(self, seed: int = 1, **changes: Any) -> Fleet:
        settings = {
            "planners": self.planners,
            "slow_start_offers": self.offers,
            "overload_window_us": self.window_us,
        }
        return Fleet(seed, **settings | {"slow_start_us": self.cold_us, "tasks": self.tasks} | changes)


SMALL = Budget(30, 5.0, 1_500 * MS, 10 * SECOND)
USUAL = Budget(30, 62.0, 1_500 * MS, 9 * SECOND)
LONG = Budget(30, 20.0, 3 * SECOND, 17 * SECOND)
SHORT = Budget(20, 130.0, 500 * MS, 8 * SECOND, tasks=2)
LARGE = Budget(24, 400.0, 2 * SECOND, 10 * SECOND, tasks=2)
BUDGETS = [SMALL, USUAL, LONG, SHORT, LARGE]
LATE_LISTS = (50 * MS, 3 * SECOND)
NEW = (20, 21)  # numbers of the machines that are added


def max_requests_per_start(
    fleet: Fleet, count: Callable[[MachineRun], list[int]] = lambda run: run.requests
) -> list[int]:
    """Return the largest number of requests in one window, for each cold start."""
    return [fleet.max_in_window(run, count(run)) for run in fleet.cold_runs()]


def add_new_machines(fleet: Fleet) -> None:
    fleet.run(SECOND // 2)
    for number in NEW:
        fleet.add_machine(number)


def restart_zone(fleet: Fleet, down_us: int = 5 * SECOND) -> None:
    """Have all machines of a zone vanish and come back cold at the same time."""
    fleet.run(SECOND)
    zone_machines = fleet.zone("zone-1")
    fleet.stop(*zone_machines)
    fleet.run(down_us)
    fleet.come_back(*zone_machines)
    fleet.run(fleet.settings.overload_window_us * 3 // 2 + SECOND // 2)


@pytest.mark.parametrize("budget", BUDGETS)
def test_a_new_machine_that_is_listed_at_different_times_stays_within_the_budget(budget: Budget) -> None:
    fleet = budget.fleet(list_delay_us=LATE_LISTS, skew_us=20 * MS)
    add_new_machines(fleet)
    fleet.run(2 * budget.window_us + 2 * SECOND)
    assert max(max_requests_per_start(fleet)) <= budget.allowed
    assert min(max_requests_per_start(fleet)) >= budget.offers / 4, "a cold machine is not starved"


@pytest.mark.parametrize("budget", [SMALL, USUAL, LONG, LARGE])
def test_restarted_planners_do_not_send_their_share_of_the_budget_again(budget: Budget) -> None:
    """Each planner is killed several times while the machine is cold, and learns of the start quickly."""
    fleet = budget.fleet(machines=1, list_delay_us=(50 * MS, 100 * MS))
    add_new_machines(fleet)
    for step in range(28):
        fleet.run(125 * MS)
        for position in range(budget.planners):
            if (position + step) % 4 == 0:
                fleet.kill(position, 50 * MS)
    assert max(max_requests_per_start(fleet)) <= budget.allowed


def test_a_rolling_restart_in_which_old_and_new_processes_overlap_stays_within_the_budget() -> None:
    """A tenth of the planners is restarted at a time. The new process starts at SIGTERM of the old one, which
    still places the tasks that it has accepted.
    """
    fleet = USUAL.fleet()
    add_new_machines(fleet)
    for first in range(0, USUAL.planners, 3):
        fleet.run(500 * MS)
        for position in range(first, first + 3):
            fleet.restart(position)
    assert max(max_requests_per_start(fleet)) <= USUAL.allowed


@pytest.mark.parametrize("budget", [USUAL, LARGE])
def test_fewer_running_planners_than_in_the_settings_stay_within_the_budget(budget: Budget) -> None:
    """Running planners use their own shares of the budget, and not the shares of missing planners."""
    fleet = budget.fleet(running=budget.planners // 3)
    add_new_machines(fleet)
    fleet.run(2 * budget.window_us + SECOND)
    assert min(max_requests_per_start(fleet)) > 0 and max(max_requests_per_start(fleet)) <= budget.allowed


@pytest.mark.parametrize("budget", [SMALL, LONG, LARGE])
def test_a_machine_that_leaves_the_list_and_comes_back_gets_no_second_budget(budget: Budget) -> None:
    """The machine has not restarted, so requests that were sent before it left the list still count."""
    fleet = budget.fleet()
    add_new_machines(fleet)
    new = [fleet.machines[number] for number in NEW]
    for _ in range(12):
        fleet.run(200 * MS)
        fleet.publish(*(machine.row("DELETED") for machine in new))
        fleet.run(200 * MS)
        fleet.publish(*(machine.row() for machine in new))
    assert max(max_requests_per_start(fleet)) <= budget.allowed


@pytest.mark.parametrize("budget", [SMALL, USUAL, LONG, SHORT])
def test_a_zone_that_comes_back_cold_at_once_stays_within_the_budget(budget: Budget) -> None:
    """The zone was down for 5 s, and planners learn of its restart up to 3 s late.

    A planner that sent nothing to the zone while it was down cannot know of the restart before; its requests
    count here too.
    """
    fleet = budget.fleet(machines=6, list_delay_us=LATE_LISTS)
    restart_zone(fleet)
    assert max(max_requests_per_start(fleet)) <= budget.allowed


def test_a_zone_that_comes_back_cold_with_slow_dials_stays_within_the_budget() -> None:
    fleet = SMALL.fleet(machines=6, dial_us=SECOND, dial_timeout_us=2 * SECOND)
    restart_zone(fleet)
    assert max(max_requests_per_start(fleet)) <= SMALL.allowed


def test_a_zone_that_comes_back_cold_before_all_planners_noticed_stays_within_the_budget() -> None:
    """After an outage of 2 s, some planners have neither missed an answer nor learnt of the restart.

    By the rule, their requests count only up to half the number of requests from informed planners.
    """
    fleet = LONG.fleet(machines=6)
    restart_zone(fleet, down_us=2 * SECOND)
    assert max(max_requests_per_start(fleet, lambda run: run.informed)) * 3 / 2 <= LONG.allowed


def test_health_checks_are_not_counted_as_requests() -> None:
    fleet = USUAL.fleet(may_check_health=True)
    add_new_machines(fleet)
    fleet.run(2 * USUAL.window_us + SECOND)
    assert min(run.probes for run in fleet.cold_runs()) > 0
    assert 0 < max(max_requests_per_start(fleet)) <= USUAL.allowed


def test_a_repeated_run_gives_the_same_counts() -> None:
    counts = []
    for _ in range(2):
        fleet = SHORT.fleet(list_delay_us=LATE_LISTS)
        add_new_machines(fleet)
        fleet.run(SECOND)
        counts.append([run.requests for run in fleet.cold_runs()])
    assert counts[0] == counts[1]
