"""Checks how a planner's work grows with its site, counted in simulated time.

The tests count connections, dials, messages, calls of the core and table sizes at sites of growing size. They
do not measure processor time, so the result is the same on any machine.
"""

from __future__ import annotations

import pytest
from counted_site import SECOND, CountedSite, Rates, machine_row

from stairplank.platform import link_checks
from stairplank.platform.messages import Kind, Message

SIZES = (50, 100, 200, 400, 820)
SMALL_SIZES = (50, 100, 200, 400)
TOLERANCE = 0.05
SETTLE_S, SPAN_S = 10.0, 45.0  # the span holds ten renewals of a connection
AFTER_ALL_S = 70.0  # longer than any table entry is kept; a release for a disconnected client is kept longest
STARTED = 40
# The planner checks a worker with no pending work at this interval, which is added to each renewal period.
CHECK_PERIOD_S = link_checks.CHECK_ROUNDS * link_checks.CHECK_INTERVAL_US / SECOND
SILENT_PERIOD_S = link_checks.REFRESH_US / SECOND + CHECK_PERIOD_S
ACTIVE_PERIOD_S = link_checks.RENEW_US / SECOND + CHECK_PERIOD_S


def busy_site(workers: int, busy: int, each: int = 1) -> CountedSite:
    """Returns a settled site with `each` tasks at each of `busy` workers."""
    site = CountedSite(workers)
    site.run_tasks_at(busy, each)
    site.run(SETTLE_S)
    return site


def test_an_idle_planner_costs_the_same_beside_any_number_of_workers() -> None:
    rates: list[Rates] = []
    for workers in SIZES:
        site = CountedSite(workers)
        site.run(SETTLE_S)
        rates.append(site.rates(SPAN_S))
        assert site.links_open() == 0
    assert rates[0].dials == rates[0].to_workers == rates[0].to_clients == rates[0].events == 0
    assert rates == [rates[0]] * len(SIZES)


