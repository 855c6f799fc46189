"""Groups through the core: messages to nodes and clients, broken links, restarts, cancellations."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "planner"))

from world import MS, SECOND, World  # noqa: E402

from stairplank import interface as api  # noqa: E402
from stairplank.groups.config import GroupConfig  # noqa: E402
from stairplank.planner import events as ev  # noqa: E402


class Groups(World):
    acknowledges_renewals = True

    def feed(self, event: ev.Event) -> list[Any]:
        """Nodes acknowledge renewals at once, unless ``acknowledges_renewals`` says otherwise."""
        out = super().feed(event)
        for renewal in [a for a in out if isinstance(a, ev.SendLeaseRenewal)]:
            if self.acknowledges_renewals:
                super().feed(ev.LeasesRenewed(renewal.node, renewal.renewal))
        return out

    def group(
        self, n: int = 1, count: int = 3, task_class: str = "worker", wait: int = 9 * SECOND, **more: Any
    ) -> list[Any]:
        members = tuple(self.task_spec(100 * n + i, task_class, service=50 + n) for i in range(count))
        return self.feed(ev.GroupRequested(1, n, more.pop("members", members), wait, **more))

    def offers(self) -> list[ev.SendOffer]:
        return self.actions_of(ev.SendOffer)

    def ready(self, *offers: ev.SendOffer) -> None:
        for offer in offers:
            self.feed(ev.NodeAccepted(offer.node, offer.id))
            self.feed(ev.NodeReady(offer.node, offer.id))

    def run(self, *offers: ev.SendOffer) -> None:
        for offer in offers:
            self.feed(ev.NodeRunning(offer.node, offer.id))

    def complete(self, **more: Any) -> list[ev.SendOffer]:
        self.group(**more)
        offers = self.offers()
        self.ready(*offers)
        self.run(*offers)
        return offers

    def stops(self) -> set[Any]:
        return {s.id for s in self.actions_of(ev.SendStop)}

    def quiet(self) -> bool:
        core = self.core
        return self.is_empty() and not core.groups.records and not core.groups.coordinator.groups


def test_a_group_from_request_to_end() -> None:
    w = Groups()
    w.group()
    offers = w.offers()
    assert [o.group.member for o in offers] == [0, 1, 2] and {o.group.size for o in offers} == {3}  # type: ignore[union-attr]
    assert w.client_messages(ev.Admitted) == [ev.Admitted(1, 1)] and w.client_messages(ev.Offered) == []
    w.ready(*offers[:2])
    assert w.actions_of(ev.SendCommit) == []
    w.ready(offers[2])
    assert {i for c in w.actions_of(ev.SendCommit) for i in c.ids} == {o.id for o in offers}
    w.run(*offers)
    (placed,) = w.client_messages()
    assert isinstance(placed, ev.GroupPlaced) and dict(placed.bindings) == {
        i: o.node for i, o in enumerate(offers)
    }
    for o in offers:
        w.feed(ev.NodeEnded(o.node, o.id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert [type(x).__name__ for x in w.client_messages()[1:]] == ["MemberEnded"] * 3 + ["GroupEnded"]
    assert w.client_messages()[-1].finished and w.quiet()


def test_a_rejected_member_releases_all_before_the_next_attempt() -> None:
    w = Groups()
    w.group()
    offers = w.offers()
    w.ready(*offers[:2])
    w.feed(ev.NodeRejected(offers[2].node, offers[2].id, api.Reason.NO_CORES))
    w.wait(4 * SECOND)  # the module tries elsewhere, and then the try's time is over
    first = {o.id for o in offers[:2]}
    assert first <= w.stops()
    before = len([o for o in w.offers() if o.id.attempt == 0])
    assert before == 3  # no member is offered anew while two are still held
    for o in w.offers():
        if o.id in w.core.attempts.attempts:
            w.feed(ev.NodeRejected(o.node, o.id, api.Reason.NOT_HERE))
    w.wait(4 * SECOND)
    assert len([o for o in w.offers() if o.id.attempt == 0]) >= 6
    assert w.client_messages(ev.GroupAttempted) and w.actions_of(ev.SendCommit) == []


@pytest.mark.parametrize("task_class", ["worker", "report", "ingest"])
def test_one_member_is_unresponsive(task_class: str) -> None:
    """It was never committed, so whatever its class it may be retried; its late message is rejected."""
    w = Groups(nodes=5)
    w.group(task_class=task_class)
    offers = w.offers()
    w.ready(*offers[:2])
    w.wait(4 * SECOND)
    assert offers[2].id in w.stops()
    for o in offers[:2]:
        w.feed(ev.NodeRejected(o.node, o.id, api.Reason.NOT_HERE))
    w.wait(5 * SECOND)
    assert w.client_messages(ev.GroupFailed) == [] and len(w.offers()) > 3
    w.actions.clear()
    w.feed(ev.NodeReady(offers[2].node, offers[2].id))
    assert w.actions_of(ev.SendCommit) == [] and (
        w.actions_of(ev.SendStop) or w.actions_of(ev.RequestNodeTasks)
    )


def test_a_node_is_lost_after_two_members_started() -> None:
    w = Groups(nodes=4)
    w.group(task_class="report")
    offers = w.offers()
    w.ready(*offers)
    w.run(*offers[:2])
    w.feed(ev.LinkDown(offers[1].node))
    w.wait(1100 * MS)
    assert {offers[0].id, offers[2].id} <= w.stops() | {o.id for o in offers if o.node == offers[1].node}
    for o in offers:
        if o.id in w.core.attempts.attempts:
            w.feed(ev.NodeEnded(o.node, o.id, api.Result.CANCELLED, api.Reason.UNTOLD))
    assert [type(x) for x in w.client_messages()] == [ev.GroupFailed]  # once-only members were let run


def test_a_node_drains_while_a_group_starts() -> None:
    w = Groups(nodes=4)
    w.group()
    offers = w.offers()
    w.ready(*offers)
    w.run(*offers)
    gone = offers[0]
    w.feed(ev.NodeDraining(gone.node))
    w.feed(ev.NodeEnded(gone.node, gone.id, api.Result.LOST, api.Reason.SENT_AWAY))
    rest = {o.id for o in offers[1:]}
    assert rest <= w.stops()
    for o in offers[1:]:
        w.feed(ev.NodeEnded(o.node, o.id, api.Result.CANCELLED, api.Reason.UNTOLD))
    words = w.client_messages()
    assert isinstance(words[0], ev.GroupPlaced) and words[-1] == ev.GroupEnded(1, False) and w.quiet()


@pytest.mark.parametrize("steps", range(8))
def test_cancellation_at_every_step(steps: int) -> None:
    w = Groups()
    w.group()
    offers = w.offers()
    doing = [lambda o=o: w.ready(o) for o in offers] + [lambda o=o: w.run(o) for o in offers]
    for do in doing[:steps]:
        do()
    w.feed(ev.PlacementCancelled(1, 1))
    assert w.stops() == {o.id for o in offers}
    for o in offers:
        run = offers.index(o) + 3 < steps
        w.feed(
            ev.NodeEnded(o.node, o.id, api.Result.CANCELLED, api.Reason.UNTOLD)
            if run
            else ev.NodeRejected(o.node, o.id, api.Reason.NOT_HERE)
        )
    assert w.quiet()
    assert [x for x in w.client_messages() if isinstance(x, (ev.GroupShed, ev.GroupFailed))] == []


def test_a_release_that_is_not_reported_ends_in_bounded_time() -> None:
    w = Groups()
    w.group(wait=3 * SECOND)
    offers = w.offers()
    w.ready(*offers[:2])
    w.wait(20 * SECOND)
    assert [type(x) for x in w.client_messages() if not isinstance(x, ev.GroupAttempted)] == [ev.GroupShed]
    assert w.quiet()


def test_a_disconnected_client_loses_reserving_groups_and_keeps_running_ones() -> None:
    w = Groups()
    complete = w.complete(n=1, count=2)
    w.actions.clear()
    w.group(n=2, count=2)
    reserving = w.offers()
    w.feed(ev.ClientDisconnected(1))
    assert w.stops() == {o.id for o in reserving}
    w.wait(5 * SECOND)
    assert w.actions_of(ev.SendLeaseRenewal) and {o.id for o in complete} <= set(w.core.attempts.attempts)


def test_an_infeasible_group_is_shed_at_once() -> None:
    w = Groups(nodes=2)
    big = tuple(w.task_spec(i, cores=12.0) for i in (1, 2, 3))
    w.group(members=big)
    (word,) = w.client_messages()
    assert isinstance(word, ev.GroupShed) and word.never and "cores" in word.reason and w.quiet()


def test_invalid_groups_name_the_field() -> None:
    w = Groups()
    w.group(n=1, members=(w.task_spec(1), w.task_spec(1)))
    w.group(n=2, members=(w.task_spec(1), w.task_spec(2, cores=-1.0)))
    w.group(n=3, same_rack=True, distinct_racks=True)
    w.group(n=4, min_members=9)
    w.group(n=5, members=(w.task_spec(1, client="else"),))
    fields = [x.rejection.field for x in w.client_messages(ev.Rejected)]
    assert fields == ["members[1].key", "members[1].cores", "distinct_racks", "least", "members[0].owner"]
    w.request_running(6)
    w.group(n=7, members=(w.task_spec(6), w.task_spec(7)))
    assert w.client_messages(ev.Rejected)[-1].rejection.code == "ALREADY_EXISTS" and not w.core.groups.records


def test_groups_are_bounded() -> None:
    w = Groups(groups=GroupConfig(max_groups=1))
    w.group(n=1)
    w.group(n=2)
    assert w.client_messages(ev.Rejected)[0].rejection.code == "RESOURCE_EXHAUSTED"


def test_a_group_with_a_member_of_every_class() -> None:
    w = Groups(nodes=4)
    task_classes = ("worker", "ingest", "report", "apart")
    w.group(
        members=tuple(
            w.task_spec(i + 1, task_class, service=9 + i) for i, task_class in enumerate(task_classes)
        )
    )
    offers = w.offers()
    assert len(offers) == 4
    w.ready(*offers)
    w.run(*offers)
    assert isinstance(w.client_messages()[0], ev.GroupPlaced)


# A planner that was killed


def reported(offers: list[ev.SendOffer], running: set[int], life: int = 3) -> dict[int, list[ev.NodeTask]]:
    """What nodes report of a group of an earlier incarnation."""
    out: dict[int, list[ev.NodeTask]] = {}
    for m, o in enumerate(offers):
        assert o.group is not None
        id = ev.AttemptId(life, o.id.placement, 0)
        tag = o.group._replace(incarnation=life)
        out.setdefault(o.node, []).append(ev.NodeTask(id, o.task, m in running, tag))
    return out


@pytest.mark.parametrize("running", [set(), {0}, {0, 1}, {0, 1, 2}])
def test_after_a_restart_a_group_goes_on_complete_or_is_released(running: set[int]) -> None:
    earlier = Groups(nodes=4)
    earlier.group()
    w = Groups(nodes=4, incarnation=8)
    for node, held in reported(earlier.offers(), running).items():
        w.feed(ev.LinkDown(node))
        w.connect_node(node, held=held)
    ids = {h.id for held in reported(earlier.offers(), running).values() for h in held}
    if len(running) == 3:
        w.wait(30 * SECOND)
        assert w.stops() == set() and set(w.core.attempts.attempts) == ids
        assert len(w.client_messages(ev.TaskRecovered)) == 3
        assert {i for k in w.actions_of(ev.SendLeaseRenewal) for i in k.ids} == ids
        one = next(iter(w.core.attempts.attempts.values()))
        w.feed(ev.NodeEnded(one.node, one.id, api.Result.LOST, api.Reason.EVICTED))
        assert w.stops() == ids - {one.id}
    else:
        w.wait(1100 * MS)
        assert w.stops() == ids and not w.core.attempts.attempts


def test_shutdown_sheds_reserving_groups() -> None:
    w = Groups(stop_grace_us=SECOND)
    w.group()
    offers = w.offers()
    w.feed(ev.ShutdownRequested())
    assert isinstance(w.client_messages()[0], ev.GroupShed) and w.stops() == {o.id for o in offers}
    for o in offers:
        w.feed(ev.NodeRejected(o.node, o.id, api.Reason.NOT_HERE))
    assert w.core.finished and w.quiet()


def test_the_number_of_timers_stays_bounded() -> None:
    w = Groups(nodes=4)
    w.complete()
    before = len(w.core.context._timers)
    for _ in range(200):
        for o in w.offers():
            w.feed(ev.NodeUsage(o.node, o.id, 0.5, 0.5, 0.0, 0.0))
        w.wait(100 * MS)
    assert len(w.core.context._timers) <= before + 3
    assert len(w.actions_of(ev.SendLeaseRenewal)) < 200  # once in 0.4 s to each node, not once a message


@pytest.mark.parametrize("answered", [True, False])
def test_members_whose_renewals_are_not_acknowledged_are_released_with_their_group(answered: bool) -> None:
    """Danger: renewals are held on the way to one node; its members end there, the others run on alone."""
    w = Groups()
    w.complete()
    w.acknowledges_renewals = answered
    began = w.now
    w.wait(900 * MS)
    assert not w.stops()
    w.wait(15 * SECOND)
    assert bool(w.stops()) is not answered and bool(w.core.counts.get("leases_over")) is not answered
    assert w.now > began and len(w.core.leases.pending_renewals) <= 3
    if not answered:
        assert [e.finished for e in w.client_messages(ev.GroupEnded)] == [False]


def test_a_late_acknowledgement_extends_a_lease_from_when_its_renewal_was_sent() -> None:
    w = Groups()
    w.complete()
    w.acknowledges_renewals = False
    w.wait(1100 * MS)
    first = w.actions_of(ev.SendLeaseRenewal)[0]
    held = [a for a in w.core.attempts.attempts.values() if a.node == first.node]
    until = held[0].leased_until
    w.feed(ev.LeasesRenewed(first.node, first.renewal))  # sent a second ago
    assert held[0].leased_until <= max(until, w.now - 900 * MS + first.lease_us)


def test_unacknowledged_renewals_are_bounded() -> None:
    from stairplank.planner.leases import MAX_PENDING_RENEWALS

    w = Groups()
    for _ in range(200):
        w.core.leases.renew(1, (), SECOND)
    assert len(w.core.leases.pending_renewals[1]) == MAX_PENDING_RENEWALS
    w.feed(ev.LinkDown(1))
    assert not w.core.leases.pending_renewals


def test_members_that_finished_while_no_planner_was_connected_are_not_lost() -> None:
    """Danger: the rest of a group that is almost done would be released as half a group."""
    for is_reported in (True, False):
        earlier = Groups(nodes=4)
        earlier.group()
        w = Groups(nodes=4, incarnation=8)
        held = reported(earlier.offers(), {1, 2})
        for node, tasks in held.items():
            done = tuple(h for h in tasks if h.group is not None and h.group.member == 0 and is_reported)
            running = tuple(h for h in tasks if h.running)
            w.feed(ev.NodeTasksReported(node, 0, running, True, w.now, done))
        w.wait(3 * SECOND)
        assert bool(w.stops()) is not is_reported
        if is_reported:
            assert w.core.counts["groups_found"] == 1
            for node, tasks in held.items():
                for h in tasks:
                    if h.running:
                        w.feed(ev.NodeEnded(node, h.id, api.Result.FINISHED, api.Reason.UNTOLD))
            assert w.core.counts["groups_finished"] == 1 and not w.core.groups.records
