"""Prometheus metrics, labelled by workspace and tier."""

from __future__ import annotations

import threading
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from celeryrun.kernel import violation_counts

__all__ = ["Metrics", "WorkspaceLabels", "seconds_histogram"]

MAX_WORKSPACE_LABELS = 64
OTHER_LABEL = "other"
SECONDS_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.32, 0.5, 1, 2, 5, 15, 60)  # s


class _ViolationCollector(Collector):
    """Collector of the violation counts by invariant."""

    def collect(self) -> Iterator[CounterMetricFamily]:
        family = CounterMetricFamily(
            "celeryrun_invariant_violations",
            "Violated invariants; report any",
            labels=["invariant"],
        )
        for invariant, count in sorted(violation_counts.items()):
            family.add_metric([invariant], count)
        yield family


class WorkspaceLabels:
    """Bounded set of label values for workspaces.

    The first `MAX_WORKSPACE_LABELS` workspaces have their own labels; later ones share ``other``.

    Examples
    --------
    >>> labels = WorkspaceLabels()
    >>> [labels.label(f"w{n}") for n in range(MAX_WORKSPACE_LABELS + 1)][-2:]
    ['w63', 'other']
    """

    __slots__ = ("_labels", "_lock")

    def __init__(self) -> None:
        self._labels: set[str] = set()
        self._lock = threading.Lock()

    def label(self, workspace: str) -> str:
        """Return a workspace's own label, or the shared one if the set is full."""
        with self._lock:
            if workspace in self._labels or len(self._labels) < MAX_WORKSPACE_LABELS:
                self._labels.add(workspace)
                return workspace
            return OTHER_LABEL


def seconds_histogram(
    registry: CollectorRegistry, name: str, help_text: str, labels: tuple[str, ...]
) -> Histogram:
    """Return a histogram of durations with buckets `SECONDS_BUCKETS`."""
    return Histogram(
        f"celeryrun_{name}_seconds", help_text, labels, buckets=SECONDS_BUCKETS, registry=registry
    )


class Metrics:
    """Service with the metrics of a node.

    Workspace labels are limited in number, so that memory stays bounded; see `WorkspaceLabels`.
    """

    __slots__ = (
        "_labels",
        "answers",
        "first_byte",
        "node_state",
        "queue_wait",
        "refusals",
        "registry",
        "whole_answer",
    )

    def __init__(self) -> None:
        self._labels = WorkspaceLabels()
        self.registry = CollectorRegistry()
        labels = ("workspace", "tier")
        self.queue_wait = self._histogram("queue_wait", "wait for a slot", labels)
        self.first_byte = self._histogram("first_byte", "arrival to first byte", labels)
        self.whole_answer = self._histogram("whole_answer", "arrival to end of answer", labels)
        self.answers = Counter(
            "celeryrun_answers",
            "Answers by outcome",
            ("workspace", "tier", "outcome"),
            registry=self.registry,
        )
        self.refusals = Counter(
            "celeryrun_refusals",
            "Requests that were not run, by kind of refusal",
            ("kind",),
            registry=self.registry,
        )
        self.registry.register(_ViolationCollector())
        self.node_state = Gauge(
            "celeryrun_state", "State of the node", ("what",), registry=self.registry
        )

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def label(self, workspace: str) -> str:
        """Return the label value for a workspace.

        Examples
        --------
        >>> Metrics().label("cajas")
        'cajas'
        """
        return self._labels.label(workspace)

    def count_refusal(self, kind: str) -> None:
        """Increment the counter of refusals of a kind.

        Examples
        --------
        >>> metrics = Metrics()
        >>> metrics.count_refusal("plan-limit")
        >>> b'celeryrun_refusals_total{kind="plan-limit"} 1.0' in metrics.render()
        True
        """
        self.refusals.labels(kind).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus exposition format."""
        return generate_latest(self.registry)

    def _histogram(self, name: str, help_text: str, labels: tuple[str, ...]) -> Histogram:
        return seconds_histogram(self.registry, name, help_text.capitalize(), labels)
