"""Builders of targets, slot requests and schedulers for tests."""

from celeryrun.catalog import Pool, Target
from celeryrun.scheduling import FleetLimits, Scheduler, SlotRequest

LIMITS = FleetLimits(
    retry_ratio=0.2,
    retry_slack=2.0,
    retry_window=10.0,
    quota_over=0.1,
    quota_slack=0.0,
    quota_window=8.0,
)


def build_target(id="t0", pool="model", slots=2, ready=True, version="v1", **changes):
    """Build a target of one pool."""
    return Target(id, pool, "127.0.0.1", 1, "zone-a", slots, ready, version=version, **changes)


def build_slot_request(id=1, **changes):
    """Build a slot request for an engine."""
    fields = {
        "pool": "model",
        "tier": 0,
        "rank": 0,
        "workspace": "cajas",
        "prompt_tokens": 1000,
        "expected_events": 10.0,
        "objective": 0.5,
        "patience": 2.0,
        "deadline": 10.0,
        "max_pause": 0.25,
        "fingerprint": id,
    }
    return SlotRequest(id=id, **(fields | changes))


def build_scheduler(*targets, fleet_share=lambda: 1.0, engine=True, **changes):
    """Build a scheduler of one pool over fixed targets."""
    pool = Pool("model", engine=engine)
    return Scheduler(
        LIMITS, lambda name: targets, lambda name: pool, fleet_share, seed=1, **changes
    )
