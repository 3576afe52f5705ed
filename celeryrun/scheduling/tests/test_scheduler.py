"""Who waits, who is refused, and who gets which target."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrun.scheduling import COMPLETE, CRASHED, FAILED, UNREACHABLE, HeldSlot, SlotReleased
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
def test_more_urgent_goes_first(field):
    scheduler = build_scheduler(build_target(slots=1))
    scheduler.submit("n", build_slot_request(1, **{field: 1}), 0.0)
    scheduler.submit("n", build_slot_request(2, **{field: 0}), 0.0)
    assert [grant.slot_request_id for grant in grant_all(scheduler, 0.0)] == [2]


def test_least_time_to_spare_goes_first():
    scheduler = build_scheduler(build_target(slots=1))
    scheduler.submit("n", build_slot_request(1, objective=0.9), 0.0)
    scheduler.submit("n", build_slot_request(2, objective=0.4), 0.0)
    assert [grant.slot_request_id for grant in grant_all(scheduler, 0.0)] == [2]


def test_large_request_gets_its_head_start():
    scheduler = build_scheduler(build_target(slots=1))
    scheduler.submit("n", build_slot_request(1, prompt_tokens=100), 0.0)
    scheduler.submit("n", build_slot_request(2, prompt_tokens=20_000), 0.0)
    assert [grant.slot_request_id for grant in grant_all(scheduler, 0.0)] == [2]


def test_what_is_late_already_waits_for_what_is_not():
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
    assert loads["slow"].prefill > 2 * loads["fast"].prefill


def test_failing_target_attracts_no_more_work():
    scheduler = build_scheduler(build_target("a", slots=50), build_target("b", slots=50))
    for number in range(40):
        scheduler.submit("n", build_slot_request(number), number * 1.0)
        (grant,) = grant_all(scheduler, number * 1.0)
        outcome = FAILED if grant.target == "a" else COMPLETE
        scheduler.report_first_byte(grant.grant_id, 0.02, number + 0.02)
        scheduler.release(SlotReleased(grant.grant_id, outcome, 0.02, 10), number + 0.02)
    scheduler.submit("n", build_slot_request(999), 50.0)
    assert grant_all(scheduler, 50.0)[0].target == "b"


def test_unreachable_target_is_left_out_for_a_while():
    scheduler = build_scheduler(build_target("a"))
    scheduler.submit("n", build_slot_request(1), 0.0)
    (grant,) = grant_all(scheduler, 0.0)
    scheduler.release(SlotReleased(grant.grant_id, UNREACHABLE), 0.01)
    scheduler.submit("n", build_slot_request(2), 0.02)
    assert not grant_all(scheduler, 0.02)
    assert len(grant_all(scheduler, 1.0)) == 1


def test_silent_target_is_left_out_but_one_lost_answer_is_not_its_end():
    scheduler = build_scheduler(build_target("a", slots=4))
    scheduler.submit("n", build_slot_request(1), 0.0)
    grant_all(scheduler, 0.0)
    scheduler.submit("n", build_slot_request(2, deadline=30.0, patience=20.0), 3.0)
    assert not grant_all(scheduler, 3.0)
    scheduler = build_scheduler(build_target("a", slots=1))
    scheduler.submit("n", build_slot_request(1), 0.0)
    (lost,) = grant_all(scheduler, 0.0)
    load = scheduler.loads_by_target["a"]
    load.heard = 0.5
    scheduler.submit("n", build_slot_request(2), 3.0)
    assert len(grant_all(scheduler, 3.0)) == 1
    assert lost.grant_id in load.active_grants_by_id


def test_ask_that_would_wait_in_vain_is_denied_at_once_and_told_when_to_return():
    scheduler = build_scheduler(build_target(slots=1))
    for number in range(30):
        scheduler.submit("n", build_slot_request(number, expected_events=100.0), 0.0)
    grants, denials = scheduler.plan("model", 0.0)
    assert len(grants) == 1
    assert len(denials) > 20
    assert all(denial.kind == "overload" and denial.retry_after > 0 for _, denial in denials)
    times = [denial.retry_after for _, denial in denials]
    assert len(set(times)) == len(times)


def test_nothing_is_denied_while_places_are_free():
    scheduler = build_scheduler(build_target(slots=8))
    for number in range(8):
        scheduler.submit("n", build_slot_request(number, prompt_tokens=100), 0.0)
    grants, denials = scheduler.plan("model", 0.0)
    assert (len(grants), denials) == (8, [])


def test_quota_is_enforced_and_given_back_for_what_did_not_run():
    scheduler = build_scheduler(build_target(slots=1), no_prior_usage=True)
    quota = {"charge": 60.0, "rate": 10.0, "burst": 100.0}
    assert scheduler.submit("n", build_slot_request(1, **quota), 0.0) is None
    denial = scheduler.submit("n", build_slot_request(2, **quota), 0.0)
    assert (denial.kind, denial.retry_after) == ("quota", pytest.approx(2.5, rel=0.5))
    scheduler._deny(scheduler.queues_by_pool["model"]["n", 1], "overload", 0.0, 0.0)
    assert scheduler.submit("n", build_slot_request(3, **quota), 0.0) is None


def test_scheduler_that_cannot_know_what_was_spent_starts_within_the_tolerance():
    scheduler = build_scheduler(build_target(slots=99))
    quota = {"charge": 1.0, "rate": 10.0, "burst": 100.0}
    allowed = sum(
        scheduler.submit("n", build_slot_request(n, **quota), 0.0) is None for n in range(100)
    )
    assert allowed == 4  # a quarter of a tenth of 10 * 8 + 100


def test_quota_follows_the_part_of_the_fleet_that_asks():
    share = [1.0]
    scheduler = build_scheduler(build_target(), fleet_share=lambda: share[0], no_prior_usage=True)
    quota = {"charge": 30.0, "rate": 10.0, "burst": 100.0}
    assert scheduler.submit("n", build_slot_request(1, **quota), 0.0) is None
    share[0] = 0.25
    assert scheduler.submit("n", build_slot_request(2, **quota), 0.0).kind == "quota"


def test_lower_quota_of_a_newer_version_binds_whoever_asks():
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


def test_request_that_takes_targets_down_is_stopped():
    scheduler = build_scheduler(*(build_target(f"t{n}") for n in range(6)))
    reached = 0
    for number in range(6):
        now = number * 3.0
        denial = scheduler.submit("n", build_slot_request(number, fingerprint=7), now)
        if denial is not None:
            assert denial.kind == "suspect"
            continue
        (grant,) = grant_all(scheduler, now)
        reached += 1
        scheduler.release(SlotReleased(grant.grant_id, CRASHED), now + 0.1)
    assert reached <= 3


def test_grants_of_another_scheduler_take_slots():
    scheduler = build_scheduler(build_target("a", slots=2))
    scheduler.add_held_slot("m", HeldSlot(77, "model", "a", 100, 10.0, 0.1), 0.0)
    for number in range(3):
        scheduler.submit("n", build_slot_request(number), 0.0)
    assert len(grant_all(scheduler, 0.0)) == 1
    scheduler.release(SlotReleased(77, COMPLETE, 0.1, 10), 0.1)
    assert len(grant_all(scheduler, 0.1)) == 1


def test_node_that_is_gone_frees_what_it_held_and_waited_for():
    scheduler = build_scheduler(build_target("a", slots=1))
    scheduler.submit("gone", build_slot_request(1), 0.0)
    scheduler.submit("gone", build_slot_request(2), 0.0)
    grant_all(scheduler, 0.0)
    assert scheduler.drop_node("gone") == {"model"}
    scheduler.submit("n", build_slot_request(1), 0.1)
    assert [grant.slot_request_id for grant in grant_all(scheduler, 0.1)] == [1]


ASKS = st.lists(
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
@given(ASKS, st.lists(st.integers(1, 9), min_size=1, max_size=8))
def test_every_ask_is_granted_or_denied_once_and_slots_hold(asks, slots):
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
            assert load is None or len(load.present(now)) <= target.slots

    for number, (tier, prompt, events, gap, answers) in enumerate(asks):
        now += gap
        for end, grant in sorted(running):
            if end <= now and answers:
                running.remove((end, grant))
                scheduler.release(SlotReleased(grant, COMPLETE, 0.1, 3), now)
        assert (
            scheduler.submit(
                "n",
                build_slot_request(number, tier=tier, prompt_tokens=prompt, expected_events=events),
                now,
            )
            is None
        )
        plan()
    for _ in range(400):
        now += 0.1
        for end, grant in sorted(running):
            running.remove((end, grant))
            scheduler.release(SlotReleased(grant, COMPLETE, 0.1, 3), now)
        plan()
    assert sorted(decided) == list(range(len(asks)))
