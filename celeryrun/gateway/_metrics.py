"""Counters and latency histograms of a gateway by workspace and tier."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, generate_latest

from celeryrun.gateway._admission import Admission
from celeryrun.gateway._response_relay import ResponseRelay
from celeryrun.kernel import now
from celeryrun.observe import WorkspaceLabels, seconds_histogram

__all__ = ["GatewayMetrics"]


class GatewayMetrics:
    """Service that holds the Prometheus metrics.

    The first workspaces have their own label values; all later ones share one value, which bounds
    memory.
    """

    __slots__ = (
        "_labels",
        "_registry",
        "answers",
        "first_byte",
        "refusals",
        "target_crashes",
        "whole_answer",
    )

    def __init__(self) -> None:
        self._labels = WorkspaceLabels()
        self._registry = CollectorRegistry()
        labels = ("workspace", "tier")
        self.first_byte = seconds_histogram(
            self._registry, "first_byte", "Seconds: arrival to first byte", labels
        )
        self.whole_answer = seconds_histogram(
            self._registry, "whole_answer", "Seconds: arrival to end of answer", labels
        )
        self.answers = Counter(
            "celeryrun_answers",
            "Answers by status; 0 where the connection ended without one",
            (*labels, "status"),
            registry=self._registry,
        )
        self.refusals = Counter(
            "celeryrun_refusals", "Requests not served", ("kind",), registry=self._registry
        )

        self.target_crashes = Counter(
            "celeryrun_target_crashes",
            "Requests in flight on a target when it crashed",
            registry=self._registry,
        )

    def start(self) -> None:
        """Do nothing; the service has no task."""

    def stop(self) -> None:
        """Do nothing; the service has nothing to close."""

    def observe(
        self, admission: Admission, arrived_at: float, response_relay: ResponseRelay
    ) -> None:
        """Record a request that has ended."""
        labels = (self._labels.label(admission.workspace.name), str(admission.tier))
        self.answers.labels(*labels, str(response_relay.status)).inc()
        if response_relay.first_byte is not None:
            self.first_byte.labels(*labels).observe(response_relay.first_byte - arrived_at)
            self.whole_answer.labels(*labels).observe(now() - arrived_at)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