@pytest.mark.parametrize("workers", SIZES)
def test_a_worker_with_no_pending_work_is_checked_once_per_interval(workers: int) -> None:
    """Guards against frequent checks of idle workers.

    With a large list they once used most of a planner's control budget.
    """
    site = CountedSite(workers)
    site.run(SETTLE_S)
    checked_names = site.record_machine_checks()
    site.run(SPAN_S)
    assert len(checked_names) == pytest.approx(workers * SPAN_S / CHECK_PERIOD_S, rel=TOLERANCE)
    busy = busy_site(workers, workers // 2)
    checked_names = busy.record_machine_checks()
    busy.run(SPAN_S)
    assert len(checked_names) == pytest.approx(workers * SPAN_S / CHECK_PERIOD_S, rel=TOLERANCE)


@pytest.mark.parametrize("workers", SIZES)
def test_dials_follow_the_workers_with_tasks(workers: int) -> None:
    busy = workers // 2
    site = busy_site(workers, busy)
    assert site.workers_with_tasks() == busy
    rates = site.rates(SPAN_S)
    assert rates.dials == pytest.approx(busy / SILENT_PERIOD_S, rel=TOLERANCE)
    assert rates.to_workers == rates.to_clients == 0
    # Each dial gives two events: a new connection, and its close once a newer one replaces it.
    assert rates.events == pytest.approx(2 * rates.dials, rel=TOLERANCE)


def test_dials_do_not_follow_idle_workers_nor_tasks_at_one_worker() -> None:
    busy = 50
    sites = [busy_site(100, busy), busy_site(400, busy), busy_site(100, busy, each=8)]
    dials = [site.rates(SPAN_S).dials for site in sites]
    assert dials == pytest.approx([busy / SILENT_PERIOD_S] * 3, rel=TOLERANCE)


def test_workers_that_send_messages_are_dialled_once_per_renewal() -> None:
    busy = 100
    site = busy_site(200, busy)
    before = site.counts().dials
    for _ in range(round(SPAN_S)):
        latest = {link.machine: link for link in site.core.links.links.values()}
        for link in latest.values():
            site.receive_from_machine(link.number, Message(Kind.STATUS_UPDATE, f"{link.machine:016x}"))
        site.run(1.0)
    dials = (site.counts().dials - before) / SPAN_S
    assert dials == pytest.approx(busy / ACTIVE_PERIOD_S, rel=TOLERANCE)


def test_calls_of_the_core_do_not_follow_the_workers() -> None:
    turns = [busy_site(workers, workers // 2).rates(SPAN_S).turns for workers in SMALL_SIZES]
    idle = CountedSite(SMALL_SIZES[0])
    idle.run(SETTLE_S)
    assert turns == [idle.rates(SPAN_S).turns] * len(SMALL_SIZES)


@pytest.mark.parametrize("workers", SIZES)
def test_open_links_follow_the_workers_with_tasks(workers: int) -> None:
    busy = workers // 2
    site = busy_site(workers, busy)
    open_links: list[int] = []
    for _ in range(90):  # samples every half second over ten renewals, so that the phase does not matter
        site.run(0.5)
        open_links.append(site.links_open())
    mean = sum(open_links) / len(open_links)
    # Each busy worker has one link, and the previous link stays open for one check interval per renewal.
    assert mean == pytest.approx(busy * (1 + CHECK_PERIOD_S / SILENT_PERIOD_S), rel=TOLERANCE)
    assert max(open_links) <= 2 * busy


@pytest.mark.parametrize("workers", SMALL_SIZES)
def test_messages_of_a_start_do_not_follow_the_workers(workers: int) -> None:
    site = CountedSite(workers)
    site.run(1.0)
    before = site.counts()
    site.end_tasks(site.start_tasks(STARTED))
    after = site.counts()
    assert after.to_workers - before.to_workers == 2 * STARTED  # one placement, one acknowledgement
    assert after.to_clients - before.to_clients == 2 * STARTED  # one answer, one release


@pytest.mark.parametrize("workers", SMALL_SIZES)
def test_tables_follow_the_tasks_and_empty_once_all_has_ended(workers: int) -> None:
    site = CountedSite(workers)
    site.run(1.0)
    idle = site.tables()
    busy = workers // 2
    site.run_tasks_at(busy, tasks_per_worker=2)
    started = site.start_tasks(STARTED)
    site.run(SETTLE_S)
    grown = {table: size - idle[table] for table, size in site.tables().items() if size > idle[table]}
    assert max(grown.values()) <= 2 * busy + STARTED
    assert 2 * busy + STARTED in grown.values()  # the table of tasks has one entry per task
    site.end_tasks(started)
    site.end_adopted()
    site.disconnect_client()
    site.run(AFTER_ALL_S)
    assert {table: size for table, size in site.tables().items() if size > idle[table]} == {}
    assert site.links_open() == 0 and site.rates(SPAN_S).dials == 0


@pytest.mark.parametrize("workers", SMALL_SIZES)
def test_a_change_of_the_list_costs_the_same_beside_any_number_of_workers(workers: int) -> None:
    site = busy_site(workers, 25)
    before = site.counts()
    for number in range(1, 11):
        site.list_update(machine_row(30 + number, spare=[8.0, 16.0]))
    after = site.counts()
    assert after.events - before.events == 10
    assert (after.to_workers, after.to_clients) == (before.to_workers, before.to_clients)
    assert after.dials == before.dials


@pytest.mark.parametrize("workers", SMALL_SIZES)
def test_removed_workers_cost_messages_only_for_their_own_tasks(workers: int) -> None:
    removed, each = 5, 4
    site = busy_site(workers, 25, each=each)
    before = site.counts()
    site.list_update(*(machine_row(number, "DELETED") for number in range(1, removed + 1)))
    site.run(link_checks.REMOVAL_GRACE_US / SECOND + 1.0)
    after = site.counts()
    assert after.to_clients - before.to_clients == removed * each  # one release per task
    assert after.to_workers - before.to_workers == removed * each  # one release each, in case it runs
    assert site.workers_with_tasks() == 25 - removed
    assert site.rates(SPAN_S).dials == pytest.approx((25 - removed) / SILENT_PERIOD_S, rel=TOLERANCE)
