"""How what a planner does grows with its site, counted in simulated time: the same verdict on any machine.

Never processor time: connections, dials, messages, calls of the core and sizes of tables, at growing sites.
"""

from __future__ import annotations

import pytest
from counted_site import SECOND, CountedSite, Rates, machine_row

from stairplank.platform import link_checks
from stairplank.platform.messages import Kind, Message

SIZES = (50, 100, 200, 400, 820)
SMALL_SIZES = (50, 100, 200, 400)
TOLERANCE = 0.05
SETTLE_S, SPAN_S = 10.0, 45.0  # ten renewals of a connection
AFTER_ALL_S = 70.0  # longer than anything is kept, the longest a release for a client that has gone
STARTED = 40
# A worker of which nothing is awaited is looked at this often, so a renewal waits so much longer.
LOOK_S = link_checks.CHECK_ROUNDS * link_checks.CHECK_INTERVAL_US / SECOND
SILENT_PERIOD_S = link_checks.REFRESH_US / SECOND + LOOK_S
HEARD_PERIOD_S = link_checks.RENEW_US / SECOND + LOOK_S


def standing(workers: int, busy: int, each: int = 1) -> CountedSite:
    """A site with tasks at so many workers, settled."""
    site = CountedSite(workers)
    site.run_tasks_at(busy, each)
    site.run(SETTLE_S)
    return site


def test_an_idle_planner_costs_the_same_beside_any_number_of_workers() -> None:
    found: list[Rates] = []
    for workers in SIZES:
        site = CountedSite(workers)
        site.run(SETTLE_S)
        found.append(site.rates(SPAN_S))
        assert site.links_open() == 0
    assert found[0].dials == found[0].to_workers == found[0].to_clients == found[0].events == 0
    assert found == [found[0]] * len(SIZES)


