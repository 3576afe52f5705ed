"""Canary analysis: which targets requests may use while a pool moves to another version."""

from celeryrun.rollouts._evidence import Evidence, Observation, SickTarget, VersionIsBad
from celeryrun.rollouts._gate import Allowance, RolloutGate
from celeryrun.rollouts._rollout import (
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    ExposureLimits,
    Rollout,
    RolloutOrder,
)

__all__ = [
    "COMPLETED",
    "ROLLED_BACK",
    "RUNNING",
    "Allowance",
    "Evidence",
    "ExposureLimits",
    "Observation",
    "Rollout",
    "RolloutGate",
    "RolloutOrder",
    "SickTarget",
    "VersionIsBad",
]
