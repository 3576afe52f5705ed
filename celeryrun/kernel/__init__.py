"""Micro-kernel: services that find each other by name."""

from celeryrun.kernel._invariant import check, set_strict, violations
from celeryrun.kernel._kernel import Kernel, Service

__all__ = ["Kernel", "Service", "check", "set_strict", "violations"]
