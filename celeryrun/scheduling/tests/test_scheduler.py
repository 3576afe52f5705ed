"""Queueing, denial and placement of slot requests."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrun.scheduling import (
    COMPLETE,
    CRASHED,
    FAILED,
    UNREACHABLE,
    UNUSED,
    HeldSlot,
    SlotReleased,
)
from celeryrun.scheduling.tests.builders import build_scheduler, build_slot_request, build_target


def grant_all(scheduler, now):
    grants, _ = scheduler.plan("model", now)
    return [grant for _, grant in grants]


def test_no_target_runs_more_than_its_slots():
    scheduler = build_scheduler(build_target("a"), build_target("b"))
    for number in range(8):
        assert scheduler.submit("n", build_slot_request(number), 0.0) is None
    granted = grant_all(scheduler, 0.0)
    assert sorted(grant.target for grant in granted) == ["a", "a", "b", "b"]
    scheduler.release(SlotReleased(granted[0].grant_id, COMPLETE, 0.2, 10), 0.2)
    assert [grant.target for grant in grant_all(scheduler, 0.2)] == [granted[0].target]


@pytest.mark.parametrize("field", ["tier", "rank"])
def test_more_urgent_request_is_granted_first(field):
    scheduler = build_scheduler(build_target(slots=1))
    scheduler.submit("n", build_slot_request(1, **{field: 1}), 0.0)
    scheduler.submit("n", build_slot_request(2, **{field: 0}), 0.0)
    assert [grant.slot_request_id for grant in grant_all(scheduler, 0.0)] == [2]


def test_request_with_least_slack_is_granted_first():
    scheduler = build_scheduler(build_target(slots=1))
    scheduler.submit("n", build_slot_request(1, objective=0.9), 0.0)
    scheduler.submit("n", build_slot_request(2, objective=0.4), 0.0)
    assert [grant.slot_request_id for grant in grant_all(scheduler, 0.0)] == [2]


def test_long_prompt_is_granted_before_a_short_one():
    scheduler = build_scheduler(build_target(slots=1))
    scheduler.submit("n", build_slot_request(1, prompt_tokens=100), 0.0)
    scheduler.submit("n", build_slot_request(2, prompt_tokens=20_000), 0.0)
    assert [grant.slot_request_id for grant in grant_all(scheduler, 0.0)] == [2]


def test_late_request_is_granted_after_one_that_is_not_late():
    scheduler = build_scheduler(build_target(slots=1))
    scheduler.submit("n", build_slot_request(1, objective=0.01, rank=0), 0.0)
    scheduler.submit("n", build_slot_request(2, objective=0.5, rank=1), 0.0)
    assert [grant.slot_request_id for grant in grant_all(scheduler, 0.0)] == [2]


def test_faster_target_is_learned_and_preferred():
    scheduler = build_scheduler(build_target("slow", slots=8), build_target("fast", slots=8))
    time = 0.0
    for number in range(80):
        scheduler.submit("n", build_slot_request(number), time)
        (grant,) = grant_all(scheduler, time)
        factor = 5.0 if grant.target == "slow" else 0.5
        scheduler.report_first_byte(grant.grant_id, 0.035 * factor, time + 0.035 * factor)
        scheduler.release(
            SlotReleased(grant.grant_id, COMPLETE, 0.235 * factor, 10), time + 0.235 * factor
        )
        time += 2.0
    scheduler.submit("n", build_slot_request(999), time)
    assert grant_all(scheduler, time)[0].target == "fast"
    loads = scheduler.loads_by_target
    assert loads["slow"].event_gap > 2 * loads["fast"].event_gap
    assert loads["slow"].prefill_time > 2 * loads["fast"].prefill_time


def test_failing_target_is_avoided():
    scheduler = build_scheduler(build_target("a", slots=50), build_target("b", slots=50))
    for number in range(40):
        scheduler.submit("n", build_slot_request(number), number * 1.0)
        (grant,) = grant_all(scheduler, number * 1.0)
        outcome = FAILED if grant.target == "a" else COMPLETE
        scheduler.report_first_byte(grant.grant_id, 0.02, number + 0.02)
        scheduler.release(SlotReleased(grant.grant_id, outcome, 0.02, 10), number + 0.02)
    scheduler.submit("n", build_slot_request(999), 50.0)
    assert grant_all(scheduler, 50.0)[0].target == "b"


def test_unreachable_target_is_excluded_during_its_backoff():
    scheduler = build_scheduler(build_target("a"))
    scheduler.submit("n", build_slot_request(1), 0.0)
    (grant,) = grant_all(scheduler, 0.0)
    scheduler.release(SlotReleased(grant.grant_id, UNREACHABLE), 0.01)
    scheduler.submit("n", build_slot_request(2), 0.02)
    assert not grant_all(scheduler, 0.02)
    assert len(grant_all(scheduler, 1.0)) == 1


def test_unresponsive_target_is_excluded_but_not_for_one_lost_response():
    scheduler = build_scheduler(build_target("a", slots=4))
    scheduler.submit("n", build_slot_request(1), 0.0)
    grant_all(scheduler, 0.0)
    scheduler.submit("n", build_slot_request(2, deadline=30.0, patience=20.0), 3.0)
    assert not grant_all(scheduler, 3.0)
    scheduler = build_scheduler(build_target("a", slots=1))
    scheduler.submit("n", build_slot_request(1), 0.0)
    (lost,) = grant_all(scheduler, 0.0)
    load = scheduler.loads_by_target["a"]
    load.last_responsive_grant = 0.5
    scheduler.submit("n", build_slot_request(2), 3.0)
    assert len(grant_all(scheduler, 3.0)) == 1
    assert lost.grant_id in load.active_grants_by_id


def test_hopeless_request_is_denied_at_once_with_a_random_retry_delay():
    scheduler = build_scheduler(build_target(slots=1))
    for number in range(30):
        scheduler.submit("n", build_slot_request(number, expected_events=100.0), 0.0)
    grants, denials = scheduler.plan("model", 0.0)
    assert len(grants) == 1
    assert len(denials) > 20
    assert all(denial.kind == "overload" and denial.retry_after > 0 for _, denial in denials)
    times = [denial.retry_after for _, denial in denials]
    assert len(set(times)) == len(times)


def test_nothing_is_denied_while_slots_are_free():
    scheduler = build_scheduler(build_target(slots=8))
    for number in range(8):
        scheduler.submit("n", build_slot_request(number, prompt_tokens=100), 0.0)
    grants, denials = scheduler.plan("model", 0.0)
    assert (len(grants), denials) == (8, [])


def test_quota_is_enforced_and_refunded_for_denied_requests():
    scheduler = build_scheduler(build_target(slots=1), no_prior_usage=True)
    quota = {"charge": 60.0, "rate": 10.0, "burst": 100.0}
    assert scheduler.submit("n", build_slot_request(1, **quota), 0.0) is None
    denial = scheduler.submit("n", build_slot_request(2, **quota), 0.0)
    assert (denial.kind, denial.retry_after) == ("quota", pytest.approx(2.5, rel=0.5))
    scheduler._deny(scheduler.queues_by_pool["model"]["n", 1], "overload", 0.0, 0.0)
    assert scheduler.submit("n", build_slot_request(3, **quota), 0.0) is None


def test_scheduler_with_unknown_prior_usage_starts_within_the_tolerance():
    scheduler = build_scheduler(build_target(slots=99))
    quota = {"charge": 1.0, "rate": 10.0, "burst": 100.0}
    allowed = sum(
        scheduler.submit("n", build_slot_request(n, **quota), 0.0) is None for n in range(100)
    )
    assert allowed == 4  # a quarter of a tenth of 10 * 8 + 100


def test_quota_scales_with_the_fleet_share():
    fleet_share = [1.0]
    scheduler = build_scheduler(
        build_target(), fleet_share=lambda: fleet_share[0], no_prior_usage=True
    )
    quota = {"charge": 30.0, "rate": 10.0, "burst": 100.0}
    assert scheduler.submit("n", build_slot_request(1, **quota), 0.0) is None
    fleet_share[0] = 0.25
    assert scheduler.submit("n", build_slot_request(2, **quota), 0.0).kind == "quota"


def test_quota_of_the_newest_configuration_version_applies_to_all_nodes():
    scheduler = build_scheduler(build_target(), no_prior_usage=True)
    old = {"charge": 10.0, "rate": 100.0, "burst": 100.0, "configuration_version": 1}
    new = {"charge": 10.0, "rate": 1.0, "burst": 10.0, "configuration_version": 2}
    assert scheduler.submit("n", build_slot_request(1, **new), 0.0) is None
    assert scheduler.submit("m", build_slot_request(2, **old), 0.0).kind == "quota"


def test_retries_are_bounded_over_all_nodes():
    scheduler = build_scheduler(build_target())
    denied = [
        scheduler.submit(f"n{number % 3}", build_slot_request(number, retry=True), 0.0)
        for number in range(6)
    ]
    assert [denial is None for denial in denied].count(True) == 2


def test_request_that_crashes_targets_is_denied():
    scheduler = build_scheduler(*(build_target(f"t{n}") for n in range(6)))
    granted = 0
    for number in range(6):
        now = number * 3.0
        denial = scheduler.submit("n", build_slot_request(number, fingerprint=7), now)
        if denial is not None:
            assert denial.kind == "suspect"
            continue
        (grant,) = grant_all(scheduler, now)
        granted += 1
        scheduler.release(SlotReleased(grant.grant_id, CRASHED), now + 0.1)
    assert granted <= 3


def test_grants_of_another_scheduler_occupy_slots():
    scheduler = build_scheduler(build_target("a", slots=2))
    scheduler.add_held_slot("m", HeldSlot(77, "model", "a", 100, 10.0, 0.1), 0.0)
    for number in range(3):
        scheduler.submit("n", build_slot_request(number), 0.0)
    assert len(grant_all(scheduler, 0.0)) == 1
    scheduler.release(SlotReleased(77, COMPLETE, 0.1, 10), 0.1)
    assert len(grant_all(scheduler, 0.1)) == 1


def test_slots_and_queued_requests_of_a_node_that_left_are_removed():
    scheduler = build_scheduler(build_target("a", slots=1))
    scheduler.submit("gone", build_slot_request(1), 0.0)
    scheduler.submit("gone", build_slot_request(2), 0.0)
    grant_all(scheduler, 0.0)
    assert scheduler.drop_node("gone", 0.1) == {"model"}
    scheduler.submit("n", build_slot_request(1), 0.1)
    assert [grant.slot_request_id for grant in grant_all(scheduler, 0.1)] == [1]


def test_prompts_of_a_node_that_left_are_no_longer_awaited():
    """The target stops reading them, so its next first byte is not late."""
    scheduler = build_scheduler(build_target("a", slots=2))
    scheduler.submit("gone", build_slot_request(1, prompt_tokens=50_000, objective=9.0), 0.0)
    assert len(grant_all(scheduler, 0.0)) == 1
    scheduler.drop_node("gone", 0.1)
    scheduler.submit("n", build_slot_request(2, prompt_tokens=100), 0.1)
    (grant,) = grant_all(scheduler, 0.1)
    assert grant.expected_first_byte < 0.1


SLOT_REQUESTS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.integers(1, 30_000),
        st.floats(1, 200),
        st.floats(0, 0.5),
        st.booleans(),
    ),
    min_size=1,
    max_size=60,
)


@settings(max_examples=60, deadline=None)
@given(SLOT_REQUESTS, st.lists(st.integers(1, 9), min_size=1, max_size=8))
def test_every_request_is_granted_or_denied_once_within_the_slots(slot_requests, slots):
    targets = [build_target(f"t{number}", slots=count) for number, count in enumerate(slots)]
    scheduler = build_scheduler(*targets)
    now = 0.0
    running: list[tuple[float, int]] = []
    decided: list[int] = []

    def plan():
        grants, denials = scheduler.plan("model", now)
        for _, grant in grants:
            decided.append(grant.slot_request_id)
            running.append((now + 0.05 + grant.slot_request_id % 7 / 10, grant.grant_id))
        decided.extend(denial.slot_request_id for _, denial in denials)
        for target in targets:
            load = scheduler.loads_by_target.get(target.id)
            assert load is None or len(load.occupying_grants(now)) <= target.slots

    for number, (tier, prompt_tokens, expected_events, gap, releases) in enumerate(slot_requests):
        now += gap
        for end, grant_id in sorted(running):
            if end <= now and releases:
                running.remove((end, grant_id))
                scheduler.release(SlotReleased(grant_id, COMPLETE, 0.1, 3), now)
        assert (
            scheduler.submit(
                "n",
                build_slot_request(
                    number, tier=tier, prompt_tokens=prompt_tokens, expected_events=expected_events
                ),
                now,
            )
            is None
        )
        plan()
    for _ in range(400):
        now += 0.1
        for end, grant_id in sorted(running):
            running.remove((end, grant_id))
            scheduler.release(SlotReleased(grant_id, COMPLETE, 0.1, 3), now)
        plan()
    assert sorted(decided) == list(range(len(slot_requests)))


@pytest.mark.parametrize("end", ["cancelled", "denied", UNREACHABLE, UNUSED])
def test_retry_that_reaches_no_target_is_not_charged(end):
    busy = end in ("cancelled", "denied")
    scheduler = build_scheduler(*(build_target(f"t{n}", slots=1) for n in range(1 if busy else 20)))
    if busy:
        scheduler.submit("n", build_slot_request(1, expected_events=500.0), 0.0)
        assert grant_all(scheduler, 0.0)
    for number in range(2, 12):
        time = number * (0.01 if busy else 0.6)
        patience = 0.001 if end == "denied" else 5.0
        retry = build_slot_request(number, retry=True, patience=patience)
        assert scheduler.submit("n", retry, time) is None
        if end == "cancelled":
            scheduler.cancel("n", number)
            continue
        grants, denials = scheduler.plan("model", time)
        if end == "denied":
            assert [denial.kind for _, denial in denials] == ["overload"]
            continue
        ((_, grant),) = grants
        scheduler.release(SlotReleased(grant.grant_id, end), time + 0.001)
    sent = [scheduler.submit("n", build_slot_request(99 + n, retry=True), 12.0) for n in range(3)]
    assert [denial is None for denial in sent] == [True, True, False]
