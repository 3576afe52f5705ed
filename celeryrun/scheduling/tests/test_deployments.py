"""Deployments that nobody listed: pools, targets, nodes and troubles as Hypothesis draws them."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from celeryrun.catalog import Pool
from celeryrun.scheduling import (
    CANCELLED,
    COMPLETE,
    CRASHED,
    FAILED,
    REJECTED,
    UNREACHABLE,
    UNUSED,
    Grant,
    HeldSlot,
    Scheduler,
    SlotReleased,
)
from celeryrun.scheduling.tests.builders import BOUNDS, build_slot_request, build_target

OUTCOMES = (CANCELLED, COMPLETE, CRASHED, FAILED, REJECTED, UNREACHABLE, UNUSED)
POOLS = ("engine", "app")
NODES = ("n0", "n1", "n2", "n3", "n4", "n5", "n6")
FOREIGN = range(10**15, 10**15 + 5)  # grants of another scheduler
MOST_SLOTS = 9
SETTLED = 0.001  # s after its patience at which an ask must have been decided by a whole pass


class Deployment(RuleBasedStateMachine):
    """One scheduler, told of asks, ends, deaths and departures in any order."""

    @initialize(
        slots=st.lists(st.tuples(st.sampled_from(POOLS), st.integers(1, MOST_SLOTS)), max_size=24),
        no_prior_usage=st.booleans(),
    )
    def begin(self, slots, no_prior_usage):
        self.now = 0.0
        self.share = 1.0
        self.targets_by_id = {
            f"t{number}": build_target(f"t{number}", pool, count)
            for number, (pool, count) in enumerate(slots)
        }
        self.scheduler = Scheduler(
            BOUNDS,
            lambda pool: [each for each in self.targets_by_id.values() if each.pool == pool],
            lambda pool: Pool(pool, engine=pool == "engine"),
            lambda: self.share,
            seed=1,
            no_prior_usage=no_prior_usage,
        )
        self.count = 0
        self.ask_by_key = {}
        self.open = set()
        self.held = {}

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
    def ask(self, pool, node, patience, excluded_targets, **fields):
        self.count += 1
        ask = build_slot_request(
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
        self.ask_by_key[node, ask.id] = ask
        denial = self.scheduler.submit(node, ask, self.now)
        if denial is None:
            self.open.add((node, ask.id))
        else:
            assert denial.retry_after >= 0

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(pool=st.sampled_from(POOLS), whole=st.booleans())
    def plan(self, pool, whole):
        grants, denials = self.scheduler.plan(pool, self.now, whole)
        for node, grant in grants:
            self.take(node, grant)
        for node, denial in denials:
            assert denial.retry_after > 0
            self.open.remove((node, denial.slot_request_id))
        if whole and any(target.pool == pool for target in self.targets_by_id.values()):
            for key in self.open:
                ask = self.ask_by_key[key]
                waiting = self.scheduler.queues_by_pool.get(ask.pool, {}).get(key)
                if ask.pool == pool and waiting is not None:
                    assert waiting.patience > self.now - SETTLED

    def take(self, node, grant: Grant):
        key = node, grant.slot_request_id
        ask = self.ask_by_key[key]
        self.open.remove(key)
        target = self.targets_by_id[grant.target]
        assert target.pool == ask.pool
        assert grant.target not in ask.excluded_targets
        assert grant.grant_id not in self.held
        self.held[grant.grant_id] = node

    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES), seconds=st.floats(0.0, 30.0))
    def end(self, data, outcome, seconds):
        if self.held:
            grant = data.draw(st.sampled_from(sorted(self.held)))
            del self.held[grant]
            if outcome == COMPLETE:
                self.scheduler.report_first_byte(grant, seconds / 2, self.now)
            self.scheduler.release(SlotReleased(grant, outcome, seconds, 10), self.now)

    @rule(data=st.data())
    def cancel(self, data):
        if self.open:
            node, ask = data.draw(st.sampled_from(sorted(self.open)))
            self.open.remove((node, ask))
            self.scheduler.cancel(node, ask)

    @rule(node=st.sampled_from(NODES))
    def node_is_gone(self, node):
        self.open = {key for key in self.open if key[0] != node}
        self.held = {grant: holder for grant, holder in self.held.items() if holder != node}
        self.scheduler.drop_node(node)

    @rule(number=st.integers(0, 30))
    def target_leaves(self, number):
        self.targets_by_id.pop(f"t{number}", None)
        self.scheduler.forget_targets(set(self.targets_by_id))

    @rule(number=st.integers(0, 30), pool=st.sampled_from(POOLS), slots=st.integers(1, MOST_SLOTS))
    def target_appears(self, number, pool, slots):
        if f"t{number}" not in self.targets_by_id:
            self.targets_by_id[f"t{number}"] = build_target(f"t{number}", pool, slots)

    @rule(share=st.floats(0.05, 1.0))
    def fleet_parts(self, share):
        self.share = share

    @rule(grant=st.sampled_from(FOREIGN), number=st.integers(0, 30))
    def another_scheduler_had_granted(self, grant, number):
        known = self.targets_by_id.get(f"t{number}")
        if known is not None:
            self.scheduler.add_held_slot(
                "n0", HeldSlot(grant, known.pool, known.id, 100, 10.0, 0.5), self.now
            )

    @rule()
    def sweep(self):
        self.scheduler.expire_grants(self.now)

    @invariant()
    def slots_hold_and_every_ask_is_known(self):
        waiting = {key for queue in self.scheduler.queues_by_pool.values() for key in queue}
        assert waiting == self.open
        for load in self.scheduler.loads_by_target.values():
            adopted = sum(grant in FOREIGN for grant in load.active_grants_by_id)
            assert len(load.present(self.now)) <= MOST_SLOTS + adopted


Deployment.TestCase.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True
)
TestDeployment = Deployment.TestCase
