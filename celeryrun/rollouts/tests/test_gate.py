"""Targets that requests may use in each state of a roll-out."""

import random

from celeryrun.rollouts import (
    COMPLETED,
    ROLLED_BACK,
    ExposureLimits,
    Observation,
    Rollout,
    RolloutGate,
    RolloutOrder,
    SickTarget,
    VersionIsBad,
)
from celeryrun.rollouts._evidence import Evidence
from celeryrun.scheduling.tests.builders import build_scheduler, build_slot_request, build_target

LIMITS = ExposureLimits(0.1, 50.0)
ORDER = RolloutOrder("model", "v2", 10.0)
OLD = [build_target(f"old-{n}", version="v1") for n in range(4)]
NEW = [build_target(f"new-{n}", version="v2") for n in range(4)]
GROUP = (0, 5, 5)


def build_gate(now=0.0):
    gate = RolloutGate()
    rollout = Rollout.from_order(ORDER, LIMITS, now)
    gate.begin(rollout)
    return gate, rollout


def ids(targets):
    return {target.id for target in targets}


def observe(target, failed=False, seconds=0.1):
    return Observation(target, GROUP, 0.5, failed, seconds)


def test_pool_without_an_order_is_not_restricted():
    gate, _ = build_gate()
    assert gate.allow("app", OLD, True, 0.0) is None
    assert RolloutGate().allow("model", [*OLD, *NEW], True, 0.0) is None


def test_only_the_scheduler_of_most_nodes_exposes_the_new_version():
    gate, _ = build_gate()
    decided = gate.allow("model", [*OLD, *NEW], True, 0.0)
    assert decided.open_slots > 0 and decided.canaries <= ids(NEW)
    assert decided.general == ids(OLD)
    cut_off = gate.allow("model", [*OLD, *NEW], False, 0.0)
    assert cut_off.general == ids(OLD) and cut_off.open_slots == 0


def test_new_targets_serve_if_no_other_is_left():
    gate, _ = build_gate()
    assert gate.allow("model", NEW, False, 0.0).general == ids(NEW)


def test_rolled_back_version_gets_nothing_until_another_order_allows_it():
    gate, _ = build_gate()
    gate.decide("model", "v2", ROLLED_BACK)
    allowance = gate.allow("model", [*OLD, *NEW], True, 0.0)
    assert allowance.general == ids(OLD) and allowance.banned == ids(NEW)
    gate.begin(Rollout.from_order(ORDER, LIMITS, 20.0))
    assert not gate.allow("model", [*OLD, *NEW], True, 20.0).banned


def test_bound_stream_does_not_go_on_at_a_rolled_back_version():
    gate, _ = build_gate()
    scheduler = build_scheduler(*OLD, *NEW, gate=gate)
    gate.decide("model", "v2", ROLLED_BACK)
    scheduler.submit("n", build_slot_request(version="v2"), 0.0)
    assert scheduler.plan("model", 2.0)[0] == []


def test_completed_version_replaces_only_the_versions_that_served_then():
    gate, _ = build_gate()
    later = build_target("later", version="v3")
    gate.allow("model", [*OLD, *NEW], True, 0.0)
    gate.decide("model", "v2", COMPLETED)
    assert gate.allow("model", [*OLD, *NEW, later], True, 1.0).general == {*ids(NEW), "later"}
    assert gate.allow("model", OLD, True, 1.0).general == ids(OLD)


def test_replaced_order_leaves_its_version_without_requests():
    gate, former = build_gate()
    third = build_target("third", version="v3")
    assert gate.begin(Rollout.from_order(RolloutOrder("model", "v3", 10.0), LIMITS, 1.0)) is former
    allowance = gate.allow("model", [*OLD, *NEW, third], True, 1.0)
    assert allowance.general == ids(OLD) and allowance.banned == ids(NEW)


def test_withdrawn_completed_order_lifts_all_restrictions():
    gate, _ = build_gate()
    gate.allow("model", [*OLD, *NEW], True, 0.0)
    gate.decide("model", "v2", COMPLETED)
    gate.withdraw("model")
    assert gate.allow("model", [*OLD, *NEW], True, 1.0) is None


def test_later_scheduler_does_not_use_the_slack_again():
    taken_over = Rollout.taken_over(ORDER, LIMITS, 5.0, 100.0)
    assert taken_over.began == 95.0
    assert taken_over.open_slots(1, 100.0) == 0


def test_version_without_targets_is_rolled_back_at_the_deadline():
    gate, rollout = build_gate()
    gate.advance("model", OLD, 9.9)
    assert rollout.state == "running"
    gate.advance("model", OLD, 10.1)
    assert rollout.state == ROLLED_BACK


def test_version_is_not_completed_without_capacity_for_the_load():
    gate, rollout = build_gate()
    for grant_id in range(8):
        gate.record_grant(grant_id, OLD[grant_id % 4], 0, 10, 1.0, 0.5, 99.0, 0.0)
    gate.record_grant(8, NEW[0], 0, 10, 1.0, 0.5, 99.0, 0.0)
    gate.record_end(8, False, 0.1, 1)
    for tenths in range(200):
        gate.advance("model", [*OLD, NEW[0]], tenths / 10)
    assert rollout.state == "running"
    for tenths in range(200, 230):
        gate.advance("model", [*OLD, *NEW], tenths / 10)
    assert rollout.state == COMPLETED


def test_failures_of_one_target_are_its_own_and_those_of_several_the_versions():
    evidence = Evidence()
    evidence.target_count = 4
    found = [evidence.add_new(observe("new-0", failed=True)) for _ in range(10)]
    assert SickTarget("new-0", "failures") in found
    found = [evidence.add_new(observe(f"new-{n % 3 + 1}", failed=True)) for n in range(10)]
    assert any(isinstance(finding, VersionIsBad) for finding in found)


def test_version_that_fails_as_often_as_the_old_ones_is_not_bad():
    for seed in range(50):
        random_numbers, evidence = random.Random(seed), Evidence()
        evidence.target_count = 4
        for number in range(1000):
            failed = random_numbers.random() < 0.1
            evidence.add_old(observe(f"old-{number % 3}", failed))
            if number > 100 and number % 10 == 0:
                failed = random_numbers.random() < 0.1
                found = evidence.add_new(observe(f"new-{number // 10 % 4}", failed))
                assert not isinstance(found, VersionIsBad), seed


def test_slower_version_is_bad_and_one_beside_equally_slow_old_targets_is_not():
    def judge(old_seconds):
        evidence = Evidence()
        evidence.target_count = 4
        for number in range(50):
            evidence.add_old(observe(f"old-{number % 4}", seconds=old_seconds))
        return [evidence.add_new(observe(f"new-{n % 4}", seconds=0.4)) for n in range(20)]

    assert any(isinstance(finding, VersionIsBad) for finding in judge(0.1))
    assert not any(judge(0.4))