@pytest.mark.parametrize("workers", SIZES)
def test_a_worker_of_which_nothing_is_awaited_is_looked_at_now_and_then(workers: int) -> None:
    """A large list with nothing to do once took a planner most of what it may spend for control."""
    site = CountedSite(workers)
    site.run(SETTLE_S)
    looks = site.count_looks()
    site.run(SPAN_S)
    assert len(looks) == pytest.approx(workers * SPAN_S / LOOK_S, rel=TOLERANCE)
    busy = standing(workers, workers // 2)
    looks = busy.count_looks()
    busy.run(SPAN_S)
    assert len(looks) == pytest.approx(workers * SPAN_S / LOOK_S, rel=TOLERANCE)


@pytest.mark.parametrize("workers", SIZES)
def test_dials_follow_the_workers_with_tasks(workers: int) -> None:
    busy = workers // 2
    site = standing(workers, busy)
    assert site.workers_with_tasks() == busy
    rates = site.rates(SPAN_S)
    assert rates.dials == pytest.approx(busy / SILENT_PERIOD_S, rel=TOLERANCE)
    assert rates.to_workers == rates.to_clients == 0
    # Each dial comes up and its connection is closed once a newer one is there.
    assert rates.events == pytest.approx(2 * rates.dials, rel=TOLERANCE)


def test_dials_do_not_follow_idle_workers_nor_tasks_at_one_worker() -> None:
    busy = 50
    sites = [standing(100, busy), standing(400, busy), standing(100, busy, each=8)]
    dials = [site.rates(SPAN_S).dials for site in sites]
    assert dials == pytest.approx([busy / SILENT_PERIOD_S] * 3, rel=TOLERANCE)


def test_workers_that_are_heard_are_dialled_once_a_renewal() -> None:
    busy = 100
    site = standing(200, busy)
    before = site.counts().dials
    for _ in range(round(SPAN_S)):
        latest = {link.machine: link for link in site.core.links.links.values()}
        for link in latest.values():
            site.receive_from_machine(link.number, Message(Kind.STATUS_UPDATE, f"{link.machine:016x}"))
        site.run(1.0)
    dials = (site.counts().dials - before) / SPAN_S
    assert dials == pytest.approx(busy / HEARD_PERIOD_S, rel=TOLERANCE)


def test_calls_of_the_core_do_not_follow_the_workers() -> None:
    turns = [standing(workers, workers // 2).rates(SPAN_S).turns for workers in SMALL_SIZES]
    idle = CountedSite(SMALL_SIZES[0])
    idle.run(SETTLE_S)
    assert turns == [idle.rates(SPAN_S).turns] * len(SMALL_SIZES)


@pytest.mark.parametrize("workers", SIZES)
def test_open_links_follow_the_workers_with_tasks(workers: int) -> None:
    busy = workers // 2
    site = standing(workers, busy)
    open_links: list[int] = []
    for _ in range(90):  # every half second over ten renewals, whatever the phase
        site.run(0.5)
        open_links.append(site.links_open())
    mean = sum(open_links) / len(open_links)
    # One, and for a look of each renewal the one before it.
    assert mean == pytest.approx(busy * (1 + LOOK_S / SILENT_PERIOD_S), rel=TOLERANCE)
    assert max(open_links) <= 2 * busy


@pytest.mark.parametrize("workers", SMALL_SIZES)
def test_messages_of_a_start_do_not_follow_the_workers(workers: int) -> None:
    site = CountedSite(workers)
    site.run(1.0)
    before = site.counts()
    site.end_tasks(site.start_tasks(STARTED))
    after = site.counts()
    assert after.to_workers - before.to_workers == 2 * STARTED  # the set-up; that its end was heard
    assert after.to_clients - before.to_clients == 2 * STARTED  # the answer; the release


@pytest.mark.parametrize("workers", SMALL_SIZES)
def test_tables_follow_the_tasks_and_empty_once_all_has_ended(workers: int) -> None:
    site = CountedSite(workers)
    site.run(1.0)
    idle = site.tables()
    busy = workers // 2
    site.run_tasks_at(busy, each=2)
    started = site.start_tasks(STARTED)
    site.run(SETTLE_S)
    grown = {table: size - idle[table] for table, size in site.tables().items() if size > idle[table]}
    assert max(grown.values()) <= 2 * busy + STARTED
    assert 2 * busy + STARTED in grown.values()  # the tasks themselves
    site.end_tasks(started)
    site.end_adopted()
    site.leave()
    site.run(AFTER_ALL_S)
    assert {table: size for table, size in site.tables().items() if size > idle[table]} == {}
    assert site.links_open() == 0 and site.rates(SPAN_S).dials == 0


@pytest.mark.parametrize("workers", SMALL_SIZES)
def test_a_change_of_the_list_costs_the_same_beside_any_number_of_workers(workers: int) -> None:
    site = standing(workers, 25)
    before = site.counts()
    for number in range(1, 11):
        site.list_update(machine_row(30 + number, spare=[8.0, 16.0]))
    after = site.counts()
    assert after.events - before.events == 10
    assert (after.to_workers, after.to_clients) == (before.to_workers, before.to_clients)
    assert after.dials == before.dials


@pytest.mark.parametrize("workers", SMALL_SIZES)
def test_workers_that_go_cost_what_stood_at_them(workers: int) -> None:
    gone, each = 5, 4
    site = standing(workers, 25, each=each)
    before = site.counts()
    site.list_update(*(machine_row(number, "DELETED") for number in range(1, gone + 1)))
    site.run(link_checks.REMOVAL_GRACE_US / SECOND + 1.0)
    after = site.counts()
    assert after.to_clients - before.to_clients == gone * each  # a release of each task
    assert after.to_workers - before.to_workers == gone * each  # each is told to end, should it run on
    assert site.workers_with_tasks() == 25 - gone
    assert site.rates(SPAN_S).dials == pytest.approx((25 - gone) / SILENT_PERIOD_S, rel=TOLERANCE)
