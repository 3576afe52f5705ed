"""Service registry, invariants, clock and rendezvous hashing used by all services."""

from celeryrun.kernel._clock import now
from celeryrun.kernel._invariant import check, set_strict, violations
from celeryrun.kernel._kernel import Kernel, Service
from celeryrun.kernel._rendezvous import choose, rank

__all__ = ["Kernel", "Service", "check", "choose", "now", "rank", "set_strict", "violations"]
