"""Random deployments: pools, targets, nodes and failures drawn by Hypothesis."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from celeryrun.catalog import Pool
from celeryrun.scheduling import (
    CANCELLED,
    COMPLETE,
    CRASHED,
    FAILED,
    MISDIRECTED,
    REJECTED,
    UNREACHABLE,
    UNUSED,
    Grant,
    HeldSlot,
    Scheduler,
    SlotReleased,
)
from celeryrun.scheduling.tests.builders import LIMITS, build_slot_request, build_target

OUTCOMES = (CANCELLED, COMPLETE, CRASHED, FAILED, MISDIRECTED, REJECTED, UNREACHABLE, UNUSED)
POOLS = ("engine", "app")
NODES = ("n0", "n1", "n2", "n3", "n4", "n5", "n6")
OTHER_GRANT_IDS = range(10**15, 10**15 + 5)  # grant ids of another scheduler
MAX_SLOTS = 9
MAX_DECISION_DELAY = 0.001  # s after its patience by which a full scan must decide a request


class Deployment(RuleBasedStateMachine):
    """One scheduler under slot requests, releases, crashes and departures in any order."""

    @initialize(
        slots=st.lists(st.tuples(st.sampled_from(POOLS), st.integers(1, MAX_SLOTS)), max_size=24),
        no_prior_usage=st.booleans(),
    )
    def start(self, slots, no_prior_usage):
        self.now = 0.0
        self.fleet_share = 1.0
        self.targets_by_id = {
            f"t{number}": build_target(f"t{number}", pool, count)
            for number, (pool, count) in enumerate(slots)
        }
        self.scheduler = Scheduler(
            LIMITS,
            lambda pool: [each for each in self.targets_by_id.values() if each.pool == pool],
            lambda pool: Pool(pool, engine=pool == "engine"),
            lambda: self.fleet_share,
            seed=1,
            no_prior_usage=no_prior_usage,
        )
        self.count = 0
        self.slot_request_by_key = {}
        self.queued = set()
        self.node_by_grant_id = {}

    @rule(
        pool=st.sampled_from(POOLS),
        node=st.sampled_from(NODES),
        tier=st.integers(0, 3),
        rank=st.integers(0, 3),
        prompt_tokens=st.integers(1, 60_000),
        expected_events=st.floats(0, 800),
        patience=st.floats(0.01, 5.0),
        charge=st.floats(0, 500),
        rate=st.sampled_from([0.0, 50.0]),
        retry=st.booleans(),
        excluded_targets=st.lists(st.sampled_from(["t0", "t1", "t2"]), max_size=2),
    )
    def submit(self, pool, node, patience, excluded_targets, **fields):
        self.count += 1
        slot_request = build_slot_request(
            self.count,
            pool=pool,
            patience=patience,
            objective=patience / 4,
            deadline=2 * patience,
            fingerprint=self.count % 5 + 1,
            burst=200.0,
            excluded_targets=tuple(excluded_targets),
            workspace=f"w{self.count % 3}",
            **fields,
        )
        self.slot_request_by_key[node, slot_request.id] = slot_request
        denial = self.scheduler.submit(node, slot_request, self.now)
        if denial is None:
            self.queued.add((node, slot_request.id))
        else:
            assert denial.retry_after >= 0

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(pool=st.sampled_from(POOLS), full_scan=st.booleans())
    def plan(self, pool, full_scan):
        grants, denials = self.scheduler.plan(pool, self.now, full_scan)
        for node, grant in grants:
            self.check_grant(node, grant)
        for node, denial in denials:
            assert denial.retry_after > 0
            self.queued.remove((node, denial.slot_request_id))
        if full_scan and any(target.pool == pool for target in self.targets_by_id.values()):
            for key in self.queued:
                slot_request = self.slot_request_by_key[key]
                queued = self.scheduler.queues_by_pool.get(slot_request.pool, {}).get(key)
                if slot_request.pool == pool and queued is not None:
                    assert queued.give_up_time > self.now - MAX_DECISION_DELAY

    def check_grant(self, node, grant: Grant):
        key = node, grant.slot_request_id
        slot_request = self.slot_request_by_key[key]
        self.queued.remove(key)
        target = self.targets_by_id[grant.target]
        assert target.pool == slot_request.pool
        assert grant.target not in slot_request.excluded_targets
        assert grant.grant_id not in self.node_by_grant_id
        self.node_by_grant_id[grant.grant_id] = node

    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES), seconds=st.floats(0.0, 30.0))
    def release(self, data, outcome, seconds):
        if self.node_by_grant_id:
            grant_id = data.draw(st.sampled_from(sorted(self.node_by_grant_id)))
            del self.node_by_grant_id[grant_id]
            if outcome == COMPLETE:
                self.scheduler.report_first_byte(grant_id, seconds / 2, self.now)
            self.scheduler.release(SlotReleased(grant_id, outcome, seconds, 10), self.now)

    @rule(data=st.data())
    def cancel(self, data):
        if self.queued:
            node, slot_request_id = data.draw(st.sampled_from(sorted(self.queued)))
            self.queued.remove((node, slot_request_id))
            self.scheduler.cancel(node, slot_request_id)

    @rule(node=st.sampled_from(NODES))
    def node_leaves(self, node):
        self.queued = {key for key in self.queued if key[0] != node}
        self.node_by_grant_id = {
            grant_id: owner for grant_id, owner in self.node_by_grant_id.items() if owner != node
        }
        self.scheduler.drop_node(node, self.now)

    @rule(number=st.integers(0, 30))
    def target_leaves(self, number):
        self.targets_by_id.pop(f"t{number}", None)
        self.scheduler.forget_targets(set(self.targets_by_id))

    @rule(number=st.integers(0, 30), pool=st.sampled_from(POOLS), slots=st.integers(1, MAX_SLOTS))
    def target_appears(self, number, pool, slots):
        if f"t{number}" not in self.targets_by_id:
            self.targets_by_id[f"t{number}"] = build_target(f"t{number}", pool, slots)

    @rule(fleet_share=st.floats(0.05, 1.0))
    def fleet_share_changes(self, fleet_share):
        self.fleet_share = fleet_share

    @rule(grant_id=st.sampled_from(OTHER_GRANT_IDS), number=st.integers(0, 30))
    def held_slot_is_reported(self, grant_id, number):
        target = self.targets_by_id.get(f"t{number}")
        if target is not None:
            self.scheduler.add_held_slot(
                "n0", HeldSlot(grant_id, target.pool, target.id, 100, 10.0, 0.5), self.now
            )

    @rule()
    def expire_grants(self):
        self.scheduler.expire(self.now)

    @invariant()
    def slots_are_not_exceeded_and_no_request_is_lost(self):
        queued = {key for queue in self.scheduler.queues_by_pool.values() for key in queue}
        assert queued == self.queued
        for load in self.scheduler.loads_by_target.values():
            held_slots = sum(grant_id in OTHER_GRANT_IDS for grant_id in load.active_grants_by_id)
            assert len(load.occupying_grants(self.now)) <= MAX_SLOTS + held_slots


Deployment.TestCase.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True
)
TestDeployment = Deployment.TestCase
