"""Placement of streams that are bound to a version, and denial of those of unknown origin."""

from dataclasses import replace

import pytest

from celeryrun.continuity import Bound, Unknown
from celeryrun.scheduling import BROKEN, COMPLETE, CRASHED, UNREACHABLE, SlotReleased
from celeryrun.scheduling.tests.builders import build_scheduler, build_slot_request, build_target


class Knowledge:
    """Origins and list of targets of which a scheduler asks."""

    def __init__(self, confirmed_at=float("inf")):
        self.versions_by_stream = {}
        self.confirmed_at = confirmed_at
        self.asked_to_confirm = 0

    def resolve(self, slot_request, arrived, now, is_last):
        version = slot_request.version or self.versions_by_stream.get(slot_request.stream)
        return Unknown("nobody knows") if version is None else Bound(version, "recorded", 0.0)

    def confirm(self):
        self.asked_to_confirm += 1


def build_mixed_scheduler(knowledge=None, targets=None):
    knowledge = knowledge or Knowledge()
    if targets is None:
        targets = [build_target("a"), build_target("b", version="v2")]
    return build_scheduler(
        *targets,
        resolve_origin=knowledge.resolve,
        list_confirmed_at=lambda pool: knowledge.confirmed_at,
        confirm_list=knowledge.confirm,
    )


def begin(scheduler, number, now):
    """Grant a stream that brings its first event; return the grant."""
    scheduler.submit("n", build_slot_request(number), now)
    (grant,), _ = plan(scheduler, now)
    scheduler.report_first_byte(grant.grant_id, 0.2, now + 0.2)
    return grant


def list_instead(scheduler, *targets):
    """Replace the targets of a scheduler's pool."""
    scheduler._targets = lambda pool: targets


def plan(scheduler, now):
    grants, denials = scheduler.plan("model", now)
    return [grant for _, grant in grants], [denial for _, denial in denials]


@pytest.mark.parametrize("version, target", [("v1", "a"), ("v2", "b")])
def test_bound_stream_gets_a_target_of_its_version_only(version, target):
    scheduler = build_mixed_scheduler()
    for number in range(4):
        scheduler.submit("n", build_slot_request(number, stream=9, version=version), 0.0)
    grants, _ = plan(scheduler, 0.0)
    assert [grant.target for grant in grants] == [target, target]
    assert {grant.version for grant in grants} == {version}


def test_new_stream_gets_any_target_and_is_bound_to_none():
    scheduler = build_mixed_scheduler()
    for number in range(4):
        scheduler.submit("n", build_slot_request(number, stream=number + 1), 0.0)
    grants, _ = plan(scheduler, 0.0)
    assert sorted(grant.target for grant in grants) == ["a", "a", "b", "b"]
    assert {grant.version for grant in grants} == {""}


def test_resumed_stream_gets_the_version_that_is_recorded():
    knowledge = Knowledge()
    knowledge.versions_by_stream[9] = "v2"
    scheduler = build_mixed_scheduler(knowledge)
    scheduler.submit("n", build_slot_request(1, stream=9, resumed=True), 0.0)
    (grant,), _ = plan(scheduler, 0.0)
    assert (grant.target, grant.version) == ("b", "v2")


def test_resumed_stream_waits_for_its_origin_and_lets_others_pass():
    knowledge = Knowledge()
    scheduler = build_mixed_scheduler(knowledge)
    scheduler.submit("n", build_slot_request(1, stream=9, resumed=True), 0.0)
    scheduler.submit("n", build_slot_request(2), 0.0)
    grants, denials = plan(scheduler, 0.0)
    assert [grant.slot_request_id for grant in grants] == [2] and not denials
    knowledge.versions_by_stream[9] = "v1"
    grants, _ = plan(scheduler, 0.4)
    assert [(grant.slot_request_id, grant.target) for grant in grants] == [(1, "a")]


def test_resumed_stream_of_unknown_origin_is_denied():
    scheduler = build_mixed_scheduler()
    scheduler.submit("n", build_slot_request(1, stream=9, resumed=True), 0.0)
    assert plan(scheduler, 0.5) == ([], [])
    grants, (denial,) = plan(scheduler, 1.0)
    assert not grants and denial.kind == "stream-version" and denial.retry_after > 0
    assert not scheduler.queues_by_pool["model"]


@pytest.mark.parametrize("left", ["cancelled", "node-gone"])
def test_resumed_stream_whose_caller_left_is_forgotten(left):
    knowledge = Knowledge()
    scheduler = build_mixed_scheduler(knowledge)
    scheduler.submit("n", build_slot_request(1, stream=9, resumed=True), 0.0)
    if left == "cancelled":
        scheduler.cancel("n", 1)
    else:
        scheduler.drop_node("n", 0.1)
    knowledge.versions_by_stream[9] = "v1"
    scheduler.submit("m", build_slot_request(2), 0.2)
    grants, denials = plan(scheduler, 0.2)
    assert [grant.slot_request_id for grant in grants] == [2] and not denials


def test_idle_target_is_certain_once_the_list_was_read_after_the_request():
    knowledge = Knowledge(confirmed_at=9.0)
    scheduler = build_mixed_scheduler(knowledge)
    scheduler.submit("n", build_slot_request(1, stream=9, version="v1"), 10.0)
    assert plan(scheduler, 10.0) == ([], []) and knowledge.asked_to_confirm
    knowledge.confirmed_at = 10.01
    grants, _ = plan(scheduler, 11.9)
    assert [grant.target for grant in grants] == ["a"]


def test_target_at_work_since_the_list_was_read_is_certain():
    knowledge = Knowledge(confirmed_at=9.0)
    scheduler = build_mixed_scheduler(knowledge, [build_target("a", slots=3)])
    begin(scheduler, 1, 5.0)
    scheduler.submit("n", build_slot_request(2, stream=9, version="v1"), 10.0)
    grants, _ = plan(scheduler, 10.0)
    assert [grant.target for grant in grants] == ["a"] and not knowledge.asked_to_confirm


def test_target_whose_other_streams_outlast_a_break_stays_certain():
    knowledge = Knowledge(confirmed_at=9.0)
    scheduler = build_mixed_scheduler(knowledge, [build_target("a", slots=4)])
    broken, completing = (begin(scheduler, number, 5.0) for number in (1, 2))
    begin(scheduler, 3, 9.7)
    scheduler.release(SlotReleased(broken.grant_id, BROKEN, 5.0), 10.0)
    scheduler.submit("n", build_slot_request(4, stream=9, version="v1", retry=True), 10.0)
    assert plan(scheduler, 10.0) == ([], [])
    scheduler.release(SlotReleased(completing.grant_id, COMPLETE, 5.2, 10), 10.2)
    grants, _ = plan(scheduler, 10.2)
    assert [grant.target for grant in grants] == ["a"]


@pytest.mark.parametrize("outcome", [BROKEN, CRASHED, UNREACHABLE])
def test_target_that_broke_off_is_doubted_until_its_entry_was_read_again(outcome):
    knowledge = Knowledge(confirmed_at=9.0)
    target = build_target("a", slots=3, sequence=7.0)
    scheduler = build_mixed_scheduler(knowledge, [target])
    first = begin(scheduler, 1, 5.0)
    begin(scheduler, 2, 9.9)
    scheduler.release(SlotReleased(first.grant_id, outcome, 1.0), 10.0)
    scheduler.submit("n", build_slot_request(3, stream=9, version="v1"), 11.0)
    assert plan(scheduler, 11.0) == ([], [])
    knowledge.confirmed_at = 11.1
    if outcome != BROKEN:
        # Its run may have ended, so the entry must have been written again as well.
        assert plan(scheduler, 11.1) == ([], [])
        list_instead(scheduler, replace(target, sequence=9.0))
    (grant,), _ = plan(scheduler, 11.1)
    assert grant.target == "a"


def test_target_that_completes_its_work_is_not_certain_for_long():
    knowledge = Knowledge(confirmed_at=9.0)
    scheduler = build_mixed_scheduler(knowledge, [build_target("a", slots=3)])
    grant = begin(scheduler, 1, 5.0)
    scheduler.release(SlotReleased(grant.grant_id, COMPLETE, 4.5, 10), 9.5)
    scheduler.submit("n", build_slot_request(2, stream=9, version="v1"), 10.0)
    assert plan(scheduler, 10.0) == ([], [])


def test_stream_of_a_version_without_a_target_is_denied_when_its_patience_ends():
    scheduler = build_mixed_scheduler()
    scheduler.submit("n", build_slot_request(1, stream=9, version="v0"), 0.0)
    assert plan(scheduler, 1.9) == ([], [])
    _, (denial,) = plan(scheduler, 2.0)
    assert denial.kind == "no-target"


@pytest.mark.parametrize("outcome", [CRASHED, UNREACHABLE])
@pytest.mark.parametrize(
    ("renewed", "is_certain"),
    [
        ({}, False),
        ({"sequence": 8.0}, False),
        ({"sequence": 9.0}, True),
        ({"born": 2, "sequence": 0.0}, True),
    ],
    ids=["not renewed", "written before it was down", "renewed", "of another run"],
)
def test_target_that_was_down_is_in_doubt_until_its_entry_is_renewed(outcome, renewed, is_certain):
    """A list read after a crash was taken to confirm an entry from before it."""
    target = build_target("a", born=1, sequence=7.0)
    scheduler = build_mixed_scheduler(targets=[target])
    grant = begin(scheduler, 1, now=0.0)
    scheduler.release(SlotReleased(grant.grant_id, outcome, 1.0), 1.0)
    list_instead(scheduler, replace(target, **renewed))
    scheduler.submit("n", build_slot_request(2), 10.0)
    (unbound,), _ = plan(scheduler, 10.0)
    assert scheduler.may_be_unlisted_run(unbound.grant_id) is not is_certain
    scheduler.submit("n", build_slot_request(3, stream=9, version="v1"), 10.0)
    grants, _ = plan(scheduler, 10.0)
    assert bool(grants) is is_certain
